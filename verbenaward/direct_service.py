"""Runs a role of the direct mode as an aiomisc service.

In direct mode entry processes send requests straight to the backends, and an endpoint
process only loads weights into the engine on its VM.
"""

import signal
from pathlib import Path
from typing import Protocol

import aiomisc
import structlog

from .configuration.settings import load_settings
from .logs import get_logger
from .schema.settings import DirectSettings, Settings

LOG = get_logger(__name__)
CLEANUP_SECONDS = 1.0
"""Time for closing connections after the grace period."""
MAXIMUM_LOGGED_FAULTS = 10
"""Limit on the faults of a settings file in one log line."""


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
        structlog.contextvars.bind_contextvars(vm=self.settings.vm)
        direct = self.settings.direct
        if direct is None:
            raise ValueError("the settings have no section 'direct'")
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.role = build_role(self.settings, direct)
        await self.role.start()
        LOG.info("daemon.started", role=self.settings.role, listen=self.settings.listen)

    def reload(self) -> None:
        """Read the settings file again; with an error in it the current settings stay in force."""
        checked = load_settings(self.settings_file)
        settings = checked.value
        if settings is None or settings.direct is None:
            faults = [f"{fault.path}: {fault.message}" for fault in checked.faults]
            LOG.error("daemon.reload", outcome="unreadable", faults=faults[:MAXIMUM_LOGGED_FAULTS])
            return
        fixed = (self.settings.role, self.settings.vm, self.settings.listen)
        if (settings.role, settings.vm, settings.listen) != fixed:
            LOG.error("daemon.reload", outcome="needs a restart")
            return
        self.settings = settings
        self.role.reload(settings, settings.direct)
        LOG.info("daemon.reload", outcome="taken")

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain, then stop."""
        await self.role.drain()
        await self.role.close()
        LOG.info("daemon.stopped")


def run(settings: Settings, settings_file: Path, grace_seconds: float) -> None:
    """Run a daemon until a signal stops it.

    Args:
      settings: Validated settings.
      settings_file: File that they were read from; SIGHUP makes the process read it again.
      grace_seconds: Time from the stop signal to the end of the process, in seconds.
    """
    service = DirectService(settings=settings, settings_file=settings_file)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        shutdown_timeout=grace_seconds + CLEANUP_SECONDS,
    ) as loop:
        loop.run_forever()
