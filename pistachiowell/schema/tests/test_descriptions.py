"""Guards against descriptions that YAML cuts at a comma."""

import pytest
import yaml

from pistachiowell.schema.generate import schema_files


def empty_keys(node):
    """Yields the keys without a value below a node; a cut description leaves one."""
    if isinstance(node, dict):
        for key, value in node.items():
            if value is None and key != "default":
                yield key
            yield from empty_keys(value)
    elif isinstance(node, list):
        for value in node:
            yield from empty_keys(value)


@pytest.mark.parametrize("path", schema_files(), ids=lambda path: path.name)
def test_description_is_cut_at_a_comma(path):
    assert list(empty_keys(yaml.safe_load(path.read_text(encoding="utf-8")))) == []
