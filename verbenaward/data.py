"""Immutable records that all packages share."""

from dataclasses import dataclass
from enum import StrEnum

from .schema.manifest import Manifest


class Verdict(StrEnum):
    """What is known about whether a request has run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document, with the place it came from.

    Attributes:
      source: Name of the file or record.
      path: Path of the key inside the document, for example "links.policy".
      message: What is wrong.
      hint: What to do about it; empty where nothing helps.
    """

    source: str
    path: str
    message: str
    hint: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that says why a request got no result.

    Attributes:
      verdict: Whether the request may have run.
      status: HTTP status.
      reason: Short machine-readable cause, for example "queue-full".
      message: Sentence for the caller.
      retry_after_seconds: When to come back; 0 where coming back is no use.
      holder: VM that may run the request, where the refusing one may not.
    """

    verdict: Verdict
    status: int
    reason: str
    message: str
    retry_after_seconds: float = 0.0
    holder: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision of the declared state.

    Attributes:
      revision: Counter that every accepted change raises by one.
      write_id: Unique name of the write that was accepted.
      previous_write_id: Write id of the revision before.
      digest: BLAKE3 digest of the canonical manifest, in hexadecimal.
      author: Who applied it.
      accepted_unix: When it was written, in seconds since the epoch.
      source_commit: Commit of the declarations.
      manifest: The declared state.
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
    """Load that an endpoint process reports on its answers.

    Attributes:
      running: Requests at the backend.
      queued: Requests waiting for a slot.
      limit: Requests that may run at once.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration.

    Attributes:
      name: Name of the route.
      host: Host that requests name.
      prefix: Beginning of the paths; it starts and ends with a slash.
      kind: What may be repeated.
      shares: Services behind it.
      timeout_seconds: Longest time that a request may be kept waiting; 0 for no bound.
      target_seconds: Time to the answer, or to the first event, that is worth the most.
      gap_seconds: Longest pause between two events that is still on time; 0 where unknown.
      priority: Rank; 0 is the most urgent.
      attempts: Backends that one request may be sent to.
      is_public: True where no key is needed.
      is_resumable: True where a broken stream may go on at another backend.
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

    @property
    def is_repeatable(self) -> bool:
        """Return True where a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineModel:
    """What a service declares about its engines.

    Attributes:
      slots: Requests that run at once.
      step_seconds: Time of a token step with nothing to do.
      sequence_seconds: What each running request adds to it.
      read_tokens_per_second: Rate at which prompts are read.
      read_tokens_per_pass: Most prompt tokens that are read in one pass.
      steps_per_event: Token steps of a pass, which is one event of a stream.
      usual_prompt_tokens: Mean prompt.
      usual_answer_tokens: Mean answer.
      models: Names of the models.
      chunk_count: Chunks of one version of the weights.
      chunk_bytes: Size of a chunk.
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


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service of the configuration.

    Attributes:
      name: Name of the service.
      engine: What its engines are like; None for a plain service.
      origin: Address of the origin of weights; empty where the service is none.
      zone: Availability zone of the origin.
    """

    name: str
    engine: EngineModel | None
    origin: str
    zone: str


@dataclass(frozen=True, slots=True)
class WorkspaceDeclaration:
    """A workspace with its keys; a priority goes before that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    max_body_bytes: int = 4 * 1024 * 1024
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Routes, services and workspaces that are in force together.

    Attributes:
      version: Version that the operator gave it.
      revision: Revision of the store at which it was accepted.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: tuple[ServiceDeclaration, ...]
    workspaces: tuple[WorkspaceDeclaration, ...]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class HeldWeights:
    """Version of a model's weights that a backend holds whole."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Backend:
    """One incarnation of a backend, as it registered itself.

    Attributes:
      identity: Name of the incarnation.
      service: Service that it belongs to.
      address: Where it takes requests.
      zone: Its availability zone.
      slots: Requests that run at once.
      is_leaving: True where it takes no new work.
      weights: Whole weights that it holds; None where it does not speak of weights.
      born_unix_ms: When it was started; 0 where unknown.
      revision: Revision of its last change.
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


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """Version of a model's weights that the operator wants everywhere."""

    model: str
    version: int
    revision: int
