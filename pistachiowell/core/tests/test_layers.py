"""Tests of the boundaries between the packages."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PLATFORM_WORDS = re.compile(
    r"pistachiowell\.platform\b(?!\.main)|Pistachiowell-|RouteKind|MaxAttempts"
    r"|CurrentRev|AfterRevision|PrefixHash|ApiKeys"
)


def source_paths():
    """Returns the paths of the modules outside the platform adapter and the tests."""
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if "tests" not in parts and parts[0] not in ("platform", "soak"):
            yield path


@pytest.mark.parametrize("path", source_paths(), ids=lambda p: str(p.relative_to(ROOT)))
def test_only_the_adapter_knows_the_names_of_the_platform(path):
    lines = path.read_text(encoding="utf-8").splitlines()
    # Docstrings may refer to the codecs of the adapter; code may not.
    found = [x for x in lines if PLATFORM_WORDS.search(x) and "see ``" not in x]
    assert not [x for x in found if "``pistachiowell.platform" not in x]
