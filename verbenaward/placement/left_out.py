"""Registrations that are left out, as a later incarnation is registered at their address."""

from ..data import Backend


class LeftOutRegistrations:
    """Registrations that may replace the one for which they were left out, once it ends.

    The start time of an incarnation is a time of day, which may have jumped back since the last
    incarnation started at the address. The order in which the store took their registrations
    shows that.

    Attributes:
      by_identity: The backends that are left out, by identity.
    """

    def __init__(self) -> None:
        self.by_identity: dict[str, Backend] = {}

    def record(self, backend: Backend) -> None:
        """Record that the registration of a backend is left out."""
        self.by_identity[backend.identity] = backend

    def forget(self, identity: str) -> None:
        """Forget a registration that has changed or ended."""
        self.by_identity.pop(identity, None)

    def successor_of(self, ended: Backend) -> str | None:
        """Return the identity that registered last at the address of a backend that has ended.

        One that registered before it is no successor: its process had ended by then.
        """
        later = [
            backend
            for backend in self.by_identity.values()
            if backend.address == ended.address and backend.revision > ended.revision
        ]
        return max(later, key=lambda item: item.revision).identity if later else None
