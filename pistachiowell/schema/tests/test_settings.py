"""Fuzz tests of settings files: any content gives settings or ``SettingsInvalid``.

They guard against errors of the YAML parser or of the validation, such as a ValueError
for a malformed date, that leave ``read_settings`` untyped.
"""

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
SETTING_NAMES = sorted(AgentSettings.__dataclass_fields__)
YAML_TOKENS = (
    "a: |- |{ |} |[ |] |'|\"|& |* |<<: |!!int |!!timestamp |2001-99-99|0x|~|\n|\t|1"
)
YAML_FRAGMENTS = st.lists(st.sampled_from(YAML_TOKENS.split("|"))).map("".join)
JSON_LIKE_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2)
    ),
    max_leaves=4,
)
fuzz_settings = settings(suppress_health_check=[HealthCheck.function_scoped_fixture])


def read_content(path, content, cls):
    path.write_bytes(content)
    return read_settings(path, cls)


@fuzz_settings
@given(content=st.binary() | YAML_FRAGMENTS.map(str.encode))
@example(content=b"store_url: 2001-99-99")
@example(content=b"[" * 2000)
@example(content=b"store_url: !!int ''")
def test_any_file_gives_settings_or_a_typed_error(tmp_path, content):
    with suppress(SettingsInvalid):
        read_content(tmp_path / "ctl.yaml", content, CtlSettings)


@fuzz_settings
@given(
    wrong=st.dictionaries(st.sampled_from(SETTING_NAMES), JSON_LIKE_VALUES, max_size=3)
)
@example(wrong={"port": 8100.0})
def test_any_value_gives_settings_or_a_typed_error(tmp_path, wrong):
    content = yaml.safe_dump({**VALID, **wrong}).encode()
    with suppress(SettingsInvalid):
        read_content(tmp_path / "agent.yaml", content, AgentSettings)


@pytest.mark.parametrize("number", [math.nan, math.inf])
def test_numbers_are_finite(tmp_path, number):
    content = yaml.safe_dump({**VALID, "claim_timeout_s": number}).encode()
    with pytest.raises(SettingsInvalid, match="claim_timeout_s"):
        read_content(tmp_path / "agent.yaml", content, AgentSettings)


def test_missing_file_is_a_typed_error(tmp_path):
    with pytest.raises(SettingsInvalid):
        read_settings(tmp_path / "none.yaml", CtlSettings)
