"""The place that a forwarded stream has reached, and from which it can be resumed."""

from dataclasses import dataclass

from ..requests.event_stream import Received


@dataclass(slots=True)
class StreamPosition:
    """Progress of a caller's stream, over all attempts.

    Attributes:
      last_event_id: Id of the last event forwarded that sets one; empty if there is none, or if
        the last one has set an empty id.
      has_data: True once an event with data was forwarded.
    """

    last_event_id: str = ""
    has_data: bool = False

    @property
    def is_resumable(self) -> bool:
        """Return True unless a resumed stream would begin anew and bring the same events again."""
        return bool(self.last_event_id) or not self.has_data

    def advance(self, received: Received) -> int:
        """Record the events up to the first one that was forwarded before.

        Returns:
          The number of bytes that may be forwarded; less than were received if an event comes
          again.
        """
        for event in received.events:
            if event.event_id is not None:
                if comes_again(event.event_id, self.last_event_id):
                    return event.start
                self.last_event_id = event.event_id
            if event.data is not None:
                self.has_data = True
        return len(received.raw)


def comes_again(event_id: str, last_event_id: str) -> bool:
    """Return True if an event was forwarded before, as its id is not above the last one."""
    number, last_number = decimal_digits(event_id), decimal_digits(last_event_id)
    if not number or not last_number:
        return False
    return (len(number), number) <= (len(last_number), last_number)


def decimal_digits(event_id: str) -> str:
    """Return the digits of a decimal id without leading zeros; empty if it is something else."""
    digits = event_id.strip()
    if not (digits.isascii() and digits.isdecimal()):
        return ""
    return digits.lstrip("0") or "0"
