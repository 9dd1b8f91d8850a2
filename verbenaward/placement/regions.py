"""Regions in which requests may be served, as routes and workspaces of the configuration allow."""

from collections.abc import Iterable, Mapping

from ..data import Route, RoutingConfiguration, WorkspaceDeclaration
from ..logs import get_logger

LOG = get_logger(__name__)


def allowed_regions(route: Route, workspace: WorkspaceDeclaration | None) -> frozenset[str] | None:
    """Return the regions in which a request may be served; None for any.

    Args:
      route: Route of the request.
      workspace: Workspace of its caller; None for none.

    Returns:
      Regions that both allow, possibly none at all.
    """
    named = [item.regions for item in (route, workspace) if item is not None and item.regions]
    return frozenset.intersection(*named) if named else None


def is_allowed(region: str, regions: frozenset[str] | None) -> bool:
    """Return True if a region is among the allowed ones; None allows any."""
    return regions is None or region in regions


def region_of(zone: str, regions: Mapping[str, str]) -> str:
    """Return the region of a zone; a zone that the settings lack counts as its own region."""
    return regions.get(zone, zone)


def regions_of_host(routes: Iterable[Route], host: str) -> frozenset[str]:
    """Return the regions in which the requests of a host may be served; empty for any.

    Args:
      routes: Routes in force.
      host: Name of the host; a port in it is ignored.

    Returns:
      Regions that all its routes with allowed regions have in common, else those of any of them.
    """
    name = host.lower().partition(":")[0]
    named = [route.regions for route in routes if route.host == name and route.regions]
    if not named:
        return frozenset()
    return frozenset.intersection(*named) or frozenset.union(*named)


class UnknownRegions:
    """Reports allowed regions that the settings do not have, once each.

    Attributes:
      known: Regions of the settings.
      reported: Regions of the last configuration that were reported.
    """

    def __init__(self) -> None:
        self.known: frozenset[str] = frozenset()
        self.reported: frozenset[str] = frozenset()

    def report(self, configuration: RoutingConfiguration) -> None:
        """Log the unknown regions of a configuration, without those of the one before."""
        named = frozenset[str]().union(
            *(route.regions for route in configuration.routes),
            *(workspace.regions for workspace in configuration.workspaces),
        )
        unknown = named - self.known
        for region in sorted(unknown - self.reported):
            LOG.warning("configuration.unknown-region", region=region)
        self.reported = unknown
