"""Runs a role of the direct mode as an aiomisc service.

In direct mode entry processes send requests straight to the backends, and an endpoint
process only loads weights into the engine on its VM.
"""

import operator
from pathlib import Path
from typing import Protocol

import aiomisc

from .configuration.settings import load_settings
from .data import Fault
from .early_signals import HELD, RELOAD
from .garbage import begin_collection
from .logs import get_logger
from .schema.settings import DirectSettings, Settings
from .service_loop import run_service

LOG = get_logger(__name__)
CLEANUP_SECONDS = 1.0
"""Time for closing connections after the grace period."""
MAXIMUM_LOGGED_FAULTS = 10
"""Limit on the faults of a settings file in one log line."""
FIXED_SETTINGS = ("role", "vm", "listen", "platform")
"""Settings that are applied at the start only."""
FIXED_DIRECT_SETTINGS = ("front", "readiness", "directory", "engine", "memory_megabytes")
"""Settings in the section direct that are applied at the start only."""


class DirectRole(Protocol):
    """Interface of a role in direct mode."""

    async def start(self) -> None:
        """Open the listening sockets and start all tasks."""
        ...

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Apply changed settings, as far as that is possible without a restart."""
        ...

    async def drain(self) -> None:
        """Refuse new requests and wait for running ones."""
        ...

    async def close(self) -> None:
        """Cancel all tasks and close the connections."""
        ...


def build_role(settings: Settings, direct: DirectSettings) -> DirectRole:
    """Build the role that the settings name; only its modules are imported, to save memory."""
    if settings.role == "entry":
        from .direct.role import DirectEntryRole

        return DirectEntryRole(settings, direct)
    from .weight_loading.role import WeightLoadingRole

    return WeightLoadingRole(settings, direct)


class DirectService(aiomisc.Service):
    """Runs one role until a signal stops the process.

    Attributes:
      settings: Settings in force.
      settings_file: File that they were read from; SIGHUP makes the process read it again.
    """

    settings: Settings
    settings_file: Path

    async def start(self) -> None:
        """Start the role."""
        direct = self.settings.direct
        if direct is None:
            raise ValueError("the settings have no section 'direct'")
        self.loop.add_signal_handler(RELOAD, self.reload)
        self.role = build_role(self.settings, direct)
        begin_collection()
        await self.role.start()
        LOG.info("daemon.started", listen=self.settings.listen)
        if HELD.take(RELOAD):
            self.reload()

    def reload(self) -> None:
        """Read the settings file again; with an error in it the current settings stay in force."""
        checked = load_settings(self.settings_file)
        settings = checked.value
        if settings is None:
            log_unreadable(checked.faults)
            return
        if settings.direct is None:
            message = "is missing; this daemon runs in direct mode"
            log_unreadable((Fault(str(self.settings_file), "direct", message),))
            return
        changed = changed_fixed_settings(self.settings, settings)
        if changed:
            LOG.error("daemon.reload", outcome="needs a restart", changed=changed)
            return
        self.settings = settings
        self.role.reload(settings, settings.direct)
        LOG.info("daemon.reload", outcome="taken")

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain, then stop."""
        await self.role.drain()
        await self.role.close()
        LOG.info("daemon.stopped")


def changed_fixed_settings(current: Settings, new: Settings) -> list[str]:
    """Return the names of the settings that differ and are applied at the start only."""
    names = [*FIXED_SETTINGS, *(f"direct.{name}" for name in FIXED_DIRECT_SETTINGS)]
    values_of = operator.attrgetter(*names)
    pairs = zip(names, values_of(current), values_of(new), strict=True)
    return [name for name, before, after in pairs if before != after]


def log_unreadable(faults: tuple[Fault, ...]) -> None:
    """Log that a settings file has faults and was not applied."""
    texts = [f"{fault.path}: {fault.message}" for fault in faults[:MAXIMUM_LOGGED_FAULTS]]
    LOG.error("daemon.reload", outcome="unreadable", faults=texts)


def run(settings: Settings, settings_file: Path, grace_seconds: float) -> None:
    """Run a daemon until a signal stops it.

    Args:
      settings: Validated settings.
      settings_file: File that they were read from; SIGHUP makes the process read it again.
      grace_seconds: Time from the stop signal to the end of the process, in seconds.
    """
    service = DirectService(settings=settings, settings_file=settings_file)
    run_service(service, grace_seconds + CLEANUP_SECONDS, pool_size=1)
