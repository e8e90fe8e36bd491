"""Renders the reference page of settings and table rows from the schema files.

Run ``python -m pistachiowell.schema.reference`` to write docs/CONFIGURATION.md. A test
fails if the page is not current.
"""

from pathlib import Path

from pistachiowell.schema.validate import load_schema

PAGE = Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"

_INTRODUCTION = """\
# Configuration

This page is rendered from `pistachiowell/schema/settings.yaml` and `table.yaml` by
`make generate`; change those files, not this one.

Each program reads one YAML file given with `--settings FILE`; `--check` checks the
file and exits. The environment is not read. An unknown key is an error. The unit of
a number stands at the end of its name (`_s` seconds, `_bytes` bytes, `_tokens`
tokens); numbers without one are counts.
"""

_ROWS_INTRODUCTION = """\
## Rows of the table

Operators write rows in YAML or CSV and bring them in with `pistachiowell-ctl apply`.
"""


def render_page():
    """Returns the text of docs/CONFIGURATION.md.

    Examples:
        >>> "## RouterSettings" in render_page()
        True
    """
    settings = load_schema("settings")["$defs"]
    rows = load_schema("table")["$defs"]
    parts = [_INTRODUCTION]
    parts += [_render("##", name, settings[name]) for name in settings]
    parts.append(_ROWS_INTRODUCTION)
    parts += [_render("###", name, rows[name]) for name in rows if name != "StoredRow"]
    return "\n".join(parts)


def _render(heading, name, definition):
    required = definition.get("required", [])
    lines = [
        f"{heading} {name}",
        "",
        definition["description"],
        "",
        "| key | type | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for key, field in definition["properties"].items():
        default = "required" if key in required else _code(field.get("default"))
        meaning = field.get("description", "")
        lines.append(f"| `{key}` | {_type_text(field)} | {default} | {meaning} |")
    return "\n".join(lines) + "\n"


def _type_text(field):
    if "const" in field:
        return _code(field["const"])
    if "enum" in field:
        return ", ".join(_code(value) for value in field["enum"])
    bounds = [
        f"{sign} {field[name]}"
        for name, sign in (
            ("minimum", ">="),
            ("exclusiveMinimum", ">"),
            ("maximum", "<="),
        )
        if name in field
    ]
    return " ".join([field["type"], *bounds])


def _code(value):
    return f"`{value!r}`" if isinstance(value, str | list) else f"`{value}`"


def main():
    """Writes docs/CONFIGURATION.md."""
    PAGE.write_text(render_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
