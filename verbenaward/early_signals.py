"""Handles the signals of a process while nothing else does: in its start, and in its stop.

The library that runs the services handles SIGINT and SIGTERM from the end of the start to the
first of them. Before and after that it leaves the handlers of this module in place, as the default
actions end the process with everything that it is answering. Nothing slow is imported here.
"""

import signal
from collections.abc import Callable
from types import FrameType

RELOAD = signal.SIGHUP
STOPS = (signal.SIGINT, signal.SIGTERM)

Observer = Callable[[signal.Signals], None]


class HeldSignals:
    """Signals that were received and not yet handled.

    Attributes:
      received: These signals, oldest first.
      observer: Called with each of them, for its log line; None while there is no log.
    """

    def __init__(self) -> None:
        self.received: list[signal.Signals] = []
        self.observer: Observer | None = None

    def record(self, number: int, _: FrameType | None = None) -> None:
        """Record a signal; the handler of all signals that are held."""
        received = signal.Signals(number)
        self.received.append(received)
        if self.observer is not None:
            self.observer(received)

    def observe(self, observer: Observer) -> None:
        """Call an observer with the signals so far and with each one from now on."""
        for received in self.received:
            observer(received)
        self.observer = observer

    def take(self, *wanted: signal.Signals) -> bool:
        """Return True if one of some signals was held since the last call."""
        was_held = any(item in wanted for item in self.received)
        self.received = [item for item in self.received if item not in wanted]
        return was_held


HELD = HeldSignals()


def hold_signals() -> None:
    """Record each signal to reload or to stop from now on, in place of its default action."""
    for number in (RELOAD, *STOPS):
        signal.signal(number, HELD.record)
