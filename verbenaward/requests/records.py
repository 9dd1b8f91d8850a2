"""Records of requests, answers and failed attempts."""

from dataclasses import dataclass

from ..data import Load, Refusal

PRIORITIES = {"interactive": 2, "standard": 1, "batch": 0}
"""Priority by request class; requests with a higher one run first."""
DEFAULT_CLASS = "standard"
"""Class of requests whose caller names none."""
DEFAULT_WORKSPACE = "default"
"""Workspace of requests whose caller names none."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller.

    Attributes:
      request_id: Unique id of the request.
      workspace: Workspace of the caller.
      request_class: One of the keys of PRIORITIES.
      role: Role of the endpoints that can run it.
      target: Name of the model or service.
      method: HTTP method.
      path: Path and query sent to the backend.
      body: Body, unchanged.
      content_type: Content type of the body.
      stream: True if the answer is streamed as server-sent events.
      idempotent: True if it may safely run more than once.
      idempotency_key: Key under which it runs at most once; empty for idempotent requests.
      received_at: Time of arrival, monotonic.
      deadline: Time by which the caller needs the answer, monotonic.
      fingerprint: Hash of its content, without its id: equal for a retried request.
      affinity: Routing key; requests with the same prompt prefix share it.
      is_model: True for a model, False for a plain service.
      content_encoding: How the caller has encoded the body; empty for not at all.
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
    content_encoding: str = ""

    @property
    def priority(self) -> int:
        """Return the priority of the class; higher runs first."""
        return PRIORITIES[self.request_class]


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a backend, with the endpoint's VM, release and load.

    Attributes:
      status: HTTP status.
      content_type: Media type of the body.
      body: Body as the backend has sent it.
      vm: VM of the endpoint.
      release: Release that the engine serves, in hexadecimal; empty for a plain service.
      load: Load of the endpoint process.
      content_encoding: How the backend has encoded the body; empty for not at all.
    """

    status: int
    content_type: str
    body: bytes
    vm: str
    release: str
    load: Load
    content_encoding: str = ""

    def body_headers(self) -> dict[str, str]:
        """Return the HTTP headers that describe the body."""
        values = {"Content-Type": self.content_type}
        if self.content_encoding:
            values["Content-Encoding"] = self.content_encoding
        return values


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """A failed attempt.

    Attributes:
      refusal: Reason of the failure, and whether the request may have run.
      vm: VM of the endpoint; empty if no endpoint was usable.
      crashed: True if the backend or its connection broke while the request may have run.
      release: Release that the endpoint serves, if it refused a request for another one.
    """

    refusal: Refusal
    vm: str
    crashed: bool = False
    release: str = ""


def parse_load(text: str) -> Load:
    """Parse the load header "running/queued/limit"; a malformed one yields an empty load."""
    try:
        running, queued, limit = (int(part) for part in text.split("/"))
    except ValueError:
        return Load()
    return Load(running, queued, max(1, limit))


def format_load(load: Load) -> str:
    """Format a load for the load header, as "running/queued/limit"."""
    return f"{load.running}/{load.queued}/{load.limit}"
