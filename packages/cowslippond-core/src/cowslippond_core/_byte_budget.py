"""A rate limit for gossip traffic, in bytes per second."""

from cowslippond_core._clock import Clock, Millis, seconds_of


class ByteBudget:
    """A token bucket with one token per byte.

    :param clock: the clock by which tokens are added.
    :param rate: in bytes per second.
    :param capacity: the maximum number of unused bytes, the burst size.
    """

    def __init__(self, clock: Clock, rate: int, capacity: int) -> None:
        self.clock = clock
        self.rate = rate
        self.capacity = capacity
        self.tokens: float = capacity
        self.refilled_at: Millis = clock.now()

    def spend(self, size: int) -> None:
        """Remove tokens for bytes sent or received.

        The balance may become negative.
        """
        self._refill()
        self.tokens -= size

    def has_room(self) -> bool:
        """Return whether any tokens are left."""
        self._refill()
        return self.tokens > 0

    def _refill(self) -> None:
        now = self.clock.now()
        added = seconds_of(now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + added, self.capacity)
        self.refilled_at = now
