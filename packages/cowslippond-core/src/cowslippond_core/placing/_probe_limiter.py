"""The ration of load readings, which all daemons keep together."""

from cowslippond_core._clock import Millis, seconds_of

# The share of the fleet's bound that is spent, so that daemons which join or
# come back don't break it.
_USED_SHARE = 0.7

# What a daemon that starts may spend at once, in seconds of its part and in all:
# it doesn't know yet how many others there are, and all may start together, when
# callers who could not connect come back at once.
_FIRST_SECONDS = 3
_FIRST_READINGS = 40

# Readings saved up over this many seconds may be spent in a burst; the bound is
# on the mean over minutes.
_DEPTH_SECONDS = 20


class ProbeLimiter:
    """A token bucket for the readings of one service by one daemon.

    :param rate: the most readings of one upstream a second, over all daemons.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.level: float = 0
        self.filled_at: Millis | None = None

    def acquire(
        self, wanted: int, upstreams: int, daemons: int, now: Millis
    ) -> int:
        """Return how many readings may be taken now, and count them.

        :param wanted: how many are asked for.
        :param upstreams: how many upstreams the service has.
        :param daemons: how many daemons share the bound.
        :param now: on the clock, in milliseconds.
        """
        part = self.rate * _USED_SHARE * upstreams / max(daemons, 1)
        if self.filled_at is None:
            self.level = min(part * _FIRST_SECONDS, _FIRST_READINGS)
            self.filled_at = now
        gained = seconds_of(now - self.filled_at) * part
        self.level = min(self.level + gained, part * _DEPTH_SECONDS)
        self.filled_at = now
        taken = min(wanted, int(self.level))
        self.level -= taken
        return taken
