"""What a daemon knows of the warm-up of one upstream.

Only services whose configuration limits the calls to cold upstreams have it.
"""

import math
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._rate_limit import RateLimit

#: How long an upstream counts as warm after it has said so. Calls that are sent
#: on older knowledge could add up over all daemons once it turns cold.
WARMTH_MAX_AGE: Millis = 100

#: The same while the probe limit is exhausted. Peers pass on within this time
#: that an upstream has turned cold.
UNPROBED_WARMTH_MAX_AGE: Millis = 400


class WarmUpPolicy(NamedTuple):
    """How a service's upstreams warm up.

    ``rate`` is how many calls per second a cold one tolerates from all daemons,
    ``duration`` how long it usually stays cold, in milliseconds.
    """

    rate: float
    duration: Millis


class WarmUp:
    """The warm-up of one upstream.

    ``cold_until`` is when it ends and ``ended_at`` when it ended, both on the
    clock. While ``is_presumed`` is set, the upstream itself has not told this
    daemon that it is cold; ``presumed_at`` is when another source last said so.
    ``told_at`` is when the last reading that said something was requested, and
    ``warm_at`` the same for the last one by which it was warm. ``limit`` holds from
    the begin of a warm-up until calls have returned to their usual rate.
    ``listed_at`` is the date of the entry that has been applied.
    ``has_warm_peers`` tells whether other upstreams of the service are warm.

    :param policy: how the service's upstreams warm up.
    """

    def __init__(self, policy: WarmUpPolicy) -> None:
        self.policy = policy
        self.cold_until: Millis = -math.inf
        self.ended_at: Millis = -math.inf
        self.is_presumed = False
        self.presumed_at: Millis = -math.inf
        self.told_at: Millis = -math.inf
        self.warm_at: Millis = -math.inf
        self.limit: RateLimit | None = None
        self.listed_at: Millis | None = None
        self.has_warm_peers = True

    def is_cold(self, now: Millis) -> bool:
        """Tell whether the upstream is, or may be, cold."""
        return self.cold_until > now

    def wait(self, ahead: int, now: Millis) -> Millis:
        """Return how long the warm-up delays a call, in milliseconds.

        An upstream that is only presumed to be cold delays none, as it has to
        be asked.

        :param ahead: the number of calls that are sent before it.
        :return: infinity if this daemon has no share of the rate.
        """
        if self.limit is None or self.is_presumed:
            return 0
        return self.limit.wait(ahead, now)

    def admits(self, now: Millis, max_age: Millis) -> bool:
        """Tell whether a call may be sent now.

        :param max_age: for how long what a warm upstream has said is valid.
        """
        if self.limit is not None and self.limit.wait(0, now) > 0:
            return False
        return self.is_cold(now) or now - self.warm_at <= max_age
