"""HTTP headers of requests and answers on the users' platform."""

import math
import re
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from . import names

MILLISECONDS = 1000.0
HOP_BY_HOP = frozenset(
    (
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade", "proxy-connection", "content-length",
        "expect",
    )
)  # fmt: skip
"""Hop-by-hop headers, and two of the message framing (Content-Length, Expect): not forwarded."""
UNFORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        names.WORKSPACE,
        names.EXPECTED_BACKEND,
        names.EXPECTED_VERSION,
        names.PRIORITY,
        names.BACKEND_PATH,
        names.DEADLINE_MS,
    )
)
"""Headers of a caller that are not forwarded; this process sets those that a backend needs."""
KEY_SCHEME = "bearer "
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)
MISDIRECTED = 421
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Parsed headers of a caller's request.

    Attributes:
      request_id: Unique id of the caller's attempt; empty for none.
      deadline_seconds: How long the caller waits, in seconds; None if it does not say.
      key: API key of a workspace; empty for none.
      model: Name of the requested model; empty for a plain service.
      prompt_tokens: Length of the prompt, in tokens; 0 if unknown.
      answer_tokens: Limit on the length of the answer, in tokens; 0 if unknown.
      last_event_id: Id of the last event that the caller received; empty for a new stream.
      prompt_parts: Ids of the parts of the prompt, in order; empty if unknown.
      hinted_tokens: Estimate of the caller for the length of the answer, in tokens, which may
        be far off; 0 if unknown.
    """

    request_id: str
    deadline_seconds: float | None
    key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str
    hinted_tokens: int = 0
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendHeaders:
    """Values of the headers that this process sets on a request to a backend.

    Attributes:
      backend: Identity of the backend that must run the request; another one refuses it.
      remaining_seconds: Time until the caller's deadline, in seconds.
      workspace: Workspace of the caller; empty for none.
      version: Version of the weights that must serve the request; 0 for any.
      priority: Priority at the backend, 0 is the most urgent; None for the backend's default.
      last_event_id: Id of the event after which a stream resumes; empty to forward the id
        that the caller sent.
    """

    backend: str
    remaining_seconds: float
    workspace: str
    version: int = 0
    priority: int | None = None
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class BackendNotice:
    """What the headers of an answer say of the backend itself.

    Attributes:
      is_leaving: True if it will stop.
      pause_seconds: Time for which it wants no requests of this process; 0 for none.
      limit_per_second: Requests a second that it takes from all processes together; infinite if
        it names no limit, None if the answer does not show whether it does.
      malformed_limit: Its limit as it was sent, if that is not a number; else empty.
      cold_seconds: How much longer it is cold; 0 if it does not say so.
    """

    is_leaving: bool
    pause_seconds: float
    limit_per_second: float | None = None
    malformed_limit: str = ""
    cold_seconds: float = 0.0


def read_backend_notice(status: int, headers: CIMultiDictProxy[str]) -> BackendNotice:
    """Return what an answer says of its backend. Only a refusal (503) can ask for a pause."""
    is_leaving = headers.get(names.SERVER_LEAVING, "") == "1"
    pause = headers.get(names.RETRY_AFTER, "") if status == UNAVAILABLE else ""
    limits = headers.getall(names.SERVER_LIMIT, [])
    is_own = status != MISDIRECTED and (has_signature(headers) or names.NOT_RUN in headers)
    limit = read_limit(limits, is_own)
    malformed = ", ".join(limits) if limits and limit is None else ""
    cold_seconds = read_cold_seconds(status, headers.getall(names.COLD_START_MS, []))
    return BackendNotice(is_leaving, parse_number(pause) or 0.0, limit, malformed, cold_seconds)


def read_cold_seconds(status: int, values: list[str]) -> float:
    """Return how much longer a backend is cold, in seconds.

    It is 0 if the answer does not say, if the header is malformed, or if the answer comes from
    another incarnation.
    """
    if status == MISDIRECTED or len(values) != 1 or not DECIMAL.fullmatch(values[0].strip()):
        return 0.0
    return (parse_number(values[0]) or 0.0) / MILLISECONDS


def read_limit(values: list[str], is_own: bool) -> float | None:
    """Return the limit that an answer names, in requests a second.

    Args:
      values: Values of the header.
      is_own: True unless the answer may come from another incarnation at the address, or is
        garbled.

    Returns:
      Infinity if it names none. None if the header is malformed, or missing in an answer that is
      not the backend's own for certain.
    """
    if not values:
        return math.inf if is_own else None
    if len(values) > 1 or not DECIMAL.fullmatch(values[0].strip()):
        return None
    return parse_number(values[0])


def read_caller_headers(headers: CIMultiDictProxy[str]) -> CallerHeaders:
    """Parse the headers of a caller's request; malformed numbers count as absent."""
    deadline = parse_number(headers.get(names.DEADLINE_MS, ""))
    prompt, _, answer = headers.get(names.TOKENS, "").partition(",")
    return CallerHeaders(
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline_seconds=None if deadline is None else deadline / MILLISECONDS,
        key=parse_bearer_key(headers.get("Authorization", "")),
        model=headers.get(names.MODEL, ""),
        prompt_tokens=int(parse_number(prompt) or 0),
        answer_tokens=int(parse_number(answer) or 0),
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        hinted_tokens=int(parse_number(headers.get(names.LENGTH_HINT, "")) or 0),
        prompt_parts=parse_prompt_parts(headers.get(names.PROMPT_PARTS, "")),
    )


def parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Parse the ids in a list of prompt parts, each with its length in tokens: `id:tokens,...`."""
    ids = (entry.partition(":")[0].strip().lower() for entry in text.split(","))
    return tuple(part for part in ids if part)


def parse_bearer_key(value: str) -> str:
    """Return the key in an Authorization header; empty if it uses another scheme."""
    return value[len(KEY_SCHEME) :].strip() if value.lower().startswith(KEY_SCHEME) else ""


def parse_number(text: str) -> float | None:
    """Parse a finite number of at least 0; None if the text is anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def headers_for_backend(headers: CIMultiDictProxy[str], values: BackendHeaders) -> CIMultiDict[str]:
    """Return the headers to send to a backend: the caller's and those that this process sets."""
    result = end_to_end_headers(headers, UNFORWARDED_HEADERS)
    result[names.DEADLINE_MS] = str(max(1, int(values.remaining_seconds * MILLISECONDS)))
    result[names.EXPECTED_BACKEND] = values.backend
    if values.workspace:
        result[names.WORKSPACE] = values.workspace
    if values.version:
        result[names.EXPECTED_VERSION] = str(values.version)
    if values.priority is not None:
        result[names.PRIORITY] = str(values.priority)
    if values.last_event_id:
        result[names.LAST_EVENT_ID] = values.last_event_id
    return result


def headers_for_caller(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a backend's answer that are forwarded to the caller."""
    return end_to_end_headers(headers)


def end_to_end_headers(
    headers: CIMultiDictProxy[str], excluded: frozenset[str] = frozenset()
) -> CIMultiDict[str]:
    """Return the headers that do not concern a single connection, in their order.

    A repeated name gets the case of its first occurrence: aiohttp's client keeps only the last
    value of a name that it is given in several cases.

    Args:
      headers: Received headers.
      excluded: Lower-case names of further headers to leave out.
    """
    left_out = HOP_BY_HOP | excluded | connection_headers(headers)
    names_by_lower: dict[str, str] = {}
    return CIMultiDict(
        (names_by_lower.setdefault(lower, name), value)
        for name, value in headers.items()
        if (lower := name.lower()) not in left_out
    )


def connection_headers(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    """Return the lower-case names that the Connection header lists as hop-by-hop."""
    if "Connection" not in headers:
        return frozenset()
    listed = ",".join(headers.getall("Connection"))
    return frozenset(part.strip().lower() for part in listed.split(",") if part.strip())


def proves_not_run(status: int, headers: CIMultiDictProxy[str]) -> bool:
    """Return True if an answer proves that the backend did not run the request."""
    return names.NOT_RUN in headers or status == MISDIRECTED


def is_at_capacity(status: int, headers: CIMultiDictProxy[str]) -> bool:
    """Return True if a backend refused the request because it is full or accepts none now."""
    return status == UNAVAILABLE and names.NOT_RUN in headers


def weights_version(headers: CIMultiDictProxy[str]) -> int:
    """Return the version of the weights from which an answer comes; 0 if it does not say."""
    value = headers.get(names.WEIGHTS_VERSION, "")
    return int(value) if value.isdecimal() else 0


def has_signature(headers: CIMultiDictProxy[str]) -> bool:
    """Return True if the answer carries the signature header of a backend."""
    return names.SIGNATURE in headers


def answers_request(headers: CIMultiDictProxy[str], request_id: str) -> bool:
    """Return True unless the answer carries the id of another request."""
    return headers.get(names.REQUEST_ID, request_id) == request_id
