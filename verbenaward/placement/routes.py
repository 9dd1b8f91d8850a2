"""Look-up tables for the route, the workspace and the service of a request."""

from dataclasses import dataclass, field

from ..data import Route, RoutingConfiguration, ServiceDeclaration, WorkspaceDeclaration
from .levels import Urgency, urgencies_by_service


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration with indexes for look-ups.

    Attributes:
      configuration: The configuration.
      routes: Routes by host and path prefix.
      workspaces: Workspaces by API key.
      services: Services by name.
      urgencies: Distinct urgencies of the requests for each service, in order.
    """

    configuration: RoutingConfiguration
    routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceDeclaration] = field(default_factory=dict)
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)
    urgencies: dict[str, tuple[Urgency, ...]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path; None if no route matches.

        Args:
          host: Host header of the request; a port in it is ignored.
          path: Raw path, without the query.
        """
        name = host.lower().partition(":")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self.routes.get((name, path[: end + 1]))
            if found is not None:
                return found
        return None


def route_table_of(configuration: RoutingConfiguration) -> RouteTable:
    """Build the look-up tables of a configuration."""
    return RouteTable(
        configuration,
        {(route.host, route.prefix): route for route in configuration.routes},
        {key: item for item in configuration.workspaces for key in item.keys},
        {service.name: service for service in configuration.services},
        urgencies_by_service(configuration),
    )
