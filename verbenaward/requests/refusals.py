"""Constructors of refusals, and their HTTP responses."""

import math

import msgspec
from aiohttp import web

from ..data import Refusal, Verdict
from . import headers


def response_of(refusal: Refusal, request_id: str = "") -> web.Response:
    """Return the HTTP response for a refusal, with the verdict in a header and in the body."""
    error = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason,
        "message": refusal.message,
        "request_id": request_id,
    }
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode({"error": error}),
        content_type="application/json",
        headers=headers_of(refusal, request_id),
    )


def headers_of(refusal: Refusal, request_id: str) -> dict[str, str]:
    """Return the HTTP headers for a refusal; Retry-After is rounded up to whole seconds."""
    values = {headers.VERDICT: refusal.verdict.value, headers.REASON: refusal.reason}
    if request_id:
        values[headers.REQUEST_ID] = request_id
    if refusal.retry_after_seconds > 0:
        values[headers.RETRY_AFTER] = str(max(1, math.ceil(refusal.retry_after_seconds)))
    if refusal.holder:
        values[headers.HOLDER] = refusal.holder
    return values


def not_run(
    status: int, reason: str, message: str, retry_after_seconds: float = 0.0, holder: str = ""
) -> Refusal:
    """Return a refusal for a request that certainly did not run."""
    return Refusal(Verdict.NOT_RUN, status, reason, message, retry_after_seconds, holder)


def may_have_run(reason: str, message: str) -> Refusal:
    """Return a refusal, with status 504, for a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, 504, reason, message)


def plain_response_of(refusal: Refusal) -> web.Response:
    """Return the HTTP response for a refusal as plain text, for callers of the direct mode."""
    headers = {"X-Reason": refusal.reason, "X-Verdict": refusal.verdict.value}
    if refusal.retry_after_seconds > 0:
        headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
    text = f"{refusal.verdict.value}: {refusal.message}\n"
    return web.Response(status=refusal.status, headers=headers, text=text)
