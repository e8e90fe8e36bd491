"""Reads settings files and checks them against the schema."""

import yaml

from pistachiowell.core.errors import SettingsInvalid
from pistachiowell.schema.validate import find_errors, parse_yaml, to_object


def read_settings(path, cls):
    """Reads and checks one YAML settings file.

    Args:
        path: Path of the file.
        cls: Generated settings class, such as ``RouterSettings``.

    Returns:
        An instance of ``cls``.

    Raises:
        SettingsInvalid: The file cannot be read or does not fit the schema. The
            message contains the path of the file and the errors with their positions.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = parse_yaml(file)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsInvalid(f"{path}: {error}.") from error
    errors = find_errors(document, "settings", cls.__name__)
    if errors:
        raise SettingsInvalid(f"{path}: {' '.join(errors)}")
    return to_object(document, cls)
