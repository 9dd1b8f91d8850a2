"""State of all VMs as entry processes report it, and what differs from the declared state."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp

from ..answer_protocol import AnswerConnector
from ..configuration.manifest import release_digest
from ..data import Configuration
from .clients import MemberStatusReport, ProcessStatus, read_entry_statuses, read_statuses

WAIT_POLL_SECONDS = 0.2
"""Time between two reads of the state of all VMs."""
MAXIMUM_VMS_NAMED = 10
"""VM names listed in one finding."""


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of all VMs as the entry processes report it.

    Attributes:
      entries: Status of each entry process, by address.
      members: Newest record of each VM.
    """

    entries: dict[str, ProcessStatus]
    members: tuple[MemberStatusReport, ...]


@dataclass(frozen=True, slots=True)
class ZoneProgress:
    """Progress of a release in one availability zone.

    Attributes:
      role: Role of the release.
      region: Region.
      zone: Availability zone.
      vms: Number of VMs that should serve it.
      held: Number of VMs that hold all chunks.
      active: Number of VMs whose engine serves it.
      share: Mean share of its chunks that a VM holds, from 0 to 1.
      stragglers: VMs that do not serve it yet, with the reason.
    """

    role: str
    region: str
    zone: str
    vms: int
    held: int
    active: int
    share: float
    stragglers: tuple[str, ...]


async def load_fleet(seeds: Sequence[str]) -> FleetStatus:
    """Return the state of all VMs, starting from the addresses of some entry processes."""
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        entries = await read_entry_statuses(session, seeds)
    return FleetStatus(entries, newest_members(entries))


def newest_members(entries: dict[str, ProcessStatus]) -> tuple[MemberStatusReport, ...]:
    """Return the newest record of each VM among those of all entry processes."""
    newest: dict[str, MemberStatusReport] = {}
    for status in entries.values():
        for member in (*status.members, status.member):
            current = newest.get(member.vm)
            if current is None or record_version(member) > record_version(current):
                newest[member.vm] = member
    return tuple(sorted(newest.values(), key=lambda member: (member.kind, member.vm)))


def record_version(member: MemberStatusReport) -> tuple[int, int]:
    """Return the key by which records of one VM are compared; the newer one has the larger key."""
    return (member.incarnation, member.version)


def revisions_in_force(fleet: FleetStatus) -> dict[str, int]:
    """Return the highest revision that each VM has reported as in force."""
    revisions: dict[str, int] = {}
    for status in fleet.entries.values():
        revisions[status.member.vm] = max(revisions.get(status.member.vm, 0), status.revision)
        for vm, revision in status.heard_revisions.items():
            revisions[vm] = max(revisions.get(vm, 0), revision)
    return revisions


def lagging_vms(fleet: FleetStatus, revision: int) -> tuple[str, ...]:
    """Return the alive or leaving VMs that have not reported at least this revision in force."""
    revisions = revisions_in_force(fleet)
    return tuple(
        member.vm
        for member in fleet.members
        if member.status in ("alive", "leaving") and revisions.get(member.vm, 0) < revision
    )


