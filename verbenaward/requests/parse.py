"""Parses HTTP requests of callers into Request records."""

import json
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from blake3 import blake3
from returns.result import Failure, Result, Success

from ..configuration.manifest import release_of_model, service_of_name
from ..data import Configuration, Refusal
from . import headers
from .records import DEFAULT_CLASS, DEFAULT_WORKSPACE, PRIORITIES, Request
from .refusals import not_run

AFFINITY_MESSAGES = 2
"""First messages of a chat that count as its prompt prefix."""
AFFINITY_CHARACTERS = 1024
"""Characters of each of these messages, or of the prompt, that count."""
MAXIMUM_NAME_CHARACTERS = 128
"""Longest workspace name and request id."""
MAXIMUM_KEY_CHARACTERS = 256
"""Longest idempotency key."""
MAXIMUM_DEADLINE_SECONDS = 86_400.0
"""Longest time to the deadline that a caller may ask for."""


@dataclass(frozen=True, slots=True)
class HeaderFields:
    """Values from the headers of a request; the deadline is monotonic."""

    request_id: str
    workspace: str
    request_class: str
    key: str
    deadline: float


def parse_model_request(
    path: str,
    header_values: Mapping[str, str],
    body: bytes,
    configuration: Configuration,
    default_seconds: float,
    now: float,
) -> Result[Request, Refusal]:
    """Parse a request to a model; refuse it if it is malformed or no release serves the model.

    Args:
      path: Path of the HTTP request.
      header_values: HTTP headers.
      body: JSON body.
      configuration: Current configuration.
      default_seconds: Time to the deadline if the caller sets none.
      now: Current time, monotonic, in seconds.
    """
    fields = parse_headers(header_values, default_seconds, now)
    if not isinstance(fields, Success):
        return Failure(fields.failure())
    document = parse_json_object(body)
    if document is None:
        return Failure(not_run(400, "malformed", "the body is not a JSON object"))
    model = document.get("model")
    release = release_of_model(configuration.manifest, str(model))
    if release is None:
        return Failure(
            not_run(404, "unknown-model", f"no release serves model {str(model)[:80]!r}")
        )
    parsed = fields.unwrap()
    return Success(
        Request(
            request_id=parsed.request_id,
            workspace=parsed.workspace,
            request_class=parsed.request_class,
            role=release.role,
            target=str(model),
            method="POST",
            path=path,
            body=body,
            content_type="application/json",
            stream=document.get("stream") is True,
            idempotent=True,
            idempotency_key="",
            received_at=now,
            deadline=parsed.deadline,
            fingerprint=blake3(body).digest(length=16),
            affinity=affinity_of(parsed.workspace, document),
            is_model=True,
        )
    )


def parse_service_request(
    method: str,
    service_name: str,
    path: str,
    header_values: Mapping[str, str],
    body: bytes,
    configuration: Configuration,
    default_seconds: float,
    now: float,
) -> Result[Request, Refusal]:
    """Parse a request to a plain service; see parse_model_request for the arguments."""
    fields = parse_headers(header_values, default_seconds, now)
    if not isinstance(fields, Success):
        return Failure(fields.failure())
    service = service_of_name(configuration.manifest, service_name)
    if service is None:
        message = f"no service is named {service_name[:80]!r}"
        return Failure(not_run(404, "unknown-service", message))
    parsed = fields.unwrap()
    idempotent = method in service.idempotent_methods
    key = "" if idempotent else parsed.key or parsed.request_id
    fingerprinted = f"{method}\0{path}\0".encode() + body
    return Success(
        Request(
            request_id=parsed.request_id,
            workspace=parsed.workspace,
            request_class=parsed.request_class,
            role=service.role,
            target=service.name,
            method=method,
            path=path,
            body=body,
            content_type=header_values.get("Content-Type", "application/octet-stream"),
            stream=False,
            idempotent=idempotent,
            idempotency_key=key,
            received_at=now,
            deadline=parsed.deadline,
            fingerprint=blake3(fingerprinted).digest(length=16),
            affinity=parsed.request_id,
            is_model=False,
        )
    )


def parse_headers(
    header_values: Mapping[str, str], default_seconds: float, now: float
) -> Result[HeaderFields, Refusal]:
    """Parse and check the headers."""
    workspace = header_values.get(headers.WORKSPACE, DEFAULT_WORKSPACE)
    request_class = header_values.get(headers.CLASS, DEFAULT_CLASS)
    request_id = header_values.get(headers.REQUEST_ID) or uuid.uuid4().hex
    key = header_values.get(headers.IDEMPOTENCY_KEY, "")
    if request_class not in PRIORITIES:
        allowed = ", ".join(PRIORITIES)
        return Failure(malformed(f"{headers.CLASS} must be one of {allowed}"))
    if not is_valid_name(workspace) or not is_valid_name(request_id):
        return Failure(malformed("the workspace or request id is too long or not printable"))
    if len(key) > MAXIMUM_KEY_CHARACTERS or not key.isprintable():
        return Failure(malformed(f"{headers.IDEMPOTENCY_KEY} is too long or not printable"))
    try:
        seconds = float(header_values.get(headers.DEADLINE_MS, default_seconds * 1000)) / 1000
    except ValueError:
        return Failure(malformed(f"{headers.DEADLINE_MS} is not a number"))
    if not 0 < seconds <= MAXIMUM_DEADLINE_SECONDS:
        return Failure(malformed(f"{headers.DEADLINE_MS} is out of range"))
    return Success(HeaderFields(request_id, workspace, request_class, key, now + seconds))


def malformed(message: str) -> Refusal:
    """Return the refusal for a malformed request."""
    return not_run(400, "malformed", message)


def request_id_of(header_values: Mapping[str, str]) -> str:
    """Return the request id set by the caller; empty if it set none or an invalid one."""
    request_id = header_values.get(headers.REQUEST_ID, "")
    return request_id if is_valid_name(request_id) else ""


def is_valid_name(text: str) -> bool:
    """Return True if a text is printable, not empty and not too long for a name."""
    return 0 < len(text) <= MAXIMUM_NAME_CHARACTERS and text.isprintable()


def parse_json_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object in a body, or None if there is no valid one."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def affinity_of(workspace: str, document: dict[str, Any]) -> str:
    """Return the routing key of a request: its workspace and the prefix of its prompt."""
    messages = document.get("messages")
    if not isinstance(messages, list):
        return f"{workspace}\0{str(document.get('prompt', ''))[:AFFINITY_CHARACTERS]}"
    parts = [
        str(message.get("content", ""))[:AFFINITY_CHARACTERS]
        for message in messages[:AFFINITY_MESSAGES]
        if isinstance(message, dict)
    ]
    return "\0".join([workspace, *parts])
