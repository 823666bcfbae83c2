"""A bound on the bytes a second that gossip may take."""

from cowslippond_core._clock import Clock, Millis, seconds_of


class ByteBudget:
    """A token bucket that is filled with time and emptied with traffic.

    :param clock: the clock of the filling.
    :param rate: bytes a second.
    :param depth: the most bytes saved up.
    """

    def __init__(self, clock: Clock, rate: int, capacity: int) -> None:
        self.clock = clock
        self.rate = rate
        self.capacity = capacity
        self.tokens: float = capacity
        self.refilled_at: Millis = clock.now()

    def spend(self, size: int) -> None:
        """Take bytes that were sent or received."""
        self._refill()
        self.tokens -= size

    def has_room(self) -> bool:
        """Return whether anything is left to spend."""
        self._refill()
        return self.tokens > 0

    def _refill(self) -> None:
        now = self.clock.now()
        added = seconds_of(now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + added, self.capacity)
        self.refilled_at = now
