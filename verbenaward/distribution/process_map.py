"""The other processes as the distribution of weights sees them: readers, neighbours, holders."""

from collections.abc import Callable
from dataclasses import dataclass

from .. import clock
from ..configuration.settings import host_of, port_of
from ..data import ServiceDeclaration
from ..membership.ring import rendezvous_order
from ..placement.fleet import Fleet
from ..schema.settings import Settings
from .chunk_events import DIGESTS_INDEX, ChunkKey
from .readers import ORIGIN_READERS, reader_order
from .version_reader import Neighbours


@dataclass(frozen=True, slots=True)
class EntryProcess:
    """An entry process.

    Attributes:
      control: Its control address.
      zone: Its availability zone.
      is_leaving: True once it has been told to stop.
    """

    control: str
    zone: str
    is_leaving: bool = False


class ProcessMap:
    """Where the processes are that read, relay or hold chunks.

    Attributes:
      settings: Settings of this process.
      fleet: Configuration and backends.
      entries: Returns all entry processes, this one and those that are starting included.
    """

    def __init__(
        self, settings: Settings, fleet: Fleet, entries: Callable[[float], list[EntryProcess]]
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.entries = entries

    def neighbours(self, model: str, version: int) -> Neighbours:
        """Return the processes that may hold chunks of a version."""
        order = self.reader_order(model, version)
        known = self.entries(clock.now())
        leaving = [item.control for item in known if item.is_leaving]
        readers = {*order[:ORIGIN_READERS], *leaving, self.settings.listen}
        others = [item for item in known if item.control not in readers]
        endpoints = [
            self.control_of(view.backend.address)
            for view in self.fleet.backends.values()
            if view.backend.weights is not None and self.is_in_own_region(view.backend.zone)
        ]
        return Neighbours(
            order,
            leaving,
            [item.control for item in others if self.is_in_own_region(item.zone)],
            [item.control for item in others if not self.is_in_own_region(item.zone)],
            endpoints,
        )

    def control_of(self, address: str) -> str:
        """Return the control address of the endpoint process on the VM of an engine.

        All processes of a deployment use the same control port.
        """
        return f"{host_of(address)}:{port_of(self.settings.listen)}"

    def region_of(self, zone: str) -> str | None:
        """Return the region of an availability zone; None if it is unknown."""
        direct = self.settings.direct
        assert direct is not None
        return direct.zones.get(zone)

    def is_in_own_region(self, zone: str) -> bool:
        """Return True if an availability zone is in the region of this process."""
        return self.region_of(zone) == self.region_of(self.settings.zone)

    def is_in_own_zone(self, control: str) -> bool:
        """Return True if an entry process is in the availability zone of this one."""
        zones = {item.control: item.zone for item in self.entries(clock.now())}
        return zones.get(control) == self.settings.zone

    def reader_order(self, model: str, version: int) -> list[str]:
        """Return the entry processes of the origin's region in the order of readers.

        This process alone, if none is known there.
        """
        origin = self.origin()
        region = self.region_of(origin.zone) if origin else None
        eligible = [
            item.control
            for item in self.entries(clock.now())
            if self.region_of(item.zone) == region and not item.is_leaving
        ]
        return reader_order(model, version, eligible) or [self.settings.listen]

    def is_reader(self, model: str, version: int) -> bool:
        """Return True if this process is one of the readers of a version."""
        return self.settings.listen in self.reader_order(model, version)[:ORIGIN_READERS]

    def endpoints_with(self, key: ChunkKey) -> tuple[list[str], list[str]]:
        """Return the endpoint processes whose engines hold a version, in the region and outside."""
        if key.index == DIGESTS_INDEX:
            return [], []
        near: list[str] = []
        far: list[str] = []
        for view in self.fleet.backends.values():
            if view.held_version(key.model) == key.version and not view.backend.is_leaving:
                is_near = self.is_in_own_region(view.backend.zone)
                (near if is_near else far).append(self.control_of(view.backend.address))
        name = f"{key.model}/{key.version}/{key.index}"
        return rendezvous_order(name, near), rendezvous_order(name, far)

    def origin(self) -> ServiceDeclaration | None:
        """Return the service that is the origin of weights; None if none is declared."""
        table = self.fleet.table
        if table is None:
            return None
        return next((item for item in table.configuration.services if item.origin), None)
