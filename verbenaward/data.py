"""Immutable records that all packages share."""

from dataclasses import dataclass
from enum import StrEnum

from .schema.manifest import Manifest


class Verdict(StrEnum):
    """Whether a request has run, as far as it is known."""

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Fault:
    """An error in a document, with its location.

    Attributes:
      source: Name of the file or record that holds the document.
      path: Path of the field inside the document, for example "links.policy".
      message: Description of the error.
      hint: How to correct it; empty for none.
    """

    source: str
    path: str
    message: str
    hint: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer to a request that got no result.

    Attributes:
      verdict: Whether the request may have run.
      status: HTTP status.
      reason: Machine-readable cause, for example "queue-full".
      message: Explanation for the caller.
      retry_after_seconds: Value of the Retry-After header, in seconds; 0 for no such header.
      holder: VM that holds the slot of the idempotency key; empty if unknown.
    """

    verdict: Verdict
    status: int
    reason: str
    message: str
    retry_after_seconds: float = 0.0
    holder: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision of the configuration.

    Attributes:
      revision: Number of the revision; each accepted change increments it by one.
      write_id: Unique id of the accepted write.
      previous_write_id: Write id of the previous revision.
      digest: BLAKE3 digest of the canonical manifest, in hexadecimal.
      author: Who applied it.
      accepted_unix: Time of the write, in seconds since the epoch.
      source_commit: Commit of the repository that holds the manifest.
      manifest: Releases, services and workspaces.
    """

    revision: int
    write_id: str
    previous_write_id: str
    digest: str
    author: str
    accepted_unix: float
    source_commit: str
    manifest: Manifest


EMPTY_CONFIGURATION = Configuration(0, "", "", "", "", 0.0, "", Manifest(format=1, releases=[]))


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an endpoint process, which it reports with every answer.

    Attributes:
      running: Number of requests that the backend runs.
      queued: Number of requests that wait for a slot.
      limit: Limit on running requests.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1


class RouteKind(StrEnum):
    """Kind of a route, which decides what may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Relative weight of one service in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration.

    Attributes:
      name: Name of the route.
      host: Host header of its requests, in lower case.
      prefix: Prefix of its paths; starts and ends with a slash.
      kind: Whether its requests may be retried or are streams.
      shares: Traffic split over services.
      timeout_seconds: Limit on the time to the answer, in seconds; 0 for none.
      target_seconds: Target for the time to the answer or to the first event, in seconds; 0 for
        none.
      gap_seconds: Longest pause between two events that counts as on time, in seconds; 0 for
        none.
      priority: Priority; 0 is the most urgent.
      attempts: Limit on attempts for one request.
      is_public: True if requests need no API key.
      is_resumable: True if a broken stream may be resumed at another backend.
      regions: Regions in which its requests may be served; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    target_seconds: float
    gap_seconds: float
    priority: int
    attempts: int
    is_public: bool
    is_resumable: bool
    regions: frozenset[str] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Return True if a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance profile of the engines of a service, as declared by the operator.

    Attributes:
      slots: Limit on running requests.
      step_seconds: Base time of one decoding step, in seconds.
      sequence_seconds: Time that each running request adds to a step, in seconds.
      read_tokens_per_second: Rate at which prompts are processed.
      read_tokens_per_pass: Limit on prompt tokens processed in one pass.
      steps_per_event: Decoding steps in one pass; each pass emits one event of a stream.
      usual_prompt_tokens: Mean length of a prompt.
      usual_answer_tokens: Mean length of an answer.
      models: Names of the models that the engines serve.
      chunk_count: Number of chunks in one version of the weights.
      chunk_bytes: Size of a chunk, in bytes.
      kv_capacity_tokens: Limit on the tokens of prompts and answers of the requests that an engine
        holds, above which it crashes; 0 for none.
    """

    slots: int
    step_seconds: float
    sequence_seconds: float
    read_tokens_per_second: float
    read_tokens_per_pass: int
    steps_per_event: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[str, ...]
    chunk_count: int
    chunk_bytes: int
    kv_capacity_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service in the routing configuration.

    Attributes:
      name: Name of the service.
      engine: Performance profile of its engines; None for a plain service.
      origin: Address of the origin of weights; empty if the service is no origin.
      zone: Availability zone of the origin; empty if unknown.
      cold_start_seconds: Time for which its backends are cold after their start; 0 for none.
      cold_per_second: Requests a second from all processes together that a cold backend takes; 0
        for no limit.
    """

    name: str
    engine: EngineProfile | None
    origin: str
    zone: str
    cold_start_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkspaceDeclaration:
    """A workspace in the routing configuration.

    Attributes:
      name: Name of the workspace.
      keys: API keys of its callers.
      priority: Priority that replaces that of the route; None to use the route's.
      regions: Regions in which its requests may be served; empty for any.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers.

    Attributes:
      max_body_bytes: Largest request body, in bytes.
      idle_seconds: Longest time without a request on a caller's connection, in seconds.
      header_seconds: Longest time to receive the header of a request, in seconds.
      max_header_bytes: Longest header of a request with its first line, in bytes.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    idle_seconds: float = 15.0
    header_seconds: float = 10.0
    max_header_bytes: int = 16 * 1024


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of the operator's routing configuration.

    Attributes:
      version: Version number that the operator gave it.
      revision: Revision of the store at which it was written.
      routes: Routes of callers' requests.
      services: Services behind the routes, and the origin of weights.
      workspaces: Workspaces with API keys.
      limits: Limits on the requests of callers.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: tuple[ServiceDeclaration, ...]
    workspaces: tuple[WorkspaceDeclaration, ...]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class HeldWeights:
    """Version of a model's weights that a backend holds completely."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Backend:
    """Registration of one incarnation of a backend.

    Attributes:
      identity: Unique id of the incarnation.
      service: Service that it belongs to.
      address: Host and port for requests.
      zone: Availability zone.
      slots: Limit on running requests.
      is_leaving: True if it accepts no new requests.
      weights: Weights that it holds completely; None if it reports none, as a plain service.
      born_unix_ms: Start time, in milliseconds since the epoch; 0 if unknown.
      revision: Revision of the store at which it last changed.
      cold_seconds: How much longer it was cold when the registration was written; 0 if it was not.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    weights: tuple[HeldWeights, ...] | None
    born_unix_ms: int
    revision: int
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetVersion:
    """Version of a model's weights that the operator wants on all engines.

    Attributes:
      model: Name of the model.
      version: Version of its weights.
      revision: Revision of the store at which it was written.
    """

    model: str
    version: int
    revision: int
