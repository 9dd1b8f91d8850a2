"""The accepted configuration in the key-value service.

The head holds the whole accepted document and moves by compare-and-swap. Each proposal
is first written to the history under its revision and write id, so that a lost answer can
be resolved and a half-finished apply can be seen.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from ..data import EMPTY_CONFIGURATION, Configuration
from ..platform.key_value import KeyValueEntry, KeyValueError, KeyValueFailure, KeyValueService
from ..schema.manifest import Manifest
from .manifest import digest_of

HEAD_KEY = "verbenaward/configuration/head"
HISTORY_PREFIX = "verbenaward/configuration/history/"
WRITE_ATTEMPTS = 5
IN_DOUBT = (KeyValueFailure.UNAVAILABLE, KeyValueFailure.UNKNOWN)


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted configuration and the version of its key."""

    configuration: Configuration
    version: int


class Outcome(StrEnum):
    """How an apply ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Applied:
    """Result of an apply.

    Attributes:
      outcome: How it ended.
      configuration: The accepted configuration, or the one that won a conflict.
      message: Text for operators.
    """

    outcome: Outcome
    configuration: Configuration
    message: str = ""


@dataclass(frozen=True, slots=True)
class Proposal:
    """A manifest that somebody wants accepted.

    Attributes:
      manifest: The declared state.
      author: Who applies it.
      source_commit: Commit of the declarations.
      write_id: Unique name of this write.
      base_revision: Revision it was made for; None for whichever is accepted.
    """

    manifest: Manifest
    author: str
    source_commit: str
    write_id: str
    base_revision: int | None = None


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the stored form of a configuration."""
    return msgspec.json.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration of its stored form.

    Raises:
      msgspec.DecodeError: The bytes are not a configuration.
    """
    return msgspec.json.decode(payload, type=Configuration)


async def read_head(service: KeyValueService) -> Result[Head, KeyValueError]:
    """Return the accepted configuration; revision 0 where there is none yet."""
    return (await service.read(HEAD_KEY)).bind(head_of)


def head_of(entry: KeyValueEntry | None) -> Result[Head, KeyValueError]:
    """Return the head that an entry holds."""
    if entry is None or not entry.value:
        return Success(Head(EMPTY_CONFIGURATION, 0))
    try:
        return Success(Head(decode_configuration(entry.value), entry.version))
    except msgspec.DecodeError as error:
        message = f"the value of {HEAD_KEY} cannot be decoded: {error}"
        return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))


async def apply(service: KeyValueService, proposal: Proposal, now_unix: float) -> Applied:
    """Make a manifest the accepted configuration.

    Args:
      service: The key-value service.
      proposal: What to accept.
      now_unix: Present time, in seconds since the epoch.

    Returns:
      How it ended. ACCEPTED is only returned where the write took effect.
    """
    read = await read_head(service)
    if not isinstance(read, Success):
        return Applied(Outcome.FAILED, EMPTY_CONFIGURATION, read.failure().message)
    head = read.unwrap()
    current = head.configuration
    if proposal.base_revision not in (None, current.revision):
        return Applied(Outcome.CONFLICT, current, f"revision {current.revision} is accepted")
    candidate = candidate_of(proposal, current, now_unix)
    if candidate.digest == current.digest:
        return Applied(Outcome.UNCHANGED, current)
    recorded = await record_in_history(service, candidate)
    if not isinstance(recorded, Success):
        return Applied(Outcome.FAILED, current, recorded.failure().message)
    return await move_head(service, candidate, head.version)


def candidate_of(proposal: Proposal, current: Configuration, now_unix: float) -> Configuration:
    """Return the configuration that a proposal becomes when it is accepted."""
    return Configuration(
        revision=current.revision + 1,
        write_id=proposal.write_id,
        previous_write_id=current.write_id,
        digest=digest_of(proposal.manifest),
        author=proposal.author,
        accepted_unix=now_unix,
        source_commit=proposal.source_commit,
        manifest=proposal.manifest,
    )


async def record_in_history(
    service: KeyValueService, candidate: Configuration
) -> Result[int, KeyValueError]:
    """Write a candidate to the history; writing it twice changes nothing."""
    key = history_key(candidate)
    result: Result[int, KeyValueError] = Failure(KeyValueError(KeyValueFailure.UNKNOWN, ""))
    for _ in range(WRITE_ATTEMPTS):
        result = await service.write(key, encode_configuration(candidate), 0)
        if isinstance(result, Success):
            return result
        if result.failure().failure is KeyValueFailure.CONFLICT:
            return Success(0)
    return result


async def move_head(service: KeyValueService, candidate: Configuration, version: int) -> Applied:
    """Move the head by compare-and-swap and resolve answers that were lost."""
    payload = encode_configuration(candidate)
    message = ""
    for _ in range(WRITE_ATTEMPTS):
        written = await service.write(HEAD_KEY, payload, version)
        if isinstance(written, Success):
            return Applied(Outcome.ACCEPTED, candidate)
        error = written.failure()
        message = error.message
        if error.failure is KeyValueFailure.CONFLICT:
            return await resolve_conflict(service, candidate)
    if error.failure in IN_DOUBT:
        return await resolve_doubt(service, candidate, message)
    return Applied(Outcome.FAILED, candidate, message)


async def resolve_conflict(service: KeyValueService, candidate: Configuration) -> Applied:
    """Find out whether the conflict was with an earlier try of the same write."""
    for _ in range(WRITE_ATTEMPTS):
        chain = await accepted_chain(service)
        if isinstance(chain, Success):
            accepted = chain.unwrap()
            if any(item.write_id == candidate.write_id for item in accepted):
                return Applied(Outcome.ACCEPTED, candidate)
            return Applied(Outcome.CONFLICT, accepted[0], "another change was accepted first")
    return Applied(Outcome.UNKNOWN, candidate, chain.failure().message)


async def resolve_doubt(
    service: KeyValueService, candidate: Configuration, message: str
) -> Applied:
    """Read back after tries that were all without an answer."""
    chain = await accepted_chain(service)
    known = chain.value_or(())
    if any(item.write_id == candidate.write_id for item in known):
        return Applied(Outcome.ACCEPTED, candidate)
    return Applied(Outcome.UNKNOWN, candidate, f"it may still be accepted: {message}")


async def accepted_chain(
    service: KeyValueService,
) -> Result[tuple[Configuration, ...], KeyValueError]:
    """Return all accepted configurations, newest first."""
    read = await read_head(service)
    if not isinstance(read, Success):
        return Failure(read.failure())
    listed = await service.read_prefix(HISTORY_PREFIX)
    if not isinstance(listed, Success):
        return Failure(listed.failure())
    recorded = {item.write_id: item for item in map(decode_entry, listed.unwrap().entries)}
    chain = [read.unwrap().configuration]
    while (previous := recorded.get(chain[-1].previous_write_id)) is not None:
        chain.append(previous)
    return Success(tuple(chain))


async def unfinished(
    service: KeyValueService,
) -> Result[tuple[Configuration, ...], KeyValueError]:
    """Return recorded proposals that were never accepted and could still be: half-finished."""
    chain = await accepted_chain(service)
    if not isinstance(chain, Success):
        return chain
    listed = await service.read_prefix(HISTORY_PREFIX)
    if not isinstance(listed, Success):
        return Failure(listed.failure())
    accepted = {item.write_id for item in chain.unwrap()}
    recorded = map(decode_entry, listed.unwrap().entries)
    return Success(tuple(item for item in recorded if item.write_id not in accepted))


async def drop_unfinished(
    service: KeyValueService, candidate: Configuration
) -> Result[int, KeyValueError]:
    """Remove one half-finished proposal from the history."""
    key = history_key(candidate)
    read = await service.read(key)
    if not isinstance(read, Success):
        return Failure(read.failure())
    entry = read.unwrap()
    return Success(0) if entry is None else await service.delete(key, entry.version)


def history_key(configuration: Configuration) -> str:
    """Return the key of a configuration in the history."""
    return f"{HISTORY_PREFIX}{configuration.revision:08}-{configuration.write_id}"


def decode_entry(entry: KeyValueEntry) -> Configuration:
    """Return the configuration that a history entry holds."""
    return decode_configuration(entry.value)
