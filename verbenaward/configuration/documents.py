"""Reading of JSON documents with comments, checked against their schemas."""

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import msgspec

from .. import schema
from ..data import Fault

if TYPE_CHECKING:
    from jsonschema import Draft202012Validator, ValidationError

DocumentType = TypeVar("DocumentType")
Rules = Callable[[str, Any], tuple[Fault, ...]]

MAXIMUM_DOCUMENT_BYTES = 900_000
MAXIMUM_MESSAGE_CHARACTERS = 300
SCHEMA_FOLDER = Path(schema.__file__).parent


@dataclass(frozen=True, slots=True)
class Checked(Generic[DocumentType]):
    """A checked document: the value, or None with at least one fault."""

    value: DocumentType | None
    faults: tuple[Fault, ...]


def no_rules(source: str, value: Any) -> tuple[Fault, ...]:
    """Find no faults beyond those of the schema."""
    return ()


def read_document(
    path: Path, schema_name: str, document_type: type[DocumentType], rules: Rules = no_rules
) -> Checked[DocumentType]:
    """Read and check a file.

    Args:
      path: The file.
      schema_name: Stem of the schema file, for example "settings".
      document_type: Generated class of the document.
      rules: Finds faults that the schema cannot express in the parsed JSON, which may
        have any form.

    Returns:
      The document, or all faults that were found.
    """
    try:
        payload = path.read_bytes()
    except OSError as error:
        fault = Fault(str(path), "", f"cannot be read: {error.strerror}", "check the path")
        return Checked(None, (fault,))
    return check_document(str(path), payload, schema_name, document_type, rules)


def check_document(
    source: str,
    payload: bytes,
    schema_name: str,
    document_type: type[DocumentType],
    rules: Rules = no_rules,
) -> Checked[DocumentType]:
    """Check the bytes of a document.

    Args:
      source: Name of the file, for the faults.
      payload: The bytes.
      schema_name: Stem of the schema file.
      document_type: Generated class of the document.
      rules: Finds faults that the schema cannot express in the parsed JSON, which may
        have any form.

    Returns:
      The document, or all faults that were found.
    """
    if len(payload) > MAXIMUM_DOCUMENT_BYTES:
        message = f"has {len(payload)} bytes; at most {MAXIMUM_DOCUMENT_BYTES} are allowed"
        return Checked(None, (Fault(source, "", message),))
    try:
        text = payload.decode("utf-8-sig")
        value = parse_text(text)
    except (ValueError, RecursionError) as error:
        hint = "a comma, quote or bracket may be missing, or the file may be cut off"
        return Checked(None, (Fault(source, "", f"is not JSON: {error}", hint),))
    faults = schema_faults(source, text, value, schema_name) + rules(source, value)
    if faults:
        return Checked(None, faults)
    return Checked(msgspec.convert(value, document_type), ())


def items_at(value: Any, key: str) -> list[dict[str, Any]]:
    """Return the objects in the list under a key of a value that may have any form."""
    listed = value.get(key) if isinstance(value, dict) else None
    return [item for item in listed if isinstance(item, dict)] if isinstance(listed, list) else []


def object_at(value: Any, key: str) -> dict[str, Any]:
    """Return the object under a key of a value that may have any form; empty for none."""
    found = value.get(key) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def parse_text(text: str) -> Any:
    """Parse JSON, with comments where there are any.

    Raises:
      ValueError: The text is not JSON or has a key twice.
    """
    try:
        return json.loads(text, object_pairs_hook=unique_pairs)
    except json.JSONDecodeError:
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the pairs as a dictionary.

    Raises:
      ValueError: A key stands twice.
    """
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f'Duplicate key "{key}" found in object')
        result[key] = value
    return result


def schema_faults(source: str, text: str, value: Any, schema_name: str) -> tuple[Fault, ...]:
    """Return every fault that the schema finds."""
    errors = sorted(
        validator(schema_name).iter_errors(value), key=lambda error: list(map(str, error.path))
    )
    return tuple(fault_of(source, text, error) for error in errors)


def fault_of(source: str, text: str, error: "ValidationError") -> Fault:
    """Return the fault of one schema error."""
    keys = [str(part) for part in error.absolute_path]
    line = line_of(text, keys)
    place = f"{source}:{line}" if line else source
    hint = str(error.schema.get("description", "")) if isinstance(error.schema, dict) else ""
    if error.validator == "additionalProperties" and isinstance(error.schema, dict):
        known = ", ".join(sorted(error.schema.get("properties", {})))
        hint = f"known keys: {known}"
    message = error.message
    if error.validator == "pattern":
        message = f"{error.instance!r} does not have the form that is wanted"
    if error.validator == "required":
        hint = ""
    return Fault(place, ".".join(keys), message[:MAXIMUM_MESSAGE_CHARACTERS], hint)


def line_of(text: str, keys: list[str]) -> int:
    """Return the line of a key path, or of the last key of it that is found; 0 for none."""
    position = 0
    for key in keys:
        if key.isdigit():
            continue
        match = re.compile(rf"[\"']?{re.escape(key)}[\"']?\s*:").search(text, position)
        if match is None:
            break
        position = match.start()
    return text.count("\n", 0, position) + 1 if position else 0


@cache
def validator(schema_name: str) -> "Draft202012Validator":
    """Return the validator of a schema; imported here, as few processes meet a fault."""
    from jsonschema import Draft202012Validator

    path = SCHEMA_FOLDER / f"{schema_name}.schema.json"
    return Draft202012Validator(json.loads(path.read_text()))
