"""Retry budget: limits retries to a fixed share of the first attempts."""

from dataclasses import dataclass

INITIAL_TOKENS = 10.0
"""Tokens at the start, so that the first requests can be retried."""
MAXIMUM_TOKENS = 50.0
"""Upper limit of the saved tokens, which bounds a burst of retries."""
RESERVE_TOKENS = 5.0
"""Tokens that must be available before an endpoint may refuse instead of queueing."""


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Attributes:
      ratio: Tokens that a first attempt adds.
      tokens: Available tokens.
    """

    ratio: float
    tokens: float = INITIAL_TOKENS

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + self.ratio)

    def take_in_advance(self) -> bool:
        """Take a token for a retry that may follow; return False if only the reserve is left."""
        if self.tokens < RESERVE_TOKENS:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return a token that was taken in advance and is not needed."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + 1.0)

    def spend(self) -> bool:
        """Take a token for a retry; return False if none is available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
