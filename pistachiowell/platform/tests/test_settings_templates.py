"""The settings of the deployed programs follow the bounds of their deployment."""

import json
import re
from pathlib import Path

import pytest
import yaml

from pistachiowell.schema.generated.settings import (
    GatewayAgentSettings,
    GatewaySettings,
)
from pistachiowell.schema.settings import read_settings

DEPLOY = Path(__file__).parents[3] / "deploy"
FIELDS = {
    "NodeName": "one",
    "Region": "south",
    "Zone": "east",
    "Ip": "10.0.0.1",
    "InternalPorts": [7340, 7355],
    "app": "10.0.0.1:80",
    "Listen": {"Front": "10.0.0.1:81", "Ready": "10.0.0.1:82"},
    "Platform": {"Address": "10.0.0.2:83"},
    "Limits": {
        "MaxFds": 4100,
        "MemoryMb": 300,
        "CpuShare": 0.5,
        "Cores": 0.387,
        "LinkMbps": 5,
    },
    "Bounds": {
        "ExposureShare": 0.07,
        "ExposureSlack": 33,
        "RetryBudgetRatio": 0.3,
        "RetryBudgetSlack": 44,
        "BudgetWindowS": 9,
        "EvacuateMs": 5000,
        "ColdOvershoot": 1.5,
        "ColdExtra": 5,
    },
    "Zones": {"east": "south", "west": "north"},
}


SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(?:\|json)?\}\}")
TEMPLATES = [("agent.yaml", GatewayAgentSettings), ("router.yaml", GatewaySettings)]


def find_field(fields, path):
    """Returns the value of a field, or None if a deployment has no such field."""
    found = fields
    for part in path.split("."):
        found = found[int(part)] if isinstance(found, list) else found.get(part)
        if found is None:
            return None
    return found


def repeat(text, table):
    """Returns the text of a section once for each entry of a table."""
    last = len(table) - 1
    return "".join(
        text.replace("{{@}}", key)
        .replace("{{.}}", value)
        .replace("{{,}}", "," if number < last else "")
        for number, (key, value) in enumerate(table.items())
    )


def render(name, fields):
    """Returns the settings file that a template gives for the fields."""

    def section(match):
        found = find_field(fields, match[2])
        if match[1] == "#" and isinstance(found, dict):
            return repeat(match[3], found)
        is_present = found is not None and found is not False
        return match[3] if is_present == (match[1] == "#") else ""

    def value(match):
        found = find_field(fields, match[1])
        return "" if found is None else json.dumps(found)

    text = (DEPLOY / name).read_text(encoding="utf-8")
    return PLACEHOLDER.sub(value, SECTION.sub(section, text))


def read_template(name):
    """Returns the settings that a template gives for ``FIELDS``."""
    return yaml.safe_load(render(name, FIELDS))


@pytest.mark.parametrize(("name", "settings_class"), TEMPLATES)
def test_template_gives_settings_of_its_program(name, settings_class):
    settings_class(**read_template(name))


def test_gateway_knows_the_bandwidth_of_its_link():
    assert GatewaySettings(**read_template("router.yaml")).link_mbps == 5


def test_judge_keeps_to_other_bounds_than_its_deployment_has():
    settings = GatewayAgentSettings(**read_template("agent.yaml"))
    assert (settings.exposure_share, settings.exposure_slack) == (0.07, 33)


@pytest.mark.parametrize("bound", sorted(FIELDS["Bounds"]))
@pytest.mark.parametrize(("name", "settings_class"), TEMPLATES)
def test_program_starts_without_a_bound_that_its_deployment_lacks(
    name, settings_class, bound, tmp_path
):
    # A deployment without roll-outs has no bounds for them. The programs refused the
    # empty values and ended at each start.
    bounds = {key: value for key, value in FIELDS["Bounds"].items() if key != bound}
    path = tmp_path / name
    path.write_text(render(name, {**FIELDS, "Bounds": bounds}), encoding="utf-8")
    read_settings(path, settings_class)


@pytest.mark.parametrize(("name", "settings_class"), TEMPLATES)
def test_program_starts_without_any_bounds(name, settings_class, tmp_path):
    path = tmp_path / name
    path.write_text(render(name, {**FIELDS, "Bounds": {}}), encoding="utf-8")
    read_settings(path, settings_class)


@pytest.mark.parametrize(("bounds", "share"), [(FIELDS["Bounds"], None), ({}, 0.05)])
def test_requests_are_hedged_where_versions_are_judged(bounds, share):
    text = render("router.yaml", {**FIELDS, "Bounds": bounds})
    assert yaml.safe_load(text).get("hedge_share") == share


def test_bound_of_zero_is_kept():
    # Zero is a value, not a missing one: it must not become the default.
    fields = {**FIELDS, "Bounds": {**FIELDS["Bounds"], "RetryBudgetSlack": 0}}
    assert yaml.safe_load(render("router.yaml", fields))["retry_fixed"] == 0


@pytest.mark.parametrize(("name", "settings_class"), TEMPLATES)
def test_parts_are_used_only_where_their_deployment_asks_for_them(
    name, settings_class, tmp_path
):
    # A deployment without evacuations, cold servers, regions or version moves would
    # pay for calls to the store, and one with them would serve without the bounds.
    settings = settings_class(**read_template(name))
    assert settings.evacuation_ms == 5000
    assert (settings.cold_overshoot, settings.cold_extra) == (1.5, 5)
    assert settings.regions == FIELDS["Zones"]
    assert settings.follows_moves
    fields = {key: value for key, value in FIELDS.items() if key != "Zones"}
    path = tmp_path / name
    path.write_text(render(name, {**fields, "Bounds": {}}), encoding="utf-8")
    settings = read_settings(path, settings_class)
    assert (settings.evacuation_ms, settings.cold_overshoot) == (0, 0)
    assert (settings.cold_extra, settings.regions) == (-1, {})
    assert not settings.follows_moves
