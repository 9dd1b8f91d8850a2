"""The accepted configuration in the key-value service.

The head key holds the whole accepted document and is replaced by compare-and-swap. Each proposal
is first written to the history under its revision and write id. The history shows whether a
write with a lost answer took effect, and which proposals were recorded but never accepted.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from ..data import EMPTY_CONFIGURATION, Configuration
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueError, KeyValueFailure, KeyValueService
from ..platform.stored_values import decode_value
from ..schema.manifest import Manifest
from .manifest import digest_of

LOG = get_logger(__name__)
HEAD_KEY = "verbenaward/configuration/head"
HISTORY_PREFIX = "verbenaward/configuration/history/"
WRITE_ATTEMPTS = 5
"""Tries of one write, and of the reads that resolve it."""
UNCERTAIN_FAILURES = (KeyValueFailure.UNAVAILABLE, KeyValueFailure.UNKNOWN)
"""Failures after which a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the head key: the accepted configuration, and the version to compare and swap."""

    configuration: Configuration
    version: int


class ApplyOutcome(StrEnum):
    """How an apply ended.

    CONFLICT: another change was accepted first. UNKNOWN: the change may have been accepted, or may
    still be accepted later. FAILED: the head could not be read, the proposal could not be recorded,
    or the service rejected the last try to replace the head.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of an apply.

    Attributes:
      outcome: How it ended.
      configuration: The accepted configuration, after a CONFLICT that of the other writer; after
        UNKNOWN and FAILED it need not be the accepted one.
      message: Text for operators.
    """

    outcome: ApplyOutcome
    configuration: Configuration
    message: str = ""


@dataclass(frozen=True, slots=True)
class Proposal:
    """A manifest to be accepted as the configuration.

    Attributes:
      manifest: The declared state.
      author: Who applies it.
      source_commit: Commit of the declarations.
      write_id: Unique id of this write, by which its own retries are recognised.
      base_revision: Revision that has to be accepted at the time; None for any.
    """

    manifest: Manifest
    author: str
    source_commit: str
    write_id: str
    base_revision: int | None = None


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as JSON, the form in which it is stored and sent."""
    return msgspec.json.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration that its stored form holds.

    Raises:
      msgspec.DecodeError: The bytes are not a configuration.
    """
    return decode_value(payload, Configuration)


async def read_head(service: KeyValueService) -> Result[Head, KeyValueError]:
    """Read the accepted configuration; the empty one with revision 0 if none was accepted yet."""
    return (await service.read(HEAD_KEY)).bind(head_of)


def head_of(entry: KeyValueEntry | None) -> Result[Head, KeyValueError]:
    """Decode the entry of the head key; a missing or deleted key gives the empty configuration."""
    if entry is None or not entry.value:
        return Success(Head(EMPTY_CONFIGURATION, 0))
    try:
        return Success(Head(decode_configuration(entry.value), entry.revision))
    except msgspec.DecodeError as error:
        message = f"the value of {HEAD_KEY} cannot be decoded: {error}"
        return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))


async def apply(service: KeyValueService, proposal: Proposal, now_unix: float) -> ApplyResult:
    """Make a manifest the accepted configuration.

    Args:
      service: The key-value service.
      proposal: The manifest to accept.
      now_unix: Present time, in seconds since the epoch.

    Returns:
      The result; ACCEPTED only if the write is known to have taken effect.
    """
    read = await read_head(service)
    if not isinstance(read, Success):
        return ApplyResult(ApplyOutcome.FAILED, EMPTY_CONFIGURATION, read.failure().message)
    head = read.unwrap()
    accepted = head.configuration
    if proposal.base_revision not in (None, accepted.revision):
        return ApplyResult(
            ApplyOutcome.CONFLICT,
            accepted,
            f"the change is based on revision {proposal.base_revision}, "
            f"but revision {accepted.revision} is accepted",
        )
    candidate = candidate_of(proposal, accepted, now_unix)
    if candidate.digest == accepted.digest:
        return ApplyResult(ApplyOutcome.UNCHANGED, accepted)
    recorded = await record_in_history(service, candidate)
    if not isinstance(recorded, Success):
        return ApplyResult(ApplyOutcome.FAILED, accepted, recorded.failure().message)
    return await swap_head(service, candidate, head.version)


def candidate_of(proposal: Proposal, accepted: Configuration, now_unix: float) -> Configuration:
    """Return the configuration that a proposal becomes if it is accepted on top of another."""
    return Configuration(
        revision=accepted.revision + 1,
        write_id=proposal.write_id,
        previous_write_id=accepted.write_id,
        digest=digest_of(proposal.manifest),
        author=proposal.author,
        accepted_unix=now_unix,
        source_commit=proposal.source_commit,
        manifest=proposal.manifest,
    )


async def record_in_history(
    service: KeyValueService, candidate: Configuration
) -> Result[int, KeyValueError]:
    """Write a candidate to the history; a conflict means that an earlier try wrote it."""
    key = history_key(candidate)
    result: Result[int, KeyValueError] = Failure(KeyValueError(KeyValueFailure.UNKNOWN, ""))
    for _ in range(WRITE_ATTEMPTS):
        result = await service.write(key, encode_configuration(candidate), 0)
        if isinstance(result, Success):
            return result
        if result.failure().failure is KeyValueFailure.CONFLICT:
            return Success(0)
    return result


async def swap_head(
    service: KeyValueService, candidate: Configuration, version: int
) -> ApplyResult:
    """Replace the head by compare-and-swap; a lost answer is resolved from the history."""
    payload = encode_configuration(candidate)
    may_take_effect = False
    for _ in range(WRITE_ATTEMPTS):
        written = await service.write(HEAD_KEY, payload, version)
        if isinstance(written, Success):
            return ApplyResult(ApplyOutcome.ACCEPTED, candidate)
        error = written.failure()
        if error.failure is KeyValueFailure.CONFLICT:
            return await resolve_conflict(service, candidate)
        may_take_effect = may_take_effect or error.failure in UNCERTAIN_FAILURES
    if may_take_effect:
        return await resolve_uncertain_write(service, candidate, error.message)
    return ApplyResult(ApplyOutcome.FAILED, candidate, error.message)


async def resolve_conflict(service: KeyValueService, candidate: Configuration) -> ApplyResult:
    """Tell a conflict with an earlier try of the same write from one with another change."""
    for _ in range(WRITE_ATTEMPTS):
        chain = await accepted_chain(service)
        if isinstance(chain, Success):
            accepted = chain.unwrap()
            if any(item.write_id == candidate.write_id for item in accepted):
                return ApplyResult(ApplyOutcome.ACCEPTED, candidate)
            return ApplyResult(
                ApplyOutcome.CONFLICT, accepted[0], "another change was accepted first"
            )
    return ApplyResult(ApplyOutcome.UNKNOWN, candidate, chain.failure().message)


async def resolve_uncertain_write(
    service: KeyValueService, candidate: Configuration, message: str
) -> ApplyResult:
    """Read back whether a write took effect after a try of it got no answer."""
    chain = await accepted_chain(service)
    accepted = chain.value_or(())
    if any(item.write_id == candidate.write_id for item in accepted):
        return ApplyResult(ApplyOutcome.ACCEPTED, candidate)
    return ApplyResult(
        ApplyOutcome.UNKNOWN, candidate, f"the change may still be accepted: {message}"
    )


async def accepted_chain(
    service: KeyValueService,
) -> Result[tuple[Configuration, ...], KeyValueError]:
    """Return the accepted configuration and those before it, newest first.

    If none was accepted, the result holds only the empty configuration of revision 0.
    """
    read = await read_head(service)
    if not isinstance(read, Success):
        return Failure(read.failure())
    listed = await service.read_prefix(HISTORY_PREFIX)
    if not isinstance(listed, Success):
        return Failure(listed.failure())
    recorded = {item.write_id: item for item in decode_entries(listed.unwrap().entries)}
    chain = [read.unwrap().configuration]
    while (previous := recorded.get(chain[-1].previous_write_id)) is not None:
        chain.append(previous)
    return Success(tuple(chain))


async def unaccepted_proposals(
    service: KeyValueService,
) -> Result[tuple[Configuration, ...], KeyValueError]:
    """Return the candidates of proposals that were recorded in the history but not accepted.

    Their writer is still at work, or failed before the change was accepted, or got a conflict.
    """
    chain = await accepted_chain(service)
    if not isinstance(chain, Success):
        return chain
    listed = await service.read_prefix(HISTORY_PREFIX)
    if not isinstance(listed, Success):
        return Failure(listed.failure())
    accepted = {item.write_id for item in chain.unwrap()}
    recorded = decode_entries(listed.unwrap().entries)
    return Success(tuple(item for item in recorded if item.write_id not in accepted))


async def discard_proposal(
    service: KeyValueService, candidate: Configuration
) -> Result[int, KeyValueError]:
    """Delete a proposal that was not accepted from the history; success if it is absent."""
    key = history_key(candidate)
    read = await service.read(key)
    if not isinstance(read, Success):
        return Failure(read.failure())
    entry = read.unwrap()
    return Success(0) if entry is None else await service.delete(key, entry.revision)


def history_key(configuration: Configuration) -> str:
    """Return the history key of a configuration; keys sort by revision."""
    return f"{HISTORY_PREFIX}{configuration.revision:08}-{configuration.write_id}"


def decode_entries(entries: tuple[KeyValueEntry, ...]) -> list[Configuration]:
    """Return the configurations in entries of the history; malformed ones are logged and left out.

    No process of this project writes a malformed entry, so none of them was accepted.
    """
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode_configuration(entry.value))
        except msgspec.DecodeError as error:
            LOG.warning("configuration.history_unreadable", key=entry.key, error=str(error))
    return decoded
