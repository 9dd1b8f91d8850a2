"""Generate the modules of verbenaward/schema from the schemas in schema/.

The output is committed, so that neither the build nor the daemons need this script or its
libraries. Run `make generate` after a change to a schema.
"""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import capnp

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_FOLDER = ROOT / "schema"
OUTPUT_FOLDER = ROOT / "verbenaward" / "schema"

PYTHON_TYPES = {
    "bool": ("bool", "False"),
    "text": ("str", '""'),
    "data": ("bytes", 'b""'),
}
INTEGER_TYPES = {"int8", "int16", "int32", "int64", "uint8", "uint16", "uint32", "uint64"}


def main() -> None:
    """Generate the modules of all schemas and copy the schemas beside them."""
    generate_messages(SCHEMA_FOLDER / "messages.capnp", OUTPUT_FOLDER / "messages.py")
    generate_documents("settings")
    generate_documents("manifest")


def generate_messages(source: Path, target: Path) -> None:
    """Write frozen dataclasses and enums for a Cap'n Proto schema, and a copy of the schema.

    Args:
      source: The schema file.
      target: The Python module to write.
    """
    module = capnp.load(str(source))
    names = {node.id: node.name for node in module.schema.node.nestedNodes}
    lines = [
        '"""Messages between processes, generated from schema/messages.capnp."""',
        "",
        "from dataclasses import dataclass",
        "from enum import StrEnum",
        "",
    ]
    for name in names.values():
        definition = getattr(module, name)
        if hasattr(definition, "new_message"):
            lines += struct_lines(name, definition.schema, names)
        else:
            lines += enum_lines(name, definition.schema)
    target.write_text("\n".join(lines) + "\n")
    schema_copy = target.with_name(source.name)
    schema_copy.write_text(source.read_text())


def enum_lines(name: str, schema: Any) -> list[str]:
    """Return the source lines of the StrEnum class for a Cap'n Proto enum."""
    lines = [
        "",
        f"class {name}(StrEnum):",
        f'    """Values of the enum {name} in schema/messages.capnp."""',
        "",
    ]
    lines += [f'    {value.upper()} = "{value}"' for value in schema.enumerants]
    return [*lines, ""]


def struct_lines(name: str, schema: Any, names: dict[int, str]) -> list[str]:
    """Return the source lines of the dataclass for a Cap'n Proto struct."""
    lines = [
        "",
        "@dataclass(frozen=True, slots=True)",
        f"class {name}:",
        f'    """Message {name}, described in schema/messages.capnp."""',
        "",
    ]
    for field_name, field in schema.fields.items():
        type_text, default = python_type(field.proto.slot.type, names)
        lines.append(f"    {snake_case(field_name)}: {type_text} = {default}")
    return [*lines, ""]


def python_type(node: Any, names: dict[int, str]) -> tuple[str, str]:
    """Return the source text of the Python type and default value for a Cap'n Proto type."""
    kind = str(node.which())
    if kind in INTEGER_TYPES:
        return "int", "0"
    if kind in PYTHON_TYPES:
        return PYTHON_TYPES[kind]
    if kind == "enum":
        name = names[node.enum.typeId]
        return name, f"next(iter({name}))"
    if kind == "struct":
        name = names[node.struct.typeId]
        return name, f"{name}()"
    if kind == "list":
        inner, _ = python_type(node.list.elementType, names)
        return f"tuple[{inner}, ...]", "()"
    raise ValueError(f"type {kind} has no Python counterpart")


def snake_case(name: str) -> str:
    """Convert a camelCase name to snake_case."""
    return "".join(f"_{char.lower()}" if char.isupper() else char for char in name)


def generate_documents(name: str) -> None:
    """Write frozen dataclasses for a JSON schema, and a copy of the schema.

    Args:
      name: Stem of the schema file, for example "settings".
    """
    source = SCHEMA_FOLDER / f"{name}.schema.json"
    target = OUTPUT_FOLDER / f"{name}.py"
    command = [
        sys.executable,
        "-m",
        "datamodel_code_generator",
        *("--input", str(source)),
        *("--input-file-type", "jsonschema"),
        *("--output", str(target)),
        *("--output-model-type", "dataclasses.dataclass"),
        *("--target-python-version", "3.11"),
        *("--custom-file-header", f'"""Documents generated from schema/{source.name}."""'),
        "--frozen-dataclasses",
        "--use-schema-description",
        "--disable-timestamp",
        "--enum-field-as-literal=all",
        "--use-standard-collections",
        "--use-union-operator",
        "--use-default-kwarg",
        "--use-type-alias",
        "--strict-nullable",
        *("--formatters", "builtin"),
    ]
    subprocess.run(command, check=True)
    schema = json.loads(source.read_text())
    (OUTPUT_FOLDER / source.name).write_text(json.dumps(schema, indent=1) + "\n")


if __name__ == "__main__":
    main()
