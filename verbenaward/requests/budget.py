"""Retry budget: retries may add only a fixed share of attempts."""

from dataclasses import dataclass

START_TOKENS = 10.0
MAXIMUM_TOKENS = 50.0
SPARE_TOKENS = 5.0


@dataclass(slots=True)
class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Attributes:
      ratio: Tokens that one first attempt earns.
      tokens: Tokens at hand.
    """

    ratio: float
    tokens: float = START_TOKENS

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + self.ratio)

    def has_room(self) -> bool:
        """Return True where there is a token and some to spare."""
        return self.tokens >= SPARE_TOKENS

    def spend(self) -> bool:
        """Take a token for a retry; False where there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
