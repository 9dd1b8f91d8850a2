"""Which weights an engine should hold, and when it should load them."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..data import Backend

LAST_LOAD_SHARE = 0.9
"""Share of `version_seconds` within which the last engine begins to load a version."""
ASSUMED_STAGING_SHARE = 0.5
"""Share of `version_seconds` that staging is assumed to take if the link's rate is unknown."""
NEWER_STAGED_SHARE = 0.9
"""Share of `version_seconds` within which the last engine should have staged a newer version."""
BOTH_STAGED_SHARE = 0.55
"""If the newer version can still be staged within this share of its `version_seconds`, all engines
finish staging the older one first. The rest is for loading both: an engine is out of service for
a second or two each time, so all of them need some seconds to load one after the other."""

STALLED_SECONDS = 1.0
"""Time without a staged chunk after which the sources of a version count as unreachable."""
ASSUMED_LOAD_SECONDS = 1.0
"""Assumed time from the order to load until an engine serves: its running requests end first."""


def wanted_version(
    targets: dict[str, int], model: str, others: list[Backend], stored_version: int
) -> int:
    """Return the version of a model that an engine should hold; 0 if none is known.

    Args:
      targets: Target versions that the operator has set, by model.
      model: Name of the model.
      others: Backends of the service. If no target is set, the newest one they hold
        counts.
      stored_version: Newest version whose digests the store has, 0 for none. It counts if no
        backend holds any, as after a loss of power of all VMs.
    """
    if model in targets:
        return targets[model]
    held = [
        item.version for backend in others for item in backend.weights or () if item.model == model
    ]
    return max(held, default=stored_version)


def fetches_early(
    others: list[Backend], stored_versions: Mapping[str, int], is_first: bool
) -> bool:
    """Return True if a process that has started fetches before its engine has answered.

    Load: VMs that are added beside engines in service, and VMs that all start again after their
    engines have lost their weights. At the first start of all VMs the engines hold their weights,
    and a copy would leave the origin for nobody. Such a process finds no engine in service in the
    store at first, and digests later only once an engine is.

    Args:
      others: Registered backends of the service.
      stored_versions: Newest version by model whose digests the store has; 0 for none.
      is_first: True for the first content of the store that the process has read.
    """
    is_served = any(backend.weights for backend in others)
    is_stored = any(stored_versions.values())
    return is_served or is_stored if is_first else is_stored and not is_served


def load_order(zones: Mapping[str, str]) -> list[str]:
    """Return the addresses of engines in the order in which they load newer weights.

    Consecutive engines are in different availability zones, so that at any time each zone keeps
    most of its engines in service.

    Args:
      zones: Availability zone of each address.
    """
    by_zone: dict[str, list[str]] = {}
    for address in sorted(zones):
        by_zone.setdefault(zones[address], []).append(address)
    positions = [
        ((index + 0.5) / len(addresses), zone, address)
        for zone, addresses in by_zone.items()
        for index, address in enumerate(addresses)
    ]
    return [address for _, _, address in sorted(positions)]


def load_delay_seconds(address: str, zones: Mapping[str, str], window_seconds: float) -> float:
    """Return how long after the first engine of a service another one begins to load.

    An engine accepts no requests from the order to load until it has finished its running
    requests and loaded. The engines of a service begin one after the other over the window, so
    that they are not all out of service at once.

    Args:
      address: Address of the engine.
      zones: Availability zone of each engine of the service that serves, itself included.
      window_seconds: Time within which all of them begin.
    """
    order = load_order(zones)
    return window_seconds * order.index(address) / len(order)


@dataclass(frozen=True, slots=True)
class SupersededVersion:
    """A version that is still being staged when a newer one becomes the target.

    Attributes:
      staged_share: Share of its chunks that are staged, from 0 to 1.
      newer_set_after: Earliest time at which the newer version can have been set, monotonic.
      staging_seconds: Time to stage a whole version.
      version_seconds: Time after a target version is set from which no request may start on older
        weights.
      rank: Position of the engine in the load order of its service.
    """

    staged_share: float
    newer_set_after: float
    staging_seconds: float
    version_seconds: float
    rank: int


def continues_staging(superseded: SupersededVersion, now: float) -> bool:
    """Return True if an engine should still load a version that a newer one has superseded.

    If all engines gave it up, none would hold a version that may serve from the time at which the
    older one is required until the newer one is loaded. If both can be staged in time, all
    engines continue; otherwise every second one does. None does if the older version would be
    whole hardly earlier than the newer one: it would serve for less time than its load takes.

    Args:
      superseded: State of the staging when the newer version becomes known.
      now: Present time, monotonic, in seconds.
    """
    if superseded.staged_share * superseded.staging_seconds < ASSUMED_LOAD_SECONDS:
        return False
    remaining = (1.0 - superseded.staged_share) * superseded.staging_seconds
    newer_staged_at = now + remaining + superseded.staging_seconds
    in_time = superseded.newer_set_after + BOTH_STAGED_SHARE * superseded.version_seconds
    return newer_staged_at <= in_time or superseded.rank % 2 == 0


@dataclass(frozen=True, slots=True)
class StalledVersion:
    """A version whose chunks do not arrive, and the older one that was given up for it.

    Attributes:
      stalled_seconds: Time since the last chunk of the version was staged.
      older_remaining_seconds: Time to stage what is missing of the older version.
      required_from: Time from which the newer version is required, monotonic.
    """

    stalled_seconds: float
    older_remaining_seconds: float
    required_from: float


def returns_to_older(stalled: StalledVersion, now: float) -> bool:
    """Return True if an engine should load the version that it gave up for a newer one.

    While the newer one cannot be had, for example as the origin is down, the older one can still
    serve until the newer one is required.
    """
    if stalled.stalled_seconds < STALLED_SECONDS:
        return False
    serving_from = now + stalled.older_remaining_seconds + ASSUMED_LOAD_SECONDS
    return serving_from < stalled.required_from


@dataclass(frozen=True, slots=True)
class LoadSchedule:
    """Staged rollout of a version: when the first and the last engine of a service load it.

    Attributes:
      learned_at: When this process learned of the version, monotonic.
      set_after: Earliest time at which the version can have been set, monotonic.
      newer_set_after: The same for a newer version, which is staged after this one; None for
        none.
      staging_seconds: Time to stage a whole version; 0 if it is unknown.
      version_seconds: Time after a target version is set from which no request may start on older
        weights.
    """

    learned_at: float
    set_after: float
    newer_set_after: float | None
    staging_seconds: float
    version_seconds: float

    @property
    def first_load_at(self) -> float:
        """Return when the first engine begins to load: once staged, but not after the last one."""
        staging = self.staging_seconds or ASSUMED_STAGING_SHARE * self.version_seconds
        return min(self.learned_at + staging, self.last_load_at)

    @property
    def last_load_at(self) -> float:
        """Return when the last engine begins to load, unless a newer version needs it earlier."""
        return self.set_after + LAST_LOAD_SHARE * self.version_seconds

    @property
    def window_seconds(self) -> float:
        """Return the time between the first and the last engine that begins to load.

        It is shortened so that the last engine can still stage a newer version in time.
        """
        last_load_at = self.last_load_at
        if self.newer_set_after is not None:
            newer_due = self.newer_set_after + NEWER_STAGED_SHARE * self.version_seconds
            last_load_at = min(last_load_at, newer_due - self.staging_seconds)
        return max(0.0, last_load_at - self.first_load_at)
