"""Turns HTTP requests of callers into records."""

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
AFFINITY_CHARACTERS = 1024
MAXIMUM_NAME_CHARACTERS = 128
MAXIMUM_KEY_CHARACTERS = 256
MAXIMUM_DEADLINE_SECONDS = 86_400.0


@dataclass(frozen=True, slots=True)
class Facts:
    """What the headers of a request say."""

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
    """Return the request to a model.

    Args:
      path: Path of the call.
      header_values: HTTP headers.
      body: Body.
      configuration: Configuration in force.
      default_seconds: Time to the deadline where the caller states none.
      now: Present time, monotonic, in seconds.
    """
    facts = parse_facts(header_values, default_seconds, now)
    if not isinstance(facts, Success):
        return Failure(facts.failure())
    document = parse_object(body)
    if document is None:
        return Failure(not_run(400, "malformed", "the body is not a JSON object"))
    model = document.get("model")
    release = release_of_model(configuration.manifest, str(model))
    if release is None:
        return Failure(
            not_run(404, "unknown-model", f"no release serves model {str(model)[:80]!r}")
        )
    known = facts.unwrap()
    return Success(
        Request(
            request_id=known.request_id,
            workspace=known.workspace,
            request_class=known.request_class,
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
            deadline=known.deadline,
            fingerprint=blake3(body).digest(length=16),
            affinity=affinity_of(known.workspace, document),
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
    """Return the request to a plain service; see parse_model_request for the arguments."""
    facts = parse_facts(header_values, default_seconds, now)
    if not isinstance(facts, Success):
        return Failure(facts.failure())
    service = service_of_name(configuration.manifest, service_name)
    if service is None:
        message = f"no service is named {service_name[:80]!r}"
        return Failure(not_run(404, "unknown-service", message))
    known = facts.unwrap()
    idempotent = method in service.idempotent_methods
    key = "" if idempotent else known.key or known.request_id
    seed = f"{method}\0{path}\0".encode() + body
    return Success(
        Request(
            request_id=known.request_id,
            workspace=known.workspace,
            request_class=known.request_class,
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
            deadline=known.deadline,
            fingerprint=blake3(seed).digest(length=16),
            affinity=known.request_id,
            is_model=False,
        )
    )


def parse_facts(
    header_values: Mapping[str, str], default_seconds: float, now: float
) -> Result[Facts, Refusal]:
    """Return what the headers say, or why they are refused."""
    workspace = header_values.get(headers.WORKSPACE, DEFAULT_WORKSPACE)
    request_class = header_values.get(headers.CLASS, DEFAULT_CLASS)
    request_id = header_values.get(headers.REQUEST_ID) or uuid.uuid4().hex
    key = header_values.get(headers.IDEMPOTENCY_KEY, "")
    if request_class not in PRIORITIES:
        known = ", ".join(PRIORITIES)
        return Failure(malformed(f"{headers.CLASS} must be one of {known}"))
    if not is_name(workspace) or not is_name(request_id):
        return Failure(malformed("the workspace or request id is too long or not printable"))
    if len(key) > MAXIMUM_KEY_CHARACTERS or not key.isprintable():
        return Failure(malformed(f"{headers.IDEMPOTENCY_KEY} is too long or not printable"))
    try:
        seconds = float(header_values.get(headers.DEADLINE_MS, default_seconds * 1000)) / 1000
    except ValueError:
        return Failure(malformed(f"{headers.DEADLINE_MS} is not a number"))
    if not 0 < seconds <= MAXIMUM_DEADLINE_SECONDS:
        return Failure(malformed(f"{headers.DEADLINE_MS} is out of range"))
    return Success(Facts(request_id, workspace, request_class, key, now + seconds))


def malformed(message: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return not_run(400, "malformed", message)


def request_id_of(header_values: Mapping[str, str]) -> str:
    """Return the request id that a caller gave, or an empty text where it gave none."""
    named = header_values.get(headers.REQUEST_ID, "")
    return named if is_name(named) else ""


def is_name(text: str) -> bool:
    """Return True for a short printable text."""
    return 0 < len(text) <= MAXIMUM_NAME_CHARACTERS and text.isprintable()


def parse_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object of a body, or None."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def affinity_of(workspace: str, document: dict[str, Any]) -> str:
    """Return the text that requests with the same prompt prefix share."""
    messages = document.get("messages")
    if not isinstance(messages, list):
        return f"{workspace}\0{str(document.get('prompt', ''))[:AFFINITY_CHARACTERS]}"
    parts = [
        str(message.get("content", ""))[:AFFINITY_CHARACTERS]
        for message in messages[:AFFINITY_MESSAGES]
        if isinstance(message, dict)
    ]
    return "\0".join([workspace, *parts])
