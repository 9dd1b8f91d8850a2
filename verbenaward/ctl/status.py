"""Library behind the commands that explain the state of the system."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

from ..configuration.manifest import release_digest
from ..data import Configuration
from .platform import MemberStatusReport, ProcessStatus, read_all, read_fleet

WAIT_POLL_SECONDS = 0.2
SHOWN_LAGGARDS = 10


@dataclass(frozen=True, slots=True)
class Fleet:
    """State of the system as the entry processes report it.

    Attributes:
      entries: Status of each entry process, by address.
      members: Newest record of each VM.
    """

    entries: dict[str, ProcessStatus]
    members: tuple[MemberStatusReport, ...]


@dataclass(frozen=True, slots=True)
class SpreadGroup:
    """Progress of a release in one availability zone.

    Attributes:
      role: Role of the release.
      region: Region.
      zone: Availability zone.
      vms: Number of VMs that should carry it.
      held: Number of VMs that hold all chunks.
      active: Number of VMs whose engine serves it.
      share: Mean share of chunks that are held.
      stragglers: VMs that are behind, with the reason.
    """

    role: str
    region: str
    zone: str
    vms: int
    held: int
    active: int
    share: float
    stragglers: tuple[str, ...]


async def load_fleet(seeds: Sequence[str]) -> Fleet:
    """Return the state of the system, starting from some entry addresses."""
    async with aiohttp.ClientSession() as session:
        entries = await read_fleet(session, seeds)
    return Fleet(entries, newest_members(entries))


def newest_members(entries: dict[str, ProcessStatus]) -> tuple[MemberStatusReport, ...]:
    """Return the newest record of each VM that any entry process knows."""
    newest: dict[str, MemberStatusReport] = {}
    for status in entries.values():
        for member in (*status.members, status.member):
            known = newest.get(member.vm)
            if known is None or order_of(member) > order_of(known):
                newest[member.vm] = member
    return tuple(sorted(newest.values(), key=lambda member: (member.kind, member.vm)))


def order_of(member: MemberStatusReport) -> tuple[int, int]:
    """Return the sort key that says which record is newer."""
    return (member.incarnation, member.version)


def revisions_in_force(fleet: Fleet) -> dict[str, int]:
    """Return the highest revision that each VM is known to have in force."""
    known: dict[str, int] = {}
    for status in fleet.entries.values():
        known[status.member.vm] = max(known.get(status.member.vm, 0), status.revision)
        for vm, revision in status.heard_revisions.items():
            known[vm] = max(known.get(vm, 0), revision)
    return known


def laggards(fleet: Fleet, revision: int) -> tuple[str, ...]:
    """Return the living VMs in which a revision is not known to be in force."""
    known = revisions_in_force(fleet)
    return tuple(
        member.vm
        for member in fleet.members
        if member.status in ("alive", "leaving") and known.get(member.vm, 0) < revision
    )


async def wait_for_revision(
    seeds: Sequence[str], revision: int, timeout_seconds: float
) -> tuple[str, ...]:
    """Wait until a revision is in force everywhere.

    Returns:
      The VMs that lag at the end of the time; empty where the revision is in force
      everywhere.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        fleet = await load_fleet(seeds)
        behind = laggards(fleet, revision)
        if fleet.entries and not behind:
            return ()
        if time.monotonic() > deadline:
            return behind or ("no entry process answers",)
        await asyncio.sleep(WAIT_POLL_SECONDS)


def explain(fleet: Fleet, accepted: Configuration | None) -> list[str]:
    """Return plain sentences about everything that is not as declared.

    Args:
      fleet: State of the system.
      accepted: Accepted configuration; None where the key-value service does not answer.
    """
    if not fleet.entries:
        return ["No entry process answers: check the addresses given with --entry."]
    sentences = []
    if accepted is None:
        sentences.append(
            "The key-value service does not answer: running processes keep the configuration "
            "in force, but nothing new can be accepted."
        )
    sentences += explain_configuration(fleet, accepted)
    sentences += explain_members(fleet)
    if accepted is not None:
        sentences += explain_releases(fleet, accepted)
    return sentences


