"""The record that a process publishes about itself."""

import dataclasses

from ..schema.messages import HeartbeatReply, Member, MemberKind, MemberStatus
from ..schema.settings import Settings

MICROSECONDS = 1_000_000


class OwnRecord:
    """Holds the current record of this process and raises its version on each change.

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
            incarnation=int(now_unix * MICROSECONDS),
            version=1,
        )

    def change(self, **values: object) -> None:
        """Change fields and raise the version; equal values change nothing."""
        candidate = dataclasses.replace(self.member, **values)  # type: ignore[arg-type]
        if candidate != self.member:
            self.member = dataclasses.replace(candidate, version=self.member.version + 1)

    def set_revision(self, revision: int) -> None:
        """Carry another revision in the heartbeats; that is no change to spread."""
        self.member = dataclasses.replace(self.member, revision=revision)

    def refute(self, reply: HeartbeatReply) -> None:
        """Raise incarnation or version where a registrar takes this process for dead."""
        if reply.known_incarnation > self.member.incarnation:
            self.member = dataclasses.replace(
                self.member, incarnation=reply.known_incarnation + 1, version=1
            )
            return
        is_doubted = reply.known_status in (MemberStatus.SUSPECT, MemberStatus.GONE)
        if is_doubted and reply.known_version >= self.member.version:
            self.member = dataclasses.replace(self.member, version=reply.known_version + 1)
