"""Tests of the rendered reference page and of the settings files."""

import pytest
import yaml

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.schema.generated.settings import RouterSettings
from pistachiowell.schema.reference import PAGE, render_page
from pistachiowell.schema.settings import read_settings
from pistachiowell.schema.validate import load_schema

VALID = {
    "id": "r1",
    "region": "gh-south",
    "data_centre": "osu",
    "http_host": "127.0.0.1",
    "http_port": 8080,
    "peer_host": "127.0.0.1",
    "peer_port": 8081,
    "store_url": "http://127.0.0.1:8000",
}


def test_page_is_current():
    assert PAGE.read_text(encoding="utf-8") == render_page()


def test_every_setting_is_described():
    for name, definition in load_schema("settings")["$defs"].items():
        for key, field in definition["properties"].items():
            assert field.get("description"), f"{name}.{key}"


@pytest.fixture
def read(tmp_path):
    """Returns a function that reads the settings of a text."""

    def read_text(text):
        path = tmp_path / "router.yaml"
        path.write_text(text, encoding="utf-8")
        return read_settings(path, RouterSettings)

    return read_text


def test_valid_settings_take_defaults(read):
    settings = read(yaml.safe_dump(VALID))
    assert settings.http_port == 8080
    assert settings.max_held_bytes == 16777216


@pytest.mark.parametrize(
    ("change", "found"),
    [
        ({"http_port": "x"}, "at http_port: 'x' is not of type 'integer'"),
        ({"typo": 1}, "'typo' was unexpected"),
        ({"store_url": "ftp://x"}, "at store_url: 'ftp://x' does not match"),
        ({"log_level": "LOUD"}, "at log_level: 'LOUD' is not one of"),
    ],
)
def test_wrong_settings_name_file_place_finding_and_remedy(read, change, found):
    with pytest.raises(SettingsInvalid) as caught:
        read(yaml.safe_dump({**VALID, **change}))
    assert "router.yaml" in str(caught.value)
    assert found in str(caught.value)
    assert SettingsInvalid.remedy in str(caught.value)


@pytest.mark.parametrize("text", ["", "[]", "a: [", "\x00", "id: !!python/none x"])
def test_files_that_are_no_settings_are_refused(read, text):
    with pytest.raises(SettingsInvalid):
        read(text)