def explain_configuration(fleet: Fleet, accepted: Configuration | None) -> list[str]:
    """Return sentences about revisions that lag."""
    newest = max(status.revision for status in fleet.entries.values())
    if accepted is not None and accepted.revision < newest:
        return [
            f"The key-value service holds revision {accepted.revision}, but {newest} is in "
            f"force: the service came back with an older state. Apply the manifest again."
        ]
    revision = accepted.revision if accepted else newest
    behind = laggards(fleet, revision)
    if not behind:
        return []
    names = ", ".join(behind[:SHOWN_LAGGARDS])
    return [f"Revision {revision} is not yet in force on {len(behind)} VMs: {names}."]


def explain_members(fleet: Fleet) -> list[str]:
    """Return sentences about VMs that are not alive."""
    reasons = {
        "suspect": "is suspect: its registrars hear no heartbeat. It gets no requests.",
        "gone": "is gone. If it should exist, start its daemon again.",
        "leaving": "is leaving: it finishes its requests and gets no new ones.",
    }
    return [
        f"VM {member.vm} ({member.zone}) {reasons[member.status]}"
        for member in fleet.members
        if member.status in reasons
    ]


def explain_releases(fleet: Fleet, accepted: Configuration) -> list[str]:
    """Return sentences about VMs whose engine does not serve the declared release."""
    sentences = []
    for release in accepted.manifest.releases:
        digest = release_digest(release)
        carriers = [item for item in fleet.members if item.role == release.role]
        behind = [item.vm for item in carriers if item.release != digest and item.status == "alive"]
        label = f"{release.model.name} {release.model.version}"
        if not carriers:
            sentences.append(f"No VM has the role {release.role}, so nothing serves {label}.")
        elif behind:
            names = ", ".join(behind[:SHOWN_LAGGARDS])
            sentences.append(f"{len(behind)} VMs do not serve {label} yet: {names}.")
    return sentences


async def spread_groups(fleet: Fleet, accepted: Configuration) -> tuple[SpreadGroup, ...]:
    """Return the progress of every release by availability zone."""
    roles = {release.role: release_digest(release) for release in accepted.manifest.releases}
    carriers = [
        item
        for item in fleet.members
        if item.kind == "endpoint" and item.role in roles and item.status != "gone"
    ]
    async with aiohttp.ClientSession() as session:
        statuses = await read_all(session, [item.address for item in carriers])
    places = sorted({(item.role, item.region, item.zone) for item in carriers})
    return tuple(
        group_of(place, [item for item in carriers if place_of(item) == place], statuses, roles)
        for place in places
    )


def place_of(member: MemberStatusReport) -> tuple[str, str, str]:
    """Return role, region and availability zone of a member."""
    return (member.role, member.region, member.zone)


def group_of(
    place: tuple[str, str, str],
    members: list[MemberStatusReport],
    statuses: dict[str, ProcessStatus],
    roles: dict[str, str],
) -> SpreadGroup:
    """Return the progress of one availability zone."""
    wanted = roles[place[0]]
    held = active = 0
    shares, stragglers = [], []
    for member in members:
        status = statuses.get(member.address)
        progress = status.progress if status else None
        follows = progress is not None and progress.release == wanted
        share = progress.held_share if progress and follows else 0.0
        shares.append(share)
        held += share >= 1.0
        is_active = status is not None and status.member.release == wanted
        active += is_active
        if not is_active:
            stragglers.append(f"{member.vm}: {straggler_reason(status, follows, share)}")
    mean = sum(shares) / len(shares)
    return SpreadGroup(*place, len(members), held, active, mean, tuple(stragglers))


def straggler_reason(status: ProcessStatus | None, follows: bool, share: float) -> str:
    """Return why a VM does not serve the release yet."""
    if status is None:
        return "its process does not answer"
    if not follows:
        return "it has not heard of the release yet"
    if share < 1.0:
        return f"it holds {share:.0%} of the chunks"
    return "its engine has not activated the release"
