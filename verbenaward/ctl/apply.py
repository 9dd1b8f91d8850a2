"""Library behind the commands that change or show the accepted configuration."""

import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

from ..configuration.manifest import Change, differences
from ..configuration.store import (
    Applied,
    Outcome,
    Proposal,
    accepted_chain,
    apply,
    drop_unfinished,
    encode_configuration,
    read_head,
    unfinished,
)
from ..data import Configuration
from ..platform.key_value import KeyValueService
from ..schema.manifest import Manifest
from ..schema.messages import ConfigurationOffer
from .declarations import in_order, overlay
from .platform import send_offer


@dataclass(frozen=True, slots=True)
class Plan:
    """What an apply would do.

    Attributes:
      base: Configuration that is accepted now.
      manifest: Manifest that would be accepted.
      changes: Differences between the two.
    """

    base: Configuration
    manifest: Manifest
    changes: tuple[Change, ...]


async def make_plan(service: KeyValueService, declared: Manifest, prune: bool) -> Result[Plan, str]:
    """Return what an apply would do.

    Args:
      service: The key-value service.
      declared: Declared state.
      prune: True to remove what is accepted but not declared.
    """
    read = await read_head(service)
    if not isinstance(read, Success):
        return Failure(read.failure().message)
    base = read.unwrap().configuration
    wanted = in_order(declared) if prune else overlay(base.manifest, declared)
    return Success(Plan(base, wanted, differences(base.manifest, wanted)))


async def apply_plan(
    service: KeyValueService, plan: Plan, author: str, commit: str, entries: Sequence[str]
) -> Applied:
    """Make a plan the accepted configuration and tell entry processes.

    Args:
      service: The key-value service.
      plan: The plan; it fails where its base is no longer accepted.
      author: Who applies it.
      commit: Commit of the declarations.
      entries: Addresses of entry processes that are told at once.
    """
    if not plan.changes:
        return Applied(Outcome.UNCHANGED, plan.base)
    proposal = Proposal(plan.manifest, author, commit, uuid.uuid4().hex, plan.base.revision)
    applied = await apply(service, proposal, time.time())
    if applied.outcome is Outcome.ACCEPTED and entries:
        await tell(applied.configuration, entries)
    return applied


async def tell(configuration: Configuration, entries: Sequence[str]) -> None:
    """Offer an accepted configuration to entry processes."""
    offer = ConfigurationOffer(
        revision=configuration.revision,
        digest=bytes.fromhex(configuration.digest),
        document=encode_configuration(configuration),
    )
    async with aiohttp.ClientSession() as session:
        await send_offer(session, entries, offer)


async def find_revision(service: KeyValueService, revision: int) -> Result[Configuration, str]:
    """Return an accepted revision."""
    chain = await accepted_chain(service)
    if not isinstance(chain, Success):
        return Failure(chain.failure().message)
    for configuration in chain.unwrap():
        if configuration.revision == revision:
            return Success(configuration)
    return Failure(f"revision {revision} was never accepted")


async def list_history(service: KeyValueService) -> Result[tuple[Configuration, ...], str]:
    """Return all accepted revisions, newest first."""
    chain = await accepted_chain(service)
    return chain.alt(lambda error: error.message)


async def list_unfinished(service: KeyValueService) -> Result[tuple[Configuration, ...], str]:
    """Return proposals that were recorded but not accepted."""
    found = await unfinished(service)
    return found.alt(lambda error: error.message)


async def drop(service: KeyValueService, write_id: str) -> Result[int, str]:
    """Remove a half-finished proposal."""
    found = await unfinished(service)
    if not isinstance(found, Success):
        return Failure(found.failure().message)
    for candidate in found.unwrap():
        if candidate.write_id == write_id:
            dropped = await drop_unfinished(service, candidate)
            return dropped.alt(lambda error: error.message)
    return Failure(f"no half-finished change has the id {write_id}")
