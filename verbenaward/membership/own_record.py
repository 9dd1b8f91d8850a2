"""The record that a process publishes about itself."""

import dataclasses

from ..schema.messages import HeartbeatReply, Member, MemberKind, MemberStatus
from ..schema.settings import Settings

MICROSECONDS_PER_SECOND = 1_000_000
"""An incarnation is a start time in microseconds."""


class OwnRecord:
    """Holds the current record of this process and raises its version on each change.

    The incarnation is the start time, so that a restarted process supersedes its former record.

    Attributes:
      member: The record.
    """

    def __init__(self, settings: Settings, now_unix: float) -> None:
        role = settings.endpoint.serves if settings.endpoint else ""
        self.member = Member(
            vm=settings.vm,
            kind=MemberKind(settings.role),
            role=role,
            region=settings.region,
            zone=settings.zone,
            address=settings.listen,
            incarnation=int(now_unix * MICROSECONDS_PER_SECOND),
            version=1,
        )

    def update(self, **values: object) -> None:
        """Set fields of the record and raise its version; equal values change nothing."""
        candidate = dataclasses.replace(self.member, **values)  # type: ignore[arg-type]
        if candidate != self.member:
            self.member = dataclasses.replace(candidate, version=self.member.version + 1)

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision; it travels in heartbeats and needs no new version."""
        self.member = dataclasses.replace(self.member, revision=revision)

    def refute(self, reply: HeartbeatReply) -> None:
        """Supersede the record of this process that a registrar holds, if that outranks it.

        A higher incarnation is left by a former process on this VM if the clock was set back
        since. A suspect or gone status is refuted by a higher version.
        """
        if reply.known_incarnation > self.member.incarnation:
            self.member = dataclasses.replace(
                self.member, incarnation=reply.known_incarnation + 1, version=1
            )
            return
        is_marked = reply.known_status in (MemberStatus.SUSPECT, MemberStatus.GONE)
        if is_marked and reply.known_version >= self.member.version:
            self.member = dataclasses.replace(self.member, version=reply.known_version + 1)
