"""A bound on the bytes a second that gossip may take."""

from cowslippond_core._clock import Clock, Millis, seconds_of


class ByteBudget:
    """A token bucket that is filled with time and emptied with traffic.

    :param clock: the clock of the filling.
    :param rate: bytes a second.
    :param depth: the most bytes saved up.
    """

    def __init__(self, clock: Clock, rate: int, depth: int) -> None:
        self.clock = clock
        self.rate = rate
        self.depth = depth
        self.level: float = depth
        self.filled_at: Millis = clock.now()

    def spend(self, size: int) -> None:
        """Take bytes that were sent or received."""
        self._fill()
        self.level -= size

    def has_room(self) -> bool:
        """Return whether anything is left to spend."""
        self._fill()
        return self.level > 0

    def _fill(self) -> None:
        now = self.clock.now()
        gained = seconds_of(now - self.filled_at) * self.rate
        self.level = min(self.level + gained, self.depth)
        self.filled_at = now
