"""Data classes of a request and of its attempts at backends."""

from dataclasses import dataclass, field
from enum import StrEnum

from multidict import CIMultiDict, CIMultiDictProxy

from .. import metrics
from ..data import EngineProfile, Refusal, Route
from ..platform.request_headers import CallerHeaders
from .memory_budget import HeldBytes


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller, with its route and workspace.

    Attributes:
      headers: Headers as received.
      parsed_headers: Values parsed from the headers.
      method: HTTP method.
      raw_path: Path and query as received.
      body: Body as received.
      route: Route that matches host and path.
      service: Service that runs the request.
      engine: Performance profile of the service's engines; None for a plain service.
      workspace: Workspace of the caller's key; empty for none.
      priority: Priority of the workspace, else of the route; 0 is the most urgent.
      received_at: Time of arrival, monotonic.
      deadline: Time by which the answer must be sent, monotonic: shortly before the caller gives up
        or the timeout of the route ends, whichever is earlier.
      fingerprint: Hash of the content of the request, without its id.
      part_keys: Hashes of the parts of its prompt that other requests may share.
      regions: Regions in which it may be served; None for any.
      held: Bytes that this process holds for it.
      level: Level of urgency among the requests for its service, 0 to 2; None if all of them have
        one priority.
    """

    headers: CIMultiDictProxy[str]
    parsed_headers: CallerHeaders
    method: str
    raw_path: str
    body: bytes
    route: Route
    service: str
    engine: EngineProfile | None
    workspace: str
    priority: int
    received_at: float
    deadline: float
    fingerprint: bytes
    part_keys: tuple[bytes, ...] = ()
    regions: frozenset[str] | None = None
    held: HeldBytes = field(default_factory=HeldBytes, compare=False)
    level: int | None = None

    @property
    def crash_keys(self) -> tuple[bytes, ...]:
        """Return all keys under which crashes with this request are recorded."""
        return (self.fingerprint, *self.part_keys)


def labels_of(request: Request) -> tuple[str, str]:
    """Return the workspace and class labels of a request for the metrics."""
    return metrics.WORKSPACES.bounded(request.workspace), request.route.kind.value


class FailureKind(StrEnum):
    """Why an attempt gave no usable answer.

    UNREACHABLE: no connection. NOT_RUN: the backend proved that it did not run the request. FULL:
    it refused for lack of capacity. BROKEN: the connection broke, as it does if the backend
    crashes. INVALID: it sent what is no answer to the request, or one that is too long. SILENT: no
    answer, or no event of a stream, in time. SERVER_ERROR: a server error that is retried. UNREAD:
    a stream that its caller had not read for long broke; the backend is not to blame.
    NO_DESCRIPTOR: this process has no descriptor for the connection; the backend is not to blame.
    """

    UNREACHABLE = "unreachable"
    NOT_RUN = "not-run"
    FULL = "full"
    BROKEN = "broken"
    INVALID = "invalid"
    SILENT = "silent"
    SERVER_ERROR = "server-error"
    UNREAD = "unread"
    NO_DESCRIPTOR = "no-descriptor"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt without a usable answer.

    Attributes:
      failure: Kind of failure.
      may_have_run: False only if it is certain that the backend did not run the request.
      message: Details for the log.
    """

    failure: FailureKind
    may_have_run: bool
    message: str


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of a backend that is not streamed."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class RefusedError(Exception):
    """Raised when a request ends with a refusal.

    Attributes:
      refusal: Refusal that is sent to the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class UnsentError(Exception):
    """Raised when the handling of a request fails unexpectedly before it is sent to a backend.

    Attributes:
      error: The unexpected error.
    """

    def __init__(self, error: Exception) -> None:
        super().__init__(str(error))
        self.error = error
