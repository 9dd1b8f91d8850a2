"""Reads JSON documents, with comments allowed, and checks them against their schemas."""

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
"""Returns the faults that the schema cannot express; gets the source's name and the parsed JSON."""

MAXIMUM_DOCUMENT_BYTES = 900_000
"""A longer document is refused before it is decoded."""
MAXIMUM_MESSAGE_CHARACTERS = 300
"""Messages of the schema validator quote the faulty value and are cut to this length."""
SCHEMA_FOLDER = Path(schema.__file__).parent


@dataclass(frozen=True, slots=True)
class Checked(Generic[DocumentType]):
    """Result of checking a document: its value and no faults, or None and at least one fault."""

    value: DocumentType | None
    faults: tuple[Fault, ...]


def no_rules(source: str, value: Any) -> tuple[Fault, ...]:
    """Find no faults: the rules of a document that its schema describes completely."""
    return ()


def read_document(
    path: Path, schema_name: str, document_type: type[DocumentType], rules: Rules = no_rules
) -> Checked[DocumentType]:
    """Read a document from a file and check it.

    Args:
      path: Path of the file.
      schema_name: Name of the schema file without its suffix, for example "settings".
      document_type: Class that was generated from the schema.
      rules: Returns the faults that the schema cannot express. It gets the parsed JSON even if
        that violates the schema, so it must accept values of any type.

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
      source: Name of the file or other origin, for the faults.
      payload: The bytes.
      schema_name: Name of the schema file without its suffix.
      document_type: Class that was generated from the schema.
      rules: Returns the faults that the schema cannot express, as in `read_document`.

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
    """Return the objects in the list at a key of unchecked JSON; items of other types are left out.

    The list is empty if the value is not an object or has no list at the key.
    """
    listed = value.get(key) if isinstance(value, dict) else None
    return [item for item in listed if isinstance(item, dict)] if isinstance(listed, list) else []


def object_at(value: Any, key: str) -> dict[str, Any]:
    """Return the object at a key of unchecked JSON; an empty one if there is none."""
    found = value.get(key) if isinstance(value, dict) else None
    return found if isinstance(found, dict) else {}


def parse_text(text: str) -> Any:
    """Parse JSON; text with comments is left to the slower JSON5 parser.

    Raises:
      ValueError: The text is not JSON or an object has a key twice.
    """
    try:
        return json.loads(text, object_pairs_hook=unique_pairs)
    except json.JSONDecodeError:
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the pairs of a JSON object as a dictionary.

    Raises:
      ValueError: A key occurs twice.
    """
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f'Duplicate key "{key}" found in object')
        result[key] = value
    return result


def schema_faults(source: str, text: str, value: Any, schema_name: str) -> tuple[Fault, ...]:
    """Return every violation of the schema as a fault, in the order of their paths."""
    errors = sorted(
        validator(schema_name).iter_errors(value), key=lambda error: list(map(str, error.path))
    )
    return tuple(fault_of(source, text, error) for error in errors)


def fault_of(source: str, text: str, error: "ValidationError") -> Fault:
    """Return the fault that reports a violation of the schema, with its line where found."""
    keys = [str(part) for part in error.absolute_path]
    line = line_of(text, keys)
    location = f"{source}:{line}" if line else source
    hint = str(error.schema.get("description", "")) if isinstance(error.schema, dict) else ""
    if error.validator == "additionalProperties" and isinstance(error.schema, dict):
        known_keys = ", ".join(sorted(error.schema.get("properties", {})))
        hint = f"known keys: {known_keys}"
    message = error.message
    if error.validator == "pattern":
        message = f"{error.instance!r} does not match the expected format"
    if error.validator == "required":
        hint = ""
    return Fault(location, ".".join(keys), message[:MAXIMUM_MESSAGE_CHARACTERS], hint)


def line_of(text: str, keys: list[str]) -> int:
    """Return the line on which a path of keys ends, by a text search.

    It is the line of the last key that is found, or 0 if none is. Indexes of lists are ignored,
    so the line may be that of an earlier item of a list.
    """
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
    """Return the validator of a schema; jsonschema is imported when the first one is needed."""
    from jsonschema import Draft202012Validator

    path = SCHEMA_FOLDER / f"{schema_name}.schema.json"
    return Draft202012Validator(json.loads(path.read_text()))
