"""Whether this process reaches the origin of weights, as its own requests show."""

LOST_SECONDS = 2.0
"""Time without any answer after which the origin counts as lost to this process."""
STEADY_SECONDS = 2.0
"""Time for which the origin has answered before this process reads from it in place of an owner. An
origin that was away for all is back for the owner earlier, which then reads the chunk itself."""
RECENT_SECONDS = 1.5
"""Age of the last answer up to which it shows that the origin is there now."""


class OriginReachability:
    """Answers of the origin to this process.

    Attributes:
      answered_at: When it last answered, monotonic; None for never.
      answering_since: When it first answered since it last did not, monotonic; None for never.
      silent_since: When it first did not answer since it last did, monotonic; None if it answers.
    """

    def __init__(self) -> None:
        self.answered_at: float | None = None
        self.answering_since: float | None = None
        self.silent_since: float | None = None

    def record_answer(self, now: float) -> None:
        """Record an answer of any status: the origin was reached."""
        self.answered_at = now
        self.silent_since = None
        if self.answering_since is None:
            self.answering_since = now

    def record_silence(self, now: float) -> None:
        """Record a request without an answer."""
        self.answering_since = None
        if self.silent_since is None:
            self.silent_since = now

    def is_lost(self, now: float) -> bool:
        """Return True if the origin has not answered this process for `LOST_SECONDS`."""
        return self.silent_since is not None and now - self.silent_since >= LOST_SECONDS

    def is_steady(self, now: float) -> bool:
        """Return True if the origin has answered for `STEADY_SECONDS`, up to now."""
        return (
            self.answering_since is not None
            and self.answered_at is not None
            and now - self.answering_since >= STEADY_SECONDS
            and now - self.answered_at <= RECENT_SECONDS
        )
