"""Handles the signals of a process from its first step to its end.

SIGINT and SIGTERM are recorded here all the time, SIGHUP until a role handles it. The default
actions would end the process with everything that it is answering, also in its graceful stop.
Nothing slow is imported here.
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
      notify: Called after each of them, while something waits for one.
    """

    def __init__(self) -> None:
        self.received: list[signal.Signals] = []
        self.observer: Observer | None = None
        self.notify: Callable[[], object] | None = None

    def record(self, number: int, _: FrameType | None = None) -> None:
        """Record a signal; the handler of all signals that are held."""
        received = signal.Signals(number)
        self.received.append(received)
        if self.observer is not None:
            self.observer(received)
        if self.notify is not None:
            self.notify()

    def observe(self, observer: Observer) -> None:
        """Call an observer with the signals so far and with each one from now on."""
        for received in self.received:
            observer(received)
        self.observer = observer

    def take(self, *wanted: signal.Signals) -> bool:
        """Return True if one of some signals was held since the last call."""
        # Signals that come meanwhile are appended, and must not be lost.
        found = [item for item in self.received if item in wanted]
        for item in found:
            self.received.remove(item)
        return bool(found)


HELD = HeldSignals()


def hold_signals() -> None:
    """Record each signal to reload or to stop from now on, in place of its default action."""
    for number in (RELOAD, *STOPS):
        signal.signal(number, HELD.record)
