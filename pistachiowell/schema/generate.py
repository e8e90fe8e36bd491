"""Generates the dataclasses of ``schema/generated`` from the YAML schema files.

Run ``python -m pistachiowell.schema.generate`` after a change of the schema.
With ``--check`` nothing is written and a difference is an error. This module imports
nothing of the package, since the rest of it needs the generated code.
"""

import sys
import tempfile
from pathlib import Path

from absl import flags

SCHEMA_DIR = Path(__file__).parent
GENERATED_DIR = SCHEMA_DIR / "generated"


def schema_files():
    """Returns the schema files in the order of their names.

    Returns:
        A list of paths.

    Examples:
        >>> "table.yaml" in [path.name for path in schema_files()]
        True
    """
    return sorted(SCHEMA_DIR.glob("*.yaml"))


def generate(target_dir):
    """Generates one module for each schema file.

    Args:
        target_dir: Directory that receives the modules.
    """
    from datamodel_code_generator import DataModelType, InputFileType, generate
    from datamodel_code_generator.enums import DataclassArguments
    from datamodel_code_generator.format import Formatter, PythonVersion

    for path in schema_files():
        generate(
            input_=path.read_text(encoding="utf-8"),
            input_filename=path.name,
            input_file_type=InputFileType.JsonSchema,
            output=target_dir / f"{path.stem}.py",
            output_model_type=DataModelType.DataclassesDataclass,
            dataclass_arguments=DataclassArguments(slots=True, frozen=True),
            use_schema_description=True,
            use_field_description=True,
            disable_timestamp=True,
            use_standard_collections=True,
            use_union_operator=True,
            strict_nullable=True,
            target_python_version=PythonVersion.PY_311,
            formatters=[Formatter.BLACK, Formatter.ISORT],
        )
    names = ", ".join(f'"{path.stem}"' for path in schema_files())
    (target_dir / "__init__.py").write_text(
        f'"""Dataclasses generated from the schema files."""\n\n__all__ = [{names}]\n',
        encoding="utf-8",
    )


def differing_files(left_dir, right_dir):
    """Lists the module names whose text differs between two directories."""
    names = {p.name for p in left_dir.glob("*.py")}
    names |= {p.name for p in right_dir.glob("*.py")}
    return sorted(n for n in names if _text(left_dir / n) != _text(right_dir / n))


def _text(path):
    return path.read_text(encoding="utf-8") if path.exists() else None


def main():
    """Runs the generator from the command line."""
    values = flags.FlagValues()
    flags.DEFINE_bool("check", False, "Compare only.", flag_values=values)
    values(sys.argv)
    if not values.check:
        generate(GENERATED_DIR)
        return
    with tempfile.TemporaryDirectory() as name:
        generate(Path(name))
        differing = differing_files(Path(name), GENERATED_DIR)
    if differing:
        print(f"Generated code is stale: {differing}; run 'make generate'.")
        sys.exit(1)
    print("Generated code is current.")


if __name__ == "__main__":
    main()
