"""Limits this daemon's calls to an upstream that accepts only a certain rate."""

import math

from cowslippond_core._clock import Millis, seconds_of

# The bucket holds the calls of this many seconds, but at least one.
_BURST_SECONDS = 0.25

_MILLIS_PER_SECOND = 1000


class RateLimit:
    """A token bucket for the calls of this daemon to one upstream.

    It starts empty, since the limit also covers the calls sent just before.

    :param rate: the calls per second that the upstream accepts from all daemons.
    :param share: the calls per second that this daemon may send.
    :param now: the clock time, in milliseconds.
    :param expires_at: when the limit is forgotten unless it is heard of again.
    :param opens_at: no call is allowed before this time.
    """

    def __init__(
        self,
        rate: float,
        share: float,
        now: Millis,
        expires_at: Millis,
        opens_at: Millis = -math.inf,
    ) -> None:
        self.rate = rate
        self.share = share
        self.expires_at = expires_at
        self.opens_at = opens_at
        self.tokens: float = 0
        self.refilled_at = now

    def update(self, rate: float, share: float, now: Millis) -> None:
        """Change the rate and this daemon's share of it.

        Tokens are kept, unless the share is 0.
        """
        self._refill(now)
        self.rate = rate
        self.share = share
        if share <= 0:
            self.tokens = 0

    def available(self, now: Millis) -> float:
        """Return how many calls may be sent now, possibly a fraction."""
        self._refill(now)
        if now < self.opens_at:
            return min(self.tokens, 0)
        return self.tokens

    def take(self, now: Millis) -> None:
        """Count a call."""
        self._refill(now)
        self.tokens -= 1

    def wait(self, ahead: int, now: Millis) -> Millis:
        """Return the time until a call may be sent, in milliseconds.

        :param ahead: the number of calls that are sent before it.
        :return: infinity if this daemon has no share.
        """
        missing = ahead + 1 - self.available(now)
        if missing <= 0:
            return 0
        if self.share <= 0:
            return math.inf
        refill_time = missing / self.share * _MILLIS_PER_SECOND
        return max(refill_time, self.opens_at - now)

    def _refill(self, now: Millis) -> None:
        gained = seconds_of(max(now - self.refilled_at, 0)) * self.share
        capacity = max(self.share * _BURST_SECONDS, 1)
        self.tokens = min(self.tokens + gained, capacity)
        self.refilled_at = now
