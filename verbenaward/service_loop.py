"""Runs the service of a process until a signal stops it."""

import asyncio
import signal
import sys

import aiomisc

from .early_signals import HELD, STOPS
from .logs import get_logger

LOG = get_logger(__name__)
EXIT_STOP_TOO_LONG = 70
"""Exit status, EX_SOFTWARE of sysexits.h, if the graceful stop does not end in time."""


def log_signal(received: signal.Signals) -> None:
    """Log a signal that the process got."""
    LOG.info("daemon.signal", signal=received.name)


def run_service(
    service: aiomisc.Service, stop_seconds: float, pool_size: int | None = None
) -> None:
    """Run a service until SIGINT or SIGTERM; further ones do not end its graceful stop.

    The library's own handlers are not used: it restores the former ones before the stop, and a
    second signal that comes before that ends the stop.

    Args:
      service: The service.
      stop_seconds: Longest time for its graceful stop; then the process ends.
      pool_size: Threads for blocking calls; None for the default of the library.

    Raises:
      SystemExit: The graceful stop took too long.
    """
    HELD.observe(log_signal)
    if HELD.take(*STOPS):
        return
    entrypoint = aiomisc.entrypoint(
        service, log_config=False, pool_size=pool_size, catch_signals=()
    )
    with entrypoint as loop:
        has_stopped = loop.run_until_complete(run_until_told(entrypoint, stop_seconds))
    if not has_stopped:
        LOG.error("daemon.stop-too-long", seconds=stop_seconds)
        sys.exit(EXIT_STOP_TOO_LONG)


async def run_until_told(entrypoint: aiomisc.entrypoint, stop_seconds: float) -> bool:
    """Wait for a signal to stop, then stop the services; False if that takes too long.

    Args:
      entrypoint: Runs the services; a signal that came while they started counts.
      stop_seconds: Longest time for the stop.
    """
    loop, received = asyncio.get_running_loop(), asyncio.Event()
    HELD.notify = lambda: loop.call_soon_threadsafe(received.set)
    try:
        while not HELD.take(*STOPS):
            await received.wait()
            received.clear()
    finally:
        HELD.notify = None
    try:
        async with asyncio.timeout(stop_seconds):
            await entrypoint.graceful_shutdown(RuntimeError("stopped by a signal"))
    except TimeoutError:
        return False
    return True
