"""Generates the dataclasses of ``schema/generated`` from the YAML schema files.

Run ``python -m pistachiowell.schema.generate`` after a change of a schema file. With
``--check`` it writes nothing and fails if the generated code is not current. This
module imports no other module of the package, since most of them import the generated
code, which may be missing or stale while this module runs.
"""

import sys
import tempfile
from pathlib import Path

from absl import flags

SCHEMA_DIR = Path(__file__).parent
GENERATED_DIR = SCHEMA_DIR / "generated"


def schema_files():
    """Returns the paths of the schema files, sorted by name.

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
        target_dir: Directory that the modules are written to.
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
    """Returns the names of the modules that differ between two directories."""
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
