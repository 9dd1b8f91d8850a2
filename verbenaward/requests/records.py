"""Records of requests and answers."""

from dataclasses import dataclass

from ..data import Load, Refusal

PRIORITIES = {"interactive": 2, "standard": 1, "batch": 0}
DEFAULT_CLASS = "standard"
DEFAULT_WORKSPACE = "default"


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller.

    Attributes:
      request_id: Name of the request, unique.
      workspace: Customer that it belongs to.
      request_class: One of PRIORITIES.
      role: Role of the endpoints that can run it.
      target: Name of the model or service.
      method: HTTP method.
      path: Path and query that the backend gets.
      body: Body, unchanged.
      content_type: Type of the body.
      stream: True where the answer is a stream of events.
      idempotent: True where running it twice does no harm.
      idempotency_key: Key under which it runs at most once; empty for idempotent requests.
      received_at: Time of arrival, monotonic.
      deadline: Time after which the answer is worthless, monotonic.
      fingerprint: Hash of what makes the request what it is, without its id.
      affinity: Text whose hash places requests with the same prefix together.
      is_model: True for a model, False for a plain service.
    """

    request_id: str
    workspace: str
    request_class: str
    role: str
    target: str
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    idempotent: bool
    idempotency_key: str
    received_at: float
    deadline: float
    fingerprint: bytes
    affinity: str
    is_model: bool

    @property
    def priority(self) -> int:
        """Return the priority of the class; higher goes first."""
        return PRIORITIES[self.request_class]


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a backend."""

    status: int
    content_type: str
    body: bytes
    vm: str
    release: str
    load: Load


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without an answer.

    Attributes:
      refusal: What is known about it.
      vm: Endpoint VM that was asked.
      crashed: True where the backend or its VM broke while the request was running.
      release: Release that the endpoint says it serves, where it refused another.
    """

    refusal: Refusal
    vm: str
    crashed: bool = False
    release: str = ""


def parse_load(text: str) -> Load:
    """Return the load that a header carries; an empty load where it is malformed."""
    try:
        running, queued, limit = (int(part) for part in text.split("/"))
    except ValueError:
        return Load()
    return Load(running, queued, max(1, limit))


def format_load(load: Load) -> str:
    """Return the header form of a load."""
    return f"{load.running}/{load.queued}/{load.limit}"
