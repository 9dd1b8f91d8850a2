"""Records of requests that entry processes send straight to backends."""

from dataclasses import dataclass
from enum import StrEnum

from multidict import CIMultiDict, CIMultiDictProxy

from .. import metrics
from ..data import EngineModel, Refusal, Route
from ..platform.request_headers import CallerHeaders


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller that a route was found for.

    Attributes:
      headers: Its headers, as they came.
      said: What they say.
      method: HTTP method.
      raw_path: Path and query, as they came.
      body: Body, unchanged.
      route: Its route.
      service: Service that runs it.
      engine: What the service declares about its engines; None for a plain one.
      workspace: Its workspace; empty for none.
      priority: Its rank; 0 is the most urgent.
      received_at: Time of arrival, monotonic.
      deadline: Time at which the caller leaves or the route's time is over, monotonic.
      fingerprint: Hash of what it asks for, without its id.
    """

    headers: CIMultiDictProxy[str]
    said: CallerHeaders
    method: str
    raw_path: str
    body: bytes
    route: Route
    service: str
    engine: EngineModel | None
    workspace: str
    priority: int
    received_at: float
    deadline: float
    fingerprint: bytes


def labels_of(request: Request) -> tuple[str, str]:
    """Return workspace and class of a request, as the metrics name them."""
    return metrics.WORKSPACES.bounded(request.workspace), request.route.kind.value


class Failure(StrEnum):
    """Why an attempt gave no answer."""

    UNREACHABLE = "unreachable"
    NOT_RUN = "not-run"
    FULL = "full"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt without a usable answer.

    Attributes:
      failure: Why.
      may_have_run: False where it is proved that the backend did not run the request.
      message: For the log.
    """

    failure: Failure
    may_have_run: bool
    message: str


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The whole answer of a backend."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class RefusedError(Exception):
    """A request ends with a refusal.

    Attributes:
      refusal: What the caller is told.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
