"""Rate limit for load probes, shared by all daemons."""

from cowslippond_core._clock import Millis, seconds_of

# The fraction of the fleet's limit that is used, so that daemons that join or
# restart do not push the fleet above it.
_USED_RATIO = 0.7

# The initial tokens of a daemon: this many seconds' worth of its rate, up to an
# absolute maximum. A starting daemon does not know yet how many others there
# are, and all daemons may start together, when callers that could not connect
# come back all at once.
_INITIAL_SECONDS = 3
_MAX_INITIAL_PROBES = 40

# The bucket holds the tokens of this many seconds. Bursts of this size are
# acceptable because the limit applies to the mean over minutes.
_BURST_SECONDS = 20


class ProbeLimiter:
    """A token bucket for one daemon's load probes of one service.

    :param rate: the maximum probes per upstream per second, over all daemons.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens: float = 0
        self.refilled_at: Millis | None = None

    def acquire(
        self, wanted: int, upstreams: int, daemons: int, now: Millis
    ) -> int:
        """Take tokens for probes and return how many probes may be sent now.

        :param wanted: the number of probes to send.
        :param upstreams: the number of upstreams of the service.
        :param daemons: the number of daemons that share the limit.
        :param now: the clock time, in milliseconds.
        """
        own_rate = self.rate * _USED_RATIO * upstreams / max(daemons, 1)
        if self.refilled_at is None:
            self.tokens = min(own_rate * _INITIAL_SECONDS, _MAX_INITIAL_PROBES)
            self.refilled_at = now
        gained = seconds_of(now - self.refilled_at) * own_rate
        self.tokens = min(self.tokens + gained, own_rate * _BURST_SECONDS)
        self.refilled_at = now
        granted = min(wanted, int(self.tokens))
        self.tokens -= granted
        return granted
