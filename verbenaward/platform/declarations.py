"""Parsers of the entries that the operator and the backends write to the platform's store."""

import re
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..data import (
    Backend,
    CallerLimits,
    EngineProfile,
    Fault,
    HeldWeights,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceDeclaration,
    ServiceShare,
    TargetVersion,
    WorkspaceDeclaration,
)
from .key_value import KeyValueEntry
from .names import BACKEND_PREFIX

MILLISECONDS = 1000.0
DEFAULT_TOKENS_PER_PASS = 2048
"""Prompt tokens that an engine reads in one pass if its declaration does not say."""
MAXIMUM_NUMBER = 2**32 - 1
"""Largest whole number that messages between processes carry."""
MAXIMUM_BORN_MS = 2**48
"""Largest start time, in milliseconds since the epoch: the year 10889."""
HOST_PATTERN = re.compile(r"[A-Za-z0-9.\-]+")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAXIMUM_AMOUNT = 1e15
"""Largest number of a field that is a time or a rate; an integer may exceed the range of floats."""
KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}
"""Whether a backend takes no new requests, by the state that it registers."""
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgspec.DecodeError,
)
"""Exceptions that a malformed document can raise while it is parsed; a recursion error if it is
nested deeply."""


def parse_configuration(entry: KeyValueEntry) -> Result[RoutingConfiguration, Fault]:
    """Parse the routing configuration in an entry; a Fault with the reason if it is malformed."""
    try:
        body = msgspec.json.decode(entry.value)
        return Success(
            RoutingConfiguration(
                version=int(body["version"]),
                revision=entry.revision,
                routes=tuple(parse_route(item) for item in body["routes"]),
                services=tuple(parse_service(item) for item in body["services"]),
                workspaces=tuple(parse_workspace(item) for item in body.get("tenants") or ()),
                limits=parse_limits(body.get("limits") or {}),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(Fault(entry.key, "", f"malformed value: {type(error).__name__} {error}"))


def parse_route(item: dict[str, Any]) -> Route:
    """Parse one route; without a traffic split all its requests go to its one service."""
    split = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=str(item["name"]),
        host=str(item["hostname"]).lower(),
        prefix=str(item["path_prefix"]),
        kind=KIND_BY_NAME[item["kind"]],
        shares=tuple(parse_share(part) for part in split),
        timeout_seconds=amount(item, "timeout_ms") / MILLISECONDS,
        target_seconds=amount(item, "target_latency_ms") / MILLISECONDS,
        gap_seconds=amount(item, "gap_target_ms") / MILLISECONDS,
        priority=int(item.get("priority") or 0),
        attempts=max(1, int(item.get("max_attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("stream_resumption")),
        regions=parse_regions(item),
    )


def parse_share(part: dict[str, Any]) -> ServiceShare:
    """Parse one part of a traffic split.

    Raises:
      KeyError: It has no service or no weight.
    """
    if "weight" not in part:
        raise KeyError("weight")
    return ServiceShare(str(part["service"]), amount(part, "weight"))


def parse_service(item: dict[str, Any]) -> ServiceDeclaration:
    """Parse one service."""
    engine = item.get("inference_engine")
    return ServiceDeclaration(
        name=str(item["name"]),
        engine=parse_engine(engine) if engine else None,
        origin=str(item.get("origin_server") or ""),
        zone=str(item.get("zone") or ""),
        cold_start_seconds=amount(item, "cold_start_s"),
        cold_per_second=amount(item, "cold_per_s"),
    )


def parse_engine(item: dict[str, Any]) -> EngineProfile:
    """Parse the properties that a service declares for its engines."""
    usual = item.get("usual") or {}
    return EngineProfile(
        slots=max(1, int(positive_amount(item, "slots"))),
        step_seconds=positive_amount(item, "step_ms") / MILLISECONDS,
        sequence_seconds=amount(item, "per_seq_ms") / MILLISECONDS,
        read_tokens_per_second=positive_amount(item, "read_per_s"),
        read_tokens_per_pass=max(1, int(item.get("chunk") or DEFAULT_TOKENS_PER_PASS)),
        steps_per_event=max(1, int(item.get("step_size") or 1)),
        # Mean lengths in tokens; 1000 and 100 if the declaration gives none.
        usual_prompt_tokens=amount(usual, "prompt") or 1000.0,
        usual_answer_tokens=amount(usual, "answer") or 100.0,
        models=tuple(str(model["name"]) for model in item.get("model_list") or ()),
        chunk_count=int(item.get("chunk_count") or 0),
        chunk_bytes=int(item.get("chunk_size_bytes") or 0),
        kv_capacity_tokens=parse_capacity(item.get("kv_capacity_tokens")),
    )


def parse_capacity(value: Any) -> int:
    """Parse the tokens that fit into an engine; 0 if the value is absent.

    Raises:
      ValueError: It is negative or no whole number.
    """
    if value is None:
        return 0
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"kv_capacity_tokens is {value!r}")
    return value


def parse_workspace(item: dict[str, Any]) -> WorkspaceDeclaration:
    """Parse one workspace."""
    priority = item.get("priority")
    return WorkspaceDeclaration(
        str(item["name"]),
        tuple(str(key) for key in item.get("api_keys") or ()),
        None if priority is None else int(priority),
        parse_regions(item),
    )


def parse_regions(item: dict[str, Any]) -> frozenset[str]:
    """Parse the allowed regions of a route or workspace; empty for any region.

    Raises:
      TypeError: They are not a list of strings.
    """
    listed = item.get("allowed_regions")
    if listed is None:
        return frozenset()
    if not isinstance(listed, list) or not all(isinstance(name, str) for name in listed):
        raise TypeError("allowed_regions is not a list of strings")
    return frozenset(listed)


def parse_limits(item: dict[str, Any]) -> CallerLimits:
    """Parse the limits of callers; absent or zero values get the defaults."""
    default = CallerLimits()
    return CallerLimits(
        int(amount(item, "max_body_bytes")) or default.max_body_bytes,
        amount(item, "idle_timeout_ms") / MILLISECONDS or default.idle_seconds,
        amount(item, "header_timeout_ms") / MILLISECONDS or default.header_seconds,
        int(amount(item, "max_header_bytes")) or default.max_header_bytes,
    )


def parse_backend(entry: KeyValueEntry) -> Result[Backend, Fault]:
    """Parse the registration of a backend; a Fault with the reason if it is malformed."""
    try:
        body = msgspec.json.decode(entry.value)
        return Success(
            Backend(
                identity=entry.key.removeprefix(BACKEND_PREFIX),
                service=required_text(body, "service"),
                address=parse_address(required_text(body, "address")),
                zone=required_text(body, "zone"),
                slots=required_number(body, "slots"),
                is_leaving=LEAVING_BY_STATE[body["state"]],
                weights=parse_held_weights(body),
                born_unix_ms=parse_born(body.get("born")),
                revision=entry.revision,
                cold_seconds=amount(body, "cold_remaining_ms") / MILLISECONDS,
            )
        )
    except DECODE_ERRORS as error:
        return Failure(Fault(entry.key, "", f"malformed value: {type(error).__name__} {error}"))


def parse_address(text: str) -> str:
    """Parse the address of a backend.

    Raises:
      ValueError: It is not host:port with a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    is_valid = HOST_PATTERN.fullmatch(host) and PORT_PATTERN.fullmatch(port)
    if not is_valid or not 0 < int(port) < 65536:
        raise ValueError(f"the address {text[:100]!r} is not host:port (1 to 65535)")
    return f"{host}:{int(port)}"


def parse_born(value: Any) -> int:
    """Parse the start of a backend, in milliseconds since the epoch; 0 if it is absent.

    Raises:
      ValueError: It is negative or too large.
    """
    born = int(value or 0)
    if not 0 <= born <= MAXIMUM_BORN_MS:
        raise ValueError("born is negative or too large")
    return born


def parse_held_weights(body: dict[str, Any]) -> tuple[HeldWeights, ...] | None:
    """Parse the list of weights that a backend holds completely; None if it has no list."""
    listed = body.get("model_list")
    if listed is None:
        return None
    return tuple(
        HeldWeights(required_text(item, "name"), required_number(item, "version"))
        for item in listed
    )


def required_text(body: dict[str, Any], key: str) -> str:
    """Return a field that must be a non-empty string.

    Raises:
      KeyError: The field is missing.
      TypeError: It is not a string, or empty.
    """
    value = body[key]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{key} is not a non-empty string")
    return value


def required_number(body: dict[str, Any], key: str) -> int:
    """Return a field that must be an integer from 0 to `MAXIMUM_NUMBER`.

    Raises:
      KeyError: The field is missing.
      TypeError: It is not an integer, or a boolean.
      ValueError: It is negative or too large.
    """
    value = body[key]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{key} is not an integer")
    if not 0 <= value <= MAXIMUM_NUMBER:
        raise ValueError(f"{key} is negative or too large")
    return value


def amount(item: dict[str, Any], key: str) -> float:
    """Return a field that must be a number of at least 0; 0 if it is missing or null.

    Raises:
      TypeError: It is not a number, or a boolean.
      ValueError: It is negative or too large.
    """
    value = item.get(key)
    if value is None:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{key} is not a number")
    if not 0 <= value <= MAXIMUM_AMOUNT:
        raise ValueError(f"{key} is negative or too large")
    return float(value)


def positive_amount(item: dict[str, Any], key: str) -> float:
    """Return a field that must be a number above 0.

    Raises:
      TypeError: It is not a number, or a boolean.
      ValueError: It is missing, 0, negative or too large.
    """
    value = amount(item, key)
    if not value:
        raise ValueError(f"{key} is missing or 0")
    return value


def parse_target_version(entry: KeyValueEntry) -> Result[TargetVersion, Fault]:
    """Parse the target version of a model; a Fault with the reason if it is malformed."""
    try:
        body = msgspec.json.decode(entry.value)
        version = required_number(body, "version")
        return Success(TargetVersion(required_text(body, "model_name"), version, entry.revision))
    except DECODE_ERRORS as error:
        return Failure(Fault(entry.key, "", f"malformed value: {type(error).__name__} {error}"))