async def wait_for_revision(
    seeds: Sequence[str], revision: int, timeout_seconds: float
) -> tuple[str, ...] | None:
    """Wait until a revision is in force everywhere.

    Returns:
      VMs that still lag at the timeout; empty if the revision is in force everywhere. None if no
      entry process answers at the timeout.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        fleet = await load_fleet(seeds)
        lagging = lagging_vms(fleet, revision)
        if fleet.entries and not lagging:
            return ()
        if time.monotonic() > deadline:
            return lagging if fleet.entries else None
        await asyncio.sleep(WAIT_POLL_SECONDS)


def all_findings(fleet: FleetStatus, accepted: Configuration | None) -> list[str]:
    """Return one sentence for each difference from the declared state.

    Args:
      fleet: State of all VMs.
      accepted: Accepted configuration; None if the key-value service does not answer.
    """
    if not fleet.entries:
        return ["No entry process answers: check the addresses given with --entry."]
    findings = []
    if accepted is None:
        findings.append(
            "The key-value service does not answer: running processes keep the configuration "
            "in force, but nothing new can be accepted."
        )
    findings += configuration_findings(fleet, accepted)
    findings += member_findings(fleet)
    if accepted is not None:
        findings += release_findings(fleet, accepted)
    return findings


def configuration_findings(fleet: FleetStatus, accepted: Configuration | None) -> list[str]:
    """Return findings on VMs whose configuration in force is not the accepted one."""
    newest = max(status.revision for status in fleet.entries.values())
    if accepted is not None and accepted.revision < newest:
        return [
            f"The key-value service holds revision {accepted.revision}, but {newest} is in "
            f"force, as after a restore from an older state. Apply the manifest again."
        ]
    revision = accepted.revision if accepted else newest
    lagging = lagging_vms(fleet, revision)
    if not lagging:
        return []
    names = ", ".join(lagging[:MAXIMUM_VMS_NAMED])
    return [f"Revision {revision} is not yet in force on {len(lagging)} VMs: {names}."]


def member_findings(fleet: FleetStatus) -> list[str]:
    """Return findings on VMs that are suspect, gone or leaving."""
    reasons = {
        "suspect": "is suspect: its registrars receive no heartbeats from it. It gets no requests.",
        "gone": "is gone. If it should still exist, restart its daemon.",
        "leaving": "is leaving: it finishes its requests and gets no new ones.",
    }
    return [
        f"VM {member.vm} ({member.zone}) {reasons[member.status]}"
        for member in fleet.members
        if member.status in reasons
    ]


def release_findings(fleet: FleetStatus, accepted: Configuration) -> list[str]:
    """Return findings on VMs whose engine does not serve the declared release."""
    findings = []
    for release in accepted.manifest.releases:
        digest = release_digest(release)
        assigned = [item for item in fleet.members if item.role == release.role]
        lagging = [
            item.vm for item in assigned if item.release != digest and item.status == "alive"
        ]
        label = f"{release.model.name} {release.model.version}"
        if not assigned:
            findings.append(f"No VM has the role {release.role}, so nothing serves {label}.")
        elif lagging:
            names = ", ".join(lagging[:MAXIMUM_VMS_NAMED])
            findings.append(f"{len(lagging)} VMs do not serve {label} yet: {names}.")
    return findings


async def release_progress(fleet: FleetStatus, accepted: Configuration) -> tuple[ZoneProgress, ...]:
    """Return the progress of every release by availability zone."""
    digests = {release.role: release_digest(release) for release in accepted.manifest.releases}
    assigned = [
        item
        for item in fleet.members
        if item.kind == "endpoint" and item.role in digests and item.status != "gone"
    ]
    async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
        statuses = await read_statuses(session, [item.address for item in assigned])
    keys = sorted({(item.role, item.region, item.zone) for item in assigned})
    return tuple(
        zone_progress(key, [item for item in assigned if zone_key(item) == key], statuses, digests)
        for key in keys
    )


def zone_key(member: MemberStatusReport) -> tuple[str, str, str]:
    """Return the key by which members are grouped: role, region and availability zone."""
    return (member.role, member.region, member.zone)


def zone_progress(
    key: tuple[str, str, str],
    members: list[MemberStatusReport],
    statuses: dict[str, ProcessStatus],
    digests: dict[str, str],
) -> ZoneProgress:
    """Return the progress of a release on the members of one availability zone.

    Args:
      key: Role, region and availability zone.
      members: Endpoint VMs that should serve the release.
      statuses: Status of each of their processes that answered, by address.
      digests: Digest of the accepted release, by role.
    """
    wanted = digests[key[0]]
    held = active = 0
    shares, stragglers = [], []
    for member in members:
        status = statuses.get(member.address)
        progress = status.progress if status else None
        has_received = progress is not None and progress.release == wanted
        share = progress.held_share if progress and has_received else 0.0
        shares.append(share)
        held += share >= 1.0
        is_active = status is not None and status.member.release == wanted
        active += is_active
        if not is_active:
            stragglers.append(f"{member.vm}: {straggler_reason(status, has_received, share)}")
    mean = sum(shares) / len(shares)
    return ZoneProgress(*key, len(members), held, active, mean, tuple(stragglers))


def straggler_reason(status: ProcessStatus | None, has_received: bool, share: float) -> str:
    """Return why a VM does not serve the release yet."""
    if status is None:
        return "its process does not answer"
    if not has_received:
        return "it has not received the release yet"
    if share < 1.0:
        return f"it holds {share:.0%} of the chunks"
    return "its engine has not activated the release"
