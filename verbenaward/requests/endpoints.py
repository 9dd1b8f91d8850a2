"""Load and state of the endpoints, as an entry process sees them."""

from dataclasses import dataclass, field

from ..data import Load
from ..membership.directory import Directory
from ..membership.ring import Ring
from ..schema.messages import Member, MemberKind, MemberStatus

INITIAL_BACKOFF_SECONDS = 1.0
"""Time for which an endpoint gets no requests after a failure; doubles with each in a row."""
MAXIMUM_BACKOFF_SECONDS = 8.0
LOAD_DECAY_SECONDS = 2.0
"""Age at which a load report no longer counts."""


@dataclass(slots=True)
class EndpointView:
    """One endpoint as this process sees it.

    Attributes:
      member: Its membership record.
      outstanding: Number of attempts of this process in progress at the endpoint.
      load: Load in its last answer.
      load_received_at: Time of that answer, monotonic.
      backoff_until: Time until which it gets no requests, after failures, monotonic.
      failures: Consecutive failures.
      release: Release that it named when it refused a request for another one, in hexadecimal.
      release_version: (incarnation, version) of the membership record that `release` overrides.
    """

    member: Member
    outstanding: int = 0
    load: Load = field(default_factory=Load)
    load_received_at: float = 0.0
    backoff_until: float = 0.0
    failures: int = 0
    release: str = ""
    release_version: tuple[int, int] = (0, 0)

    def expected_load(self, now: float) -> float:
        """Estimate the share of its slots in use; the weight of a load report falls with its age.

        Args:
          now: Current time, monotonic, in seconds.
        """
        age = now - self.load_received_at
        weight = max(0.0, 1.0 - age / LOAD_DECAY_SECONDS)
        others = max(0, self.load.running + self.load.queued - self.outstanding)
        return (self.outstanding + weight * others) / self.load.limit

    def active_release(self) -> str:
        """Return the release that the endpoint serves, in hexadecimal; empty if none is known."""
        if self.release_version == (self.member.incarnation, self.member.version):
            return self.release
        return self.member.release.hex()

    def record_answer(self, load: Load, now: float) -> None:
        """Store the load of an answer and end the backoff."""
        self.load = load
        self.load_received_at = now
        self.failures = 0
        self.backoff_until = 0.0

    def record_release(self, release: str) -> None:
        """Store the release that the endpoint named when it refused another one."""
        self.release = release
        self.release_version = (self.member.incarnation, self.member.version)

    def record_failure(self, now: float) -> None:
        """Start or extend the backoff after the endpoint could not be reached."""
        seconds = min(INITIAL_BACKOFF_SECONDS * 2**self.failures, MAXIMUM_BACKOFF_SECONDS)
        self.backoff_until = now + seconds
        self.failures += 1


class EndpointViews:
    """Views of all endpoints, updated when the membership directory changes.

    Attributes:
      views: Views by VM.
      by_role: Endpoints by role that the directory lists as usable, in backoff or not.
      rings: Consistent-hash rings of the usable endpoints, by role.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.views: dict[str, EndpointView] = {}
        self.by_role: dict[str, list[EndpointView]] = {}
        self.rings: dict[str, Ring] = {}
        directory.listeners.append(self.on_member_change)

    def on_member_change(self, member: Member) -> None:
        """Update the view of an endpoint from its changed membership record."""
        if member.kind is not MemberKind.ENDPOINT:
            return
        view = self.views.get(member.vm)
        if member.status is MemberStatus.GONE:
            self.views.pop(member.vm, None)
        elif view is None or view.member.incarnation != member.incarnation:
            self.views[member.vm] = EndpointView(member)
        else:
            view.member = member
        self.rebuild_role(member.role)

    def rebuild_role(self, role: str) -> None:
        """Rebuild the list and the ring of the usable endpoints of a role."""
        usable = self.directory.endpoints_of(role)
        self.by_role[role] = [self.views[item.vm] for item in usable if item.vm in self.views]
        names = frozenset(item.vm for item in usable)
        if role not in self.rings or self.rings[role].nodes != names:
            self.rings[role] = Ring(names)

    def usable(self, role: str, now: float) -> list[EndpointView]:
        """Return the endpoints of a role that are not in backoff."""
        return [view for view in self.by_role.get(role, ()) if view.backoff_until <= now]

    def ring_of(self, role: str) -> Ring:
        """Return the consistent-hash ring of a role; empty if the role has no endpoints."""
        return self.rings.get(role) or Ring(())
