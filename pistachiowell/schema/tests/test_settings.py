"""Fuzzing of settings files: settings or a typed error, whatever the file holds."""

import math
from contextlib import suppress

import pytest
import yaml
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.schema.generated.settings import AgentSettings, CtlSettings
from pistachiowell.schema.settings import read_settings

VALID = {
    "id": "agent-1",
    "region": "gh-south",
    "data_centre": "osu",
    "host": "127.0.0.1",
    "port": 8100,
    "store_url": "http://127.0.0.1:8001",
    "server": "engine-1",
}
NAMES = sorted(AgentSettings.__dataclass_fields__)
TOKENS = (
    "a: |- |{ |} |[ |] |'|\"|& |* |<<: |!!int |!!timestamp |2001-99-99|0x|~|\n|\t|1"
)
PIECES = st.lists(st.sampled_from(TOKENS.split("|"))).map("".join)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2)
    ),
    max_leaves=4,
)
fuzzed = settings(suppress_health_check=[HealthCheck.function_scoped_fixture])


def read(path, content, cls):
    path.write_bytes(content)
    return read_settings(path, cls)


@fuzzed
@given(content=st.binary() | PIECES.map(str.encode))
@example(content=b"store_url: 2001-99-99")
@example(content=b"[" * 2000)
@example(content=b"store_url: !!int ''")
def test_any_file_gives_settings_or_a_typed_error(tmp_path, content):
    with suppress(SettingsInvalid):
        read(tmp_path / "ctl.yaml", content, CtlSettings)


@fuzzed
@given(wrong=st.dictionaries(st.sampled_from(NAMES), VALUES, max_size=3))
@example(wrong={"port": 8100.0})
def test_any_value_gives_settings_or_a_typed_error(tmp_path, wrong):
    content = yaml.safe_dump({**VALID, **wrong}).encode()
    with suppress(SettingsInvalid):
        read(tmp_path / "agent.yaml", content, AgentSettings)


@pytest.mark.parametrize("number", [math.nan, math.inf])
def test_numbers_are_finite(tmp_path, number):
    content = yaml.safe_dump({**VALID, "claim_timeout_s": number}).encode()
    with pytest.raises(SettingsInvalid, match="claim_timeout_s"):
        read(tmp_path / "agent.yaml", content, AgentSettings)


def test_missing_file_is_a_typed_error(tmp_path):
    with pytest.raises(SettingsInvalid):
        read_settings(tmp_path / "none.yaml", CtlSettings)
