"""Loads and checks the settings of a daemon."""

from dataclasses import asdict
from pathlib import Path
from typing import Any

from ..data import Fault
from ..schema.settings import MembershipSettings, Settings
from .documents import Checked, object_at, read_document

MEMBERSHIP_DEFAULTS = asdict(MembershipSettings())


def load_settings(path: Path) -> Checked[Settings]:
    """Read and check the settings of a daemon.

    Args:
      path: Path of the file, JSON with comments allowed.

    Returns:
      The settings, or all faults that were found.
    """
    return read_document(path, "settings", Settings, settings_faults)


def settings_faults(source: str, value: Any) -> tuple[Fault, ...]:
    """Return the faults that the schema cannot express, in unchecked JSON."""
    if not isinstance(value, dict):
        return ()
    faults = []
    is_direct = isinstance(value.get("direct"), dict)
    if value.get("role") == "endpoint" and "endpoint" not in value and not is_direct:
        message = "is missing; it is required for the endpoint role"
        faults.append(Fault(source, "endpoint", message, "name the role it serves and its backend"))
    if value.get("role") == "endpoint" and not value.get("seeds") and not is_direct:
        message = "is empty; an endpoint process finds the entry processes through its seeds"
        faults.append(Fault(source, "seeds", message, "give addresses of two or three entry VMs"))
    membership = {**MEMBERSHIP_DEFAULTS, **object_at(value, "membership")}
    heartbeat, suspect = membership["heartbeat_seconds"], membership["suspect_seconds"]
    if is_number(heartbeat) and is_number(suspect) and suspect < 2 * heartbeat:
        message = "must be at least two heartbeat intervals"
        faults.append(Fault(source, "membership.suspect_seconds", message))
    if str(value.get("listen", "")).endswith(":0"):
        faults.append(Fault(source, "listen", "the port must not be 0"))
    return tuple(faults)


def is_number(value: Any) -> bool:
    """Return True for a JSON number; Python's bool is an int, but true and false are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def host_of(address: str) -> str:
    """Return the host of an address of the form host:port."""
    return address.rpartition(":")[0]


def port_of(address: str) -> int:
    """Return the port of an address of the form host:port."""
    return int(address.rpartition(":")[2])
