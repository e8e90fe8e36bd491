"""Checks documents against the schema files and makes typed objects of them."""

import functools
from pathlib import Path

import jsonschema
import msgspec
import yaml

_SCHEMA_DIR = Path(__file__).parent


@functools.cache
def load_schema(name):
    """Loads one schema file.

    Args:
        name: File name without ``.yaml``.

    Returns:
        The schema as a mapping.
    """
    text = (_SCHEMA_DIR / f"{name}.yaml").read_text(encoding="utf-8")
    return yaml.safe_load(text)


@functools.cache
def _validator(name, definition):
    schema = dict(load_schema(name))
    schema["$ref"] = f"#/$defs/{definition}"
    return jsonschema.Draft202012Validator(schema)


def find_errors(document, name, definition):
    """Lists what is wrong with a document.

    Args:
        document: Mapping to check.
        name: Schema file name without ``.yaml``.
        definition: Name under ``$defs``.

    Returns:
        A list of sentences, each with the path in the document; empty if valid.

    Examples:
        >>> find_errors({"store_url": "x"}, "settings", "CtlSettings")[0]
        "at the top: 'operator' is a required property."
    """
    errors = _validator(name, definition).iter_errors(document)
    ordered = sorted(errors, key=lambda error: [str(part) for part in error.path])
    return [f"{_place(error)}: {error.message}." for error in ordered]


def _place(error):
    path = ".".join(str(part) for part in error.path)
    return f"at {path}" if path else "at the top"


def to_object(document, cls):
    """Makes a generated dataclass of a valid document.

    Args:
        document: Mapping that fits the schema.
        cls: Generated class.

    Raises:
        msgspec.ValidationError: The document does not fit.
    """
    return msgspec.convert(document, type=cls)
