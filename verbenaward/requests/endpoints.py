"""What an entry process knows about the endpoints that it sends requests to."""

from dataclasses import dataclass, field

from ..data import Load
from ..membership.directory import Directory
from ..membership.ring import Ring
from ..schema.messages import Member, MemberKind, MemberStatus

AVOID_SECONDS = 1.0
MAXIMUM_AVOID_SECONDS = 8.0
LOAD_DECAY_SECONDS = 2.0


@dataclass(slots=True)
class EndpointView:
    """One endpoint as this process sees it.

    Attributes:
      member: Its record.
      outstanding: Requests of this process that run there.
      load: Load that it last reported, without the requests of this process.
      load_at: Time of that report, monotonic.
      avoid_until: Time until which it gets nothing, after it could not be reached.
      failures: Failures in a row.
      release: Release that it last named itself; empty to trust the record.
      release_version: Version of the record that this release corrects.
    """

    member: Member
    outstanding: int = 0
    load: Load = field(default_factory=Load)
    load_at: float = 0.0
    avoid_until: float = 0.0
    failures: int = 0
    release: str = ""
    release_version: tuple[int, int] = (0, 0)

    def expected_load(self, now: float) -> float:
        """Return the share of its slots that are taken, with old reports fading.

        Args:
          now: Present time, monotonic, in seconds.
        """
        age = now - self.load_at
        weight = max(0.0, 1.0 - age / LOAD_DECAY_SECONDS)
        others = max(0, self.load.running + self.load.queued - self.outstanding)
        return (self.outstanding + weight * others) / self.load.limit

    def active_release(self) -> str:
        """Return the release that the endpoint serves, in hexadecimal."""
        if self.release_version == (self.member.incarnation, self.member.version):
            return self.release
        return self.member.release.hex()

    def note_answer(self, load: Load, now: float) -> None:
        """Note an answer of the endpoint."""
        self.load = load
        self.load_at = now
        self.failures = 0
        self.avoid_until = 0.0

    def note_release(self, release: str) -> None:
        """Note the release that the endpoint named when it refused another."""
        self.release = release
        self.release_version = (self.member.incarnation, self.member.version)

    def note_failure(self, now: float) -> None:
        """Note that the endpoint could not be reached."""
        seconds = min(AVOID_SECONDS * 2**self.failures, MAXIMUM_AVOID_SECONDS)
        self.avoid_until = now + seconds
        self.failures += 1


class EndpointViews:
    """Views of all endpoints, kept in step with the directory.

    Attributes:
      views: Views by VM.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.views: dict[str, EndpointView] = {}
        self.by_role: dict[str, list[EndpointView]] = {}
        self.rings: dict[str, Ring] = {}
        directory.listeners.append(self.take_member)

    def take_member(self, member: Member) -> None:
        """Take over a changed record."""
        if member.kind is not MemberKind.ENDPOINT:
            return
        view = self.views.get(member.vm)
        if member.status is MemberStatus.GONE:
            self.views.pop(member.vm, None)
        elif view is None or view.member.incarnation != member.incarnation:
            self.views[member.vm] = EndpointView(member)
        else:
            view.member = member
        self.rebuild(member.role)

    def rebuild(self, role: str) -> None:
        """Collect the usable endpoints of a role again."""
        usable = self.directory.endpoints_of(role)
        self.by_role[role] = [self.views[item.vm] for item in usable if item.vm in self.views]
        names = frozenset(item.vm for item in usable)
        if role not in self.rings or self.rings[role].nodes != names:
            self.rings[role] = Ring(names)

    def usable(self, role: str, now: float) -> list[EndpointView]:
        """Return the endpoints of a role that may get work now."""
        return [view for view in self.by_role.get(role, ()) if view.avoid_until <= now]

    def ring_of(self, role: str) -> Ring:
        """Return the ring of the usable endpoints of a role."""
        return self.rings.get(role) or Ring(())
