"""Tests that documentation pages match the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
METRIC_CALLS = re.compile(r'metrics\.(?:count|gauge|timing|watch)\(\s*f?"([^"]+)"')


def test_metrics_page_lists_every_metric_of_the_code():
    """The page lists all metrics that the code records, and no others."""
    page = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
    listed = {re.sub("<.*>", "", name) for name in re.findall(r"\| `([^`]+)` \|", page)}
    sources = [
        path.read_text(encoding="utf-8")
        for path in (ROOT / "pistachiowell").rglob("*.py")
        if "tests" not in path.parts
    ]
    used = {
        re.sub("{.*}", "", name)
        for text in sources
        for name in METRIC_CALLS.findall(text)
    }
    assert used == listed
