"""Decodes what the operator and the backends write to the users' store."""

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..data import (
    Backend,
    CallerLimits,
    EngineModel,
    Fault,
    HeldWeights,
    NamedVersion,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceDeclaration,
    ServiceShare,
    WorkspaceDeclaration,
)
from .key_value import KeyValueEntry
from .names import BACKEND_PREFIX

MILLISECONDS = 1000.0
USUAL_PASS_TOKENS = 2048
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}
BAD_VALUE = (KeyError, TypeError, ValueError, AttributeError, msgspec.DecodeError)


def configuration_of(entry: KeyValueEntry) -> Result[RoutingConfiguration, Fault]:
    """Return the configuration that an entry of the store holds."""
    try:
        body = msgspec.json.decode(entry.value)
        return Success(
            RoutingConfiguration(
                version=int(body["version"]),
                revision=entry.version,
                routes=tuple(route_of(item) for item in body["routes"]),
                services=tuple(service_of(item) for item in body["services"]),
                workspaces=tuple(workspace_of(item) for item in body.get("tenants") or ()),
                limits=limits_of(body.get("limits") or {}),
            )
        )
    except BAD_VALUE as error:
        return Failure(Fault(entry.key, "", f"cannot be read: {type(error).__name__} {error}"))


def route_of(item: dict[str, Any]) -> Route:
    """Return one route."""
    split = item.get("traffic_split") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=str(item["name"]),
        host=str(item["hostname"]).lower(),
        prefix=str(item["path_prefix"]),
        kind=KINDS[item["kind"]],
        shares=tuple(ServiceShare(str(part["service"]), float(part["weight"])) for part in split),
        timeout_seconds=float(item.get("timeout_ms") or 0) / MILLISECONDS,
        target_seconds=float(item.get("target_latency_ms") or 0) / MILLISECONDS,
        gap_seconds=float(item.get("gap_target_ms") or 0) / MILLISECONDS,
        priority=int(item.get("priority") or 0),
        attempts=max(1, int(item.get("max_attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("stream_resumption")),
    )


def service_of(item: dict[str, Any]) -> ServiceDeclaration:
    """Return one service."""
    engine = item.get("inference_engine")
    return ServiceDeclaration(
        name=str(item["name"]),
        engine=engine_of(engine) if engine else None,
        origin=str(item.get("origin_server") or ""),
        zone=str(item.get("zone") or ""),
    )


def engine_of(item: dict[str, Any]) -> EngineModel:
    """Return what a service declares about its engines."""
    usual = item.get("usual") or {}
    return EngineModel(
        slots=int(item["slots"]),
        step_seconds=float(item["step_ms"]) / MILLISECONDS,
        sequence_seconds=float(item.get("per_seq_ms") or 0) / MILLISECONDS,
        read_tokens_per_second=float(item["read_per_s"]),
        read_tokens_per_pass=max(1, int(item.get("chunk") or USUAL_PASS_TOKENS)),
        steps_per_event=max(1, int(item.get("step_size") or 1)),
        usual_prompt_tokens=float(usual.get("prompt") or 1000),
        usual_answer_tokens=float(usual.get("answer") or 100),
        models=tuple(str(model["name"]) for model in item.get("model_list") or ()),
        chunk_count=int(item.get("chunk_count") or 0),
        chunk_bytes=int(item.get("chunk_size_bytes") or 0),
    )


def workspace_of(item: dict[str, Any]) -> WorkspaceDeclaration:
    """Return one workspace."""
    priority = item.get("priority")
    return WorkspaceDeclaration(
        str(item["name"]),
        tuple(str(key) for key in item.get("api_keys") or ()),
        None if priority is None else int(priority),
    )


def limits_of(item: dict[str, Any]) -> CallerLimits:
    """Return the limits of callers."""
    default = CallerLimits()
    return CallerLimits(
        int(item.get("max_body_bytes") or default.max_body_bytes),
        float(item.get("idle_timeout_ms") or default.idle_seconds * MILLISECONDS) / MILLISECONDS,
    )


def backend_of(entry: KeyValueEntry) -> Result[Backend, Fault]:
    """Return the backend that an entry of the store names."""
    try:
        body = msgspec.json.decode(entry.value)
        host, _, port = required_text(body, "address").rpartition(":")
        if not host or not 0 < int(port) < 65536:
            raise ValueError("the address has no host and port")
        return Success(
            Backend(
                identity=entry.key.removeprefix(BACKEND_PREFIX),
                service=required_text(body, "service"),
                address=f"{host}:{int(port)}",
                zone=required_text(body, "zone"),
                slots=required_number(body, "slots"),
                is_leaving=LEAVING_BY_STATE[body["state"]],
                weights=weights_of(body),
                born_unix_ms=int(body.get("born") or 0),
                revision=entry.version,
            )
        )
    except BAD_VALUE as error:
        return Failure(Fault(entry.key, "", f"cannot be read: {type(error).__name__} {error}"))


def weights_of(body: dict[str, Any]) -> tuple[HeldWeights, ...] | None:
    """Return the weights that a backend says it holds whole."""
    listed = body.get("model_list")
    if listed is None:
        return None
    return tuple(
        HeldWeights(required_text(item, "name"), required_number(item, "version"))
        for item in listed
    )


def required_text(body: dict[str, Any], key: str) -> str:
    """Return a text of an entry.

    Raises:
      TypeError: It is not a text.
    """
    value = body[key]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{key} is not a text")
    return value


def required_number(body: dict[str, Any], key: str) -> int:
    """Return a whole number of an entry.

    Raises:
      TypeError: It is not a whole number.
    """
    value = body[key]
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{key} is not a whole number")
    return value


def named_version_of(entry: KeyValueEntry) -> Result[NamedVersion, Fault]:
    """Return the version of weights that an entry of the store names."""
    try:
        body = msgspec.json.decode(entry.value)
        version = required_number(body, "version")
        return Success(NamedVersion(required_text(body, "model_name"), version, entry.version))
    except BAD_VALUE as error:
        return Failure(Fault(entry.key, "", f"cannot be read: {type(error).__name__} {error}"))
