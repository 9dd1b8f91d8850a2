"""Runs the service of a process until a signal stops it."""

import signal

import aiomisc

from .early_signals import HELD, STOPS
from .logs import get_logger

LOG = get_logger(__name__)


def log_signal(received: signal.Signals) -> None:
    """Log a signal that the process got in its start or in its stop."""
    LOG.info("daemon.signal", signal=received.name)


def run_service(
    service: aiomisc.Service, stop_seconds: float, pool_size: int | None = None
) -> None:
    """Run a service until SIGINT or SIGTERM; further ones do not end its graceful stop.

    Args:
      service: The service.
      stop_seconds: Longest time for its graceful stop; then the process ends.
      pool_size: Threads for blocking calls; None for the default of the library.
    """
    HELD.observe(log_signal)
    if HELD.take(*STOPS):
        return
    entrypoint = aiomisc.entrypoint(
        service, log_config=False, pool_size=pool_size, shutdown_timeout=stop_seconds
    )
    with entrypoint as loop:
        # A signal that came while the service started stops it now.
        if not HELD.take(*STOPS):
            loop.run_forever()
