"""Validates documents against the schema files and converts them to typed objects."""

import functools
import math
from pathlib import Path

import jsonschema
import msgspec
import yaml

_SCHEMA_DIR = Path(__file__).parent
# The parser in C is there only if PyYAML was built with libyaml.
_SCHEMA_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _is_integer(checker, value):
    del checker
    return type(value) is int


def _is_number(checker, value):
    del checker
    return type(value) is int or (type(value) is float and math.isfinite(value))


# By default 1.0 is valid as an integer, and NaN and infinity are valid as numbers.
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
    return yaml.load(text, _SCHEMA_LOADER)


@functools.cache
def _validator(name, definition):
    schema = dict(load_schema(name))
    schema["$ref"] = f"#/$defs/{definition}"
    return _Validator(schema)


def parse_yaml(text):
    """Parses one YAML document.

    Args:
        text: Text or an open file.

    Returns:
        The document; None if the text is empty.

    Raises:
        yaml.YAMLError: The text is not valid YAML. Every error of the parser is
            raised as this one.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError:
        raise
    except Exception as error:
        # For malformed values, such as the date 2001-99-99, PyYAML raises errors that
        # are not a YAMLError: ValueError, RecursionError and others.
        raise yaml.YAMLError(f"A value cannot be parsed: {error}") from error


def find_errors(document, name, definition):
    """Returns the errors of a document against a schema definition.

    Args:
        document: Document to check.
        name: Schema file name without ``.yaml``.
        definition: Name under ``$defs``.

    Returns:
        A list of sentences, each with the path in the document; empty if the document
        is valid.

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
    """Converts a valid document to an instance of a generated dataclass.

    Args:
        document: Mapping that fits the schema.
        cls: Generated class.

    Returns:
        An instance of ``cls``.

    Raises:
        msgspec.ValidationError: The document does not fit the class.
    """
    return msgspec.convert(document, type=cls)
