"""Settings of a daemon."""

from pathlib import Path

from ..data import Fault
from ..schema.settings import Settings
from .documents import Checked, read_document


def load_settings(path: Path) -> Checked[Settings]:
    """Read and check the settings of a daemon.

    Args:
      path: File of JSON with comments.

    Returns:
      The settings, or all faults that were found.
    """
    checked = read_document(path, "settings", Settings)
    if checked.value is None:
        return checked
    faults = settings_faults(str(path), checked.value)
    return Checked(None if faults else checked.value, faults)


def settings_faults(source: str, settings: Settings) -> tuple[Fault, ...]:
    """Return the faults that the schema cannot express."""
    faults = []
    if settings.role == "endpoint" and settings.endpoint is None:
        message = "is missing; the endpoint role needs it"
        faults.append(Fault(source, "endpoint", message, "name the role it serves and its backend"))
    if settings.role == "endpoint" and not settings.seeds:
        message = "is empty; an endpoint process finds the others through it"
        faults.append(Fault(source, "seeds", message, "give addresses of two or three entry VMs"))
    membership = settings.membership
    if membership.suspect_seconds < 2 * membership.heartbeat_seconds:
        message = "must be at least two heartbeat intervals"
        faults.append(Fault(source, "membership.suspect_seconds", message))
    if port_of(settings.listen) == 0:
        faults.append(Fault(source, "listen", "the port must not be 0"))
    return tuple(faults)


def host_of(address: str) -> str:
    """Return the host of an address."""
    return address.rpartition(":")[0]


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])
