"""Boundaries between the packages."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PLATFORM_WORDS = re.compile(
    r"pistachiowell\.platform\b(?!\.main)|Pistachiowell-|RouteKind|MaxAttempts"
    r"|CurrentRev|AfterRevision|PrefixHash|ApiKeys"
)


def sources():
    """Returns the modules outside the adapter and outside of tests."""
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if "tests" not in parts and parts[0] not in ("platform", "soak"):
            yield path


@pytest.mark.parametrize("path", sources(), ids=lambda p: str(p.relative_to(ROOT)))
def test_only_the_adapter_knows_the_names_of_the_platform(path):
    lines = path.read_text(encoding="utf-8").splitlines()
    # Doc strings may point to the adapter's codecs; code may not.
    found = [x for x in lines if PLATFORM_WORDS.search(x) and "see ``" not in x]
    assert not [x for x in found if "``pistachiowell.platform" not in x]
