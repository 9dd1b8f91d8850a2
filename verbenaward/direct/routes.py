"""Finds the route and the workspace of a request."""

from dataclasses import dataclass, field

from ..data import Route, RoutingConfiguration, ServiceDeclaration, WorkspaceDeclaration


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A configuration, arranged for look-ups.

    Attributes:
      configuration: The configuration.
      routes: Routes by host and prefix.
      workspaces: Workspaces by key.
      services: Services by name.
    """

    configuration: RoutingConfiguration
    routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceDeclaration] = field(default_factory=dict)
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Args:
          host: Host that the request names; a port behind it does not count.
          path: Raw path, without the query.
        """
        name = host.lower().partition(":")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self.routes.get((name, path[: end + 1]))
            if found is not None:
                return found
        return None


def table_of(configuration: RoutingConfiguration) -> RouteTable:
    """Return the table of a configuration."""
    return RouteTable(
        configuration,
        {(route.host, route.prefix): route for route in configuration.routes},
        {key: item for item in configuration.workspaces for key in item.keys},
        {service.name: service for service in configuration.services},
    )
