"""A token bucket with tokens that can be returned."""

import math

from cowslippond_core._clock import Millis, seconds_of

_MILLIS_PER_SECOND = 1000


class TokenBucket:
    """Fills at a rate up to a capacity; times are in milliseconds.

    :param rate: tokens per second.
    :param capacity: the maximum number of tokens.
    :param tokens: the tokens at the start.
    :param now: the clock time.
    """

    def __init__(
        self, rate: float, capacity: float, tokens: float, now: Millis
    ) -> None:
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(tokens, capacity)
        self.refilled_at = now

    def update(self, rate: float, capacity: float, now: Millis) -> None:
        """Change the rate and the capacity; tokens above it are dropped."""
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def refill(self, now: Millis) -> None:
        """Add the tokens of the time since the last call."""
        gained = seconds_of(max(now - self.refilled_at, 0)) * self.rate
        self.tokens = min(self.tokens + gained, self.capacity)
        self.refilled_at = now

    def take(self, count: int) -> int:
        """Take up to a number of whole tokens and return how many."""
        taken = min(count, math.floor(self.tokens))
        self.tokens -= taken
        return taken

    def put_back(self, count: int) -> None:
        """Return tokens that were not used.

        The capacity applies, so the bucket never holds more than if the tokens
        had not been taken.
        """
        self.tokens = min(self.tokens + count, self.capacity)

    def wait(self, ahead: float) -> Millis:
        """Return the time until a token is available.

        :param ahead: the number of tokens that others will take before.
        """
        missing = max(1 + ahead - self.tokens, 0)
        if missing == 0:
            return 0
        if self.rate <= 0:
            return math.inf
        return missing / self.rate * _MILLIS_PER_SECOND
