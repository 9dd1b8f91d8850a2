"""Which entry process an endpoint asks for a chunk."""

from ..membership.ring import rendezvous_order

RUN = 16
"""Chunks in order that the endpoints of a region ask the same entry process for."""


def run_name(model: str, version: int, index: int) -> str:
    """Return the name of the run of chunks that a chunk belongs to."""
    return f"{model}/{version}/{index // RUN}"


def holder_order(
    controls: dict[str, str], own_zone: str, regions: dict[str, str], key: str
) -> list[str]:
    """Return entry processes in the order in which an endpoint asks them for a chunk.

    Args:
      controls: Availability zone of each control address.
      own_zone: Zone of the endpoint.
      regions: Region of each zone.
      key: Name of the chunk.
    """

    def distance(control: str) -> int:
        zone = controls[control]
        if regions.get(zone) != regions.get(own_zone):
            return 2
        return int(zone != own_zone)

    return sorted(rendezvous_order(key, controls), key=distance)
