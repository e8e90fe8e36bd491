"""Guards against imports between the packages of the gateway that make circles."""

import ast
import re
from importlib import import_module
from pathlib import Path

import pytest

PACKAGE = "pistachiowell.gateway"
GATEWAY = Path(__file__).parents[1]
PAGE = GATEWAY.parents[1] / "docs" / "NEWCOMER.md"
PROGRAMS = {"__init__", "agent", "deputy", "gateway", "gateway_parts"}
ROW = re.compile(r"^\| `(\w+)/` \| .* \| (.*) \|$", re.M)


def packages():
    """Returns what each package may import, as the page for newcomers says."""
    section = PAGE.read_text(encoding="utf-8").split("## Packages of the gateway")[1]
    rows = ROW.findall(section.split("\n## ")[0])
    return {package: re.findall(r"`(\w+)/`", cell) for package, cell in rows}


def imported_names(path):
    """Yields the whole name of each import of a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "Packages are imported by their whole names."
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def forbidden_imports(path, package, allowed):
    """Returns the names from outside its package that a module must not import."""
    public = {x: import_module(f"{PACKAGE}.{x}").__all__ for x in allowed}
    known = {f"{PACKAGE}.{x}.{name}" for x, names in public.items() for name in names}
    names = [x for x in imported_names(path) if f"{x}.".startswith(f"{PACKAGE}.")]
    others = [x for x in names if not x.startswith(f"{PACKAGE}.{package}.")]
    return [x for x in others if x not in known]


def test_module_in_no_package():
    found = {path.name for path in GATEWAY.iterdir() if (path / "__init__.py").exists()}
    assert found - {"tests"} == set(packages())
    assert {path.stem for path in GATEWAY.glob("*.py")} == PROGRAMS


def test_circle_in_the_page():
    below = set()
    for package, allowed in packages().items():
        assert set(allowed) <= below, f"{package} may import what is listed later."
        below.add(package)


@pytest.mark.parametrize("package", packages())
def test_import_that_the_page_does_not_allow(package):
    paths = sorted((GATEWAY / package).glob("*.py"))
    found = [
        (p.name, forbidden_imports(p, package, packages()[package])) for p in paths
    ]
    assert [(name, imports) for name, imports in found if imports] == []
