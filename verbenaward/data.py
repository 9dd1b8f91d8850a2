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
