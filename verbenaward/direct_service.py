"""Runs a role that reaches backends at their own addresses, as an aiomisc service."""

import signal
from typing import Protocol

import aiomisc
import structlog

from .logs import get_logger
from .schema.settings import DirectSettings, Settings

LOG = get_logger(__name__)
CLEANUP_SECONDS = 1.0


class DirectRole(Protocol):
    """What a role can do."""

    async def start(self) -> None:
        """Listen and start all tasks."""
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

    async def start(self) -> None:
        """Start the role."""
        structlog.contextvars.bind_contextvars(vm=self.settings.vm)
        direct = self.settings.direct
        if direct is None:
            raise ValueError("the settings have no section for backends at their own addresses")
        self.loop.add_signal_handler(signal.SIGHUP, note_reload)
        self.role = build_role(self.settings, direct)
        await self.role.start()
        LOG.info("daemon.started", role=self.settings.role, listen=self.settings.listen)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain, then stop."""
        await self.role.drain()
        await self.role.close()
        LOG.info("daemon.stopped")


def note_reload() -> None:
    """Note that the settings have changed; what a process does with them stands at its start."""
    LOG.info("daemon.reload")


def run(settings: Settings, grace_seconds: float) -> None:
    """Run a daemon until it is told to end.

    Args:
      settings: Checked settings.
      grace_seconds: Time between the order to stop and the end.
    """
    service = DirectService(settings=settings)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        shutdown_timeout=grace_seconds + CLEANUP_SECONDS,
    ) as loop:
        loop.run_forever()
