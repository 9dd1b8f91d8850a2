"""Headers of requests and answers, as callers and backends of the users' platform write them."""

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
OWN_HEADERS = frozenset(
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
KEY_SCHEME = "bearer "
MISDIRECTED = 421
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What the headers of a request say.

    Attributes:
      request_id: Name of the attempt of the caller; empty where there is none.
      deadline_seconds: How long the caller waits; None where it does not say.
      key: Key of a workspace; empty where there is none.
      model: Model that it names; empty for a plain service.
      prompt_tokens: Tokens of the prompt.
      answer_tokens: Most tokens of the answer.
      last_event_id: Last event that the caller has; empty for a new stream.
      hinted_tokens: Answer tokens that the caller expects, which may be far off; 0 for unknown.
    """

    request_id: str
    deadline_seconds: float | None
    key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str
    hinted_tokens: int = 0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What is said to a backend beside what the caller said.

    Attributes:
      backend: Identity of the backend that must take the request.
      remaining_seconds: Time that is left.
      workspace: Workspace of the caller; empty for none.
      version: Version of the weights that must be held; 0 for any.
      priority: Rank at the backend, 0 is the first; None for the usual one.
      last_event_id: Event after which a stream goes on; empty to leave it as the caller said.
    """

    backend: str
    remaining_seconds: float
    workspace: str
    version: int = 0
    priority: int | None = None
    last_event_id: str = ""


def read_caller_headers(headers: CIMultiDictProxy[str]) -> CallerHeaders:
    """Return what the headers of a request say; numbers that cannot be read count as absent."""
    deadline = number_of(headers.get(names.DEADLINE_MS, ""))
    prompt, _, answer = headers.get(names.TOKENS, "").partition(",")
    return CallerHeaders(
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline_seconds=None if deadline is None else deadline / MILLISECONDS,
        key=key_of(headers.get("Authorization", "")),
        model=headers.get(names.MODEL, ""),
        prompt_tokens=int(number_of(prompt) or 0),
        answer_tokens=int(number_of(answer) or 0),
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        hinted_tokens=int(number_of(headers.get(names.LENGTH_HINT, "")) or 0),
    )


def key_of(value: str) -> str:
    """Return the key that an authorization carries."""
    return value[len(KEY_SCHEME) :].strip() if value.lower().startswith(KEY_SCHEME) else ""


def number_of(text: str) -> float | None:
    """Return a number that is not negative, or None."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < float("inf") else None


def headers_for_backend(headers: CIMultiDictProxy[str], order: SendOrder) -> CIMultiDict[str]:
    """Return the headers of a request as a backend gets them."""
    named = connection_names(headers)
    result: CIMultiDict[str] = CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in HOP_BY_HOP
        and lower not in OWN_HEADERS
        and lower not in named
    )
    result[names.DEADLINE_MS] = str(max(1, int(order.remaining_seconds * MILLISECONDS)))
    result[names.EXPECTED_BACKEND] = order.backend
    if order.workspace:
        result[names.WORKSPACE] = order.workspace
    if order.version:
        result[names.EXPECTED_VERSION] = str(order.version)
    if order.priority is not None:
        result[names.PRIORITY] = str(order.priority)
    if order.last_event_id:
        result[names.LAST_EVENT_ID] = order.last_event_id
    return result


def headers_for_caller(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of an answer as the caller gets them."""
    named = connection_names(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in HOP_BY_HOP and lower not in named
    )


def connection_names(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    """Return the headers that concern one connection only, as it says itself."""
    if "Connection" not in headers:
        return frozenset()
    listed = ",".join(headers.getall("Connection"))
    return frozenset(part.strip().lower() for part in listed.split(",") if part.strip())


def says_not_run(status: int, headers: CIMultiDictProxy[str]) -> bool:
    """Return True where an answer proves that the backend did not run the request."""
    return names.NOT_RUN in headers or status == MISDIRECTED


def says_full(status: int, headers: CIMultiDictProxy[str]) -> bool:
    """Return True where a backend had no room or takes nothing now."""
    return status == UNAVAILABLE and names.NOT_RUN in headers


def is_signed(headers: CIMultiDictProxy[str]) -> bool:
    """Return True where a backend signed the answer."""
    return names.SIGNATURE in headers


def belongs_to(headers: CIMultiDictProxy[str], request_id: str) -> bool:
    """Return True where an answer names the request, or names none."""
    return headers.get(names.REQUEST_ID, request_id) == request_id
