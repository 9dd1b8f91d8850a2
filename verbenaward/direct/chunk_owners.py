"""Which entry process fetches a chunk from the origin, and which others may hold it."""

from ..membership.ring import rendezvous_order
from .chunk_runs import chunk_run_name, entry_order

ORIGIN_READERS = 3
"""Processes that read a version from the origin. Each reads one chunk at a time, and what has
arrived of it is lost if the origin goes away, so they are few. With fewer, the link of each would
carry more of what the other regions fetch from it: with 3 of them and 3 regions, each receives 5
and sends up to 15 Mbit/s of an origin with 15 Mbit/s."""
UNREACHABLE_SECONDS = 2.0
"""Time after a failed request for which a process is passed over."""
WITHOUT_ORIGIN_SECONDS = 0.5
"""The same for an owner that has lost the origin. With its 0.3 s until it notices the return this
is well below `STEADY_SECONDS`, so that no backup owner reads what the owner is about to read."""


def owner_order(model: str, version: int, index: int, entries: list[str]) -> list[str]:
    """Return the entry processes in the order in which they own a chunk, the owner first.

    Consecutive chunks have different owners, and a version has `ORIGIN_READERS` of them.

    Args:
      model: Name of the model.
      version: Version of its weights.
      index: Index of the chunk.
      entries: Control addresses of the entry processes in the region of the origin.
    """
    return rendezvous_order(f"{model}/{version}/{index % ORIGIN_READERS}", entries)


def relays_of(
    model: str, version: int, index: int, controls: dict[str, str], regions: dict[str, str]
) -> list[str]:
    """Return the entry processes that the endpoints of each zone ask for a chunk.

    Args:
      model: Name of the model.
      version: Version of its weights.
      index: Index of the chunk.
      controls: Availability zone of each entry process, by its control address.
      regions: Region of each zone.
    """
    if not controls:
        return []
    run = chunk_run_name(model, version, index)
    zones = sorted(set(controls.values()))
    return list(dict.fromkeys(entry_order(controls, zone, regions, run)[0] for zone in zones))


class RecentFailures:
    """Processes that have failed recently, each remembered for a limited time.

    Attributes:
      retention_seconds: Time for which a failure is remembered.
      failed_at: When a process last failed, monotonic, by its control address.
    """

    def __init__(self, retention_seconds: float = UNREACHABLE_SECONDS) -> None:
        self.retention_seconds = retention_seconds
        self.failed_at: dict[str, float] = {}

    def record_failure(self, control: str, now: float) -> None:
        """Record that a process has failed."""
        self.failed_at[control] = now

    def first(self, order: list[str], now: float) -> str:
        """Drop expired failures, and return the first process without one, or else the first.

        Args:
          order: Processes in order of preference; at least one.
          now: Present time, monotonic, in seconds.
        """
        self.failed_at = {
            control: at
            for control, at in self.failed_at.items()
            if now - at < self.retention_seconds
        }
        return next((control for control in order if control not in self.failed_at), order[0])
