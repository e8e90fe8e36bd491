"""Checks documents against the schema files and makes typed objects of them."""

import functools
import math
from pathlib import Path

import jsonschema
import msgspec
import yaml

_SCHEMA_DIR = Path(__file__).parent


def _is_integer(checker, value):
    del checker
    return type(value) is int


def _is_number(checker, value):
    del checker
    return type(value) is int or (type(value) is float and math.isfinite(value))


# JSON Schema takes 1.0 for an integer and, in Python, NaN for a number.
_Validator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator,
    type_checker=jsonschema.Draft202012Validator.TYPE_CHECKER.redefine_many(
        {"integer": _is_integer, "number": _is_number}
    ),
)


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
    return _Validator(schema)


def parse_yaml(text):
    """Reads one YAML document.

    Args:
        text: Text or an open file.

    Raises:
        yaml.YAMLError: The text is no YAML, whatever the parser meets in it.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError:
        raise
    except Exception as error:
        # The constructors of PyYAML raise whatever a malformed value leads to.
        raise yaml.YAMLError(f"A value cannot be read: {error}") from error


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
