"""Operations that change or read the accepted configuration."""

import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

from ..answer_protocol import AnswerConnector
from ..configuration.manifest import Change, differences
from ..configuration.store import (
    ApplyOutcome,
    ApplyResult,
    Proposal,
    accepted_chain,
    apply,
    discard_proposal,
    encode_configuration,
    read_head,
    unaccepted_proposals,
)
from ..data import Configuration
from ..platform.key_value import KeyValueService
from ..schema.manifest import Manifest
from ..schema.messages import ConfigurationOffer
from .clients import send_offer
from .declarations import overlay, sorted_by_name


@dataclass(frozen=True, slots=True)
class Plan:
    """Changes that an apply would make.

    Attributes:
      base: Accepted configuration that the plan starts from.
      manifest: Manifest that would be accepted.
      changes: Differences between the manifests of the two.
    """

    base: Configuration
    manifest: Manifest
    changes: tuple[Change, ...]


async def make_plan(service: KeyValueService, declared: Manifest, prune: bool) -> Result[Plan, str]:
    """Compare the declared state with the accepted configuration.

    Args:
      service: The key-value service.
      declared: Declared state.
      prune: True to remove accepted items that are not declared.
    """
    read = await read_head(service)
    if not isinstance(read, Success):
        return Failure(read.failure().message)
    base = read.unwrap().configuration
    wanted = sorted_by_name(declared) if prune else overlay(base.manifest, declared)
    return Success(Plan(base, wanted, differences(base.manifest, wanted)))


async def apply_plan(
    service: KeyValueService, plan: Plan, author: str, commit: str, entries: Sequence[str]
) -> ApplyResult:
    """Make a plan the accepted configuration and send that to entry processes.

    Args:
      service: The key-value service.
      plan: The plan; a conflict if its base is no longer the accepted configuration.
      author: Who applies it.
      commit: Commit of the declarations.
      entries: Addresses of entry processes that get the new configuration at once.
    """
    if not plan.changes:
        return ApplyResult(ApplyOutcome.UNCHANGED, plan.base)
    proposal = Proposal(plan.manifest, author, commit, uuid.uuid4().hex, plan.base.revision)
    applied = await apply(service, proposal, time.time())
    if applied.outcome is ApplyOutcome.ACCEPTED and entries:
        await offer_to_entries(applied.configuration, entries)
    return applied


async def offer_to_entries(configuration: Configuration, entries: Sequence[str]) -> None:
    """Send an accepted configuration, with its digest, to entry processes."""
    offer = ConfigurationOffer(
        revision=configuration.revision,
        digest=bytes.fromhex(configuration.digest),
        document=encode_configuration(configuration),
    )
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        await send_offer(session, entries, offer)


async def find_revision(
    service: KeyValueService, revision: int
) -> Result[Configuration | None, str]:
    """Return the configuration of a revision; None if the revision was never accepted."""
    chain = await accepted_chain(service)
    if not isinstance(chain, Success):
        return Failure(chain.failure().message)
    accepted = chain.unwrap()
    return Success(next((item for item in accepted if item.revision == revision), None))


async def list_history(service: KeyValueService) -> Result[tuple[Configuration, ...], str]:
    """Return all accepted revisions, newest first; only the empty revision 0 if there is none."""
    chain = await accepted_chain(service)
    return chain.alt(lambda error: error.message)


async def list_unfinished(service: KeyValueService) -> Result[tuple[Configuration, ...], str]:
    """Return proposals that are in the history but were never accepted."""
    found = await unaccepted_proposals(service)
    return found.alt(lambda error: error.message)


async def drop_proposal(service: KeyValueService, write_id: str) -> Result[bool, str]:
    """Remove an unfinished proposal from the history; return False if none has the ID."""
    found = await unaccepted_proposals(service)
    if not isinstance(found, Success):
        return Failure(found.failure().message)
    for candidate in found.unwrap():
        if candidate.write_id == write_id:
            dropped = await discard_proposal(service, candidate)
            return dropped.map(lambda _: True).alt(lambda error: error.message)
    return Success(False)
