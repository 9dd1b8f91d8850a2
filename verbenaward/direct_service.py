"""Runs a role that reaches backends at their own addresses, as an aiomisc service."""

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
MOST_FAULTS = 10


class DirectRole(Protocol):
    """What a role can do."""

    async def start(self) -> None:
        """Listen and start all tasks."""
        ...

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Take settings that have changed, as far as that is possible without a restart."""
        ...

    async def drain(self) -> None:
        """Take nothing new and end what runs."""
        ...

    async def close(self) -> None:
        """End all tasks and connections."""
        ...


def build_role(settings: Settings, direct: DirectSettings) -> DirectRole:
    """Return the role that the settings name; only what it needs is imported."""
    if settings.role == "entry":
        from .direct.role import DirectEntryRole

        return DirectEntryRole(settings, direct)
    from .filling.role import FillingRole

    return FillingRole(settings, direct)


class DirectService(aiomisc.Service):
    """Runs one role until the process is told to end."""

    settings: Settings
    settings_file: Path

    async def start(self) -> None:
        """Start the role."""
        structlog.contextvars.bind_contextvars(vm=self.settings.vm)
        direct = self.settings.direct
        if direct is None:
            raise ValueError("the settings have no section for backends at their own addresses")
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.role = build_role(self.settings, direct)
        await self.role.start()
        LOG.info("daemon.started", role=self.settings.role, listen=self.settings.listen)

    def reload(self) -> None:
        """Read the settings again; with a fault in them, those that are in force stay so."""
        checked = load_settings(self.settings_file)
        settings = checked.value
        if settings is None or settings.direct is None:
            faults = [f"{fault.path}: {fault.message}" for fault in checked.faults]
            LOG.error("daemon.reload", outcome="unreadable", faults=faults[:MOST_FAULTS])
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
    """Run a daemon until it is told to end.

    Args:
      settings: Checked settings.
      settings_file: Where they came from; they are read again when they have changed.
      grace_seconds: Time between the order to stop and the end.
    """
    service = DirectService(settings=settings, settings_file=settings_file)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        shutdown_timeout=grace_seconds + CLEANUP_SECONDS,
    ) as loop:
        loop.run_forever()
