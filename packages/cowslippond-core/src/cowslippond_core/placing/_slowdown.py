"""How fast an upstream would serve one more call."""

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Reading, Upstream

#: A factor up to which an upstream is as good as any: free, of usual speed.
GOOD_SLOWDOWN = 1.3

#: The age up to which a reading counts, in milliseconds. Upstreams change speed
#: about every 150 ms and finish a call every 30 ms.
READING_MAX_AGE: Millis = 25

# Upstreams slow down by this factor when more than this share of their slots
# is taken; both as the users' platform describes its machines.
_CROWDED_SHARE = 0.8
_CROWDED_FACTOR = 1.7

# A cold upstream takes about twice as long.
_COLD_FACTOR = 1.8

# An upstream that calls itself ill is used when the others are far worse.
_ILL_FACTOR = 3.0

# A failed call costs the caller several times the work of a good one.
_FAILURE_COST = 10.0

# A call granted this long before a reading was asked for, in milliseconds, may
# not have reached the upstream when it answered.
_GRANT_LAG: Millis = 4


def running_with_grants(upstream: Upstream, reading: Reading) -> int:
    """Return the calls at an upstream, those under way to it included."""
    unseen_since = reading.asked_at - _GRANT_LAG
    unseen = sum(1 for at in upstream.seen.granted if at >= unseen_since)
    return reading.running + reading.waiting + unseen


def expected_slowdown(upstream: Upstream, now: Millis) -> float | None:
    """Return how many times as long as usual one more call would take.

    :param now: on the clock, in milliseconds.
    :return: ``None`` if the upstream is full or its load isn't known.
    """
    reading = upstream.seen.reading
    if reading is None or now - reading.read_at > READING_MAX_AGE:
        return None
    running = running_with_grants(upstream, reading)
    if running >= reading.slots:
        return None
    factor = 1.0
    if running and running + 1 > reading.slots * _CROWDED_SHARE:
        factor = _CROWDED_FACTOR
    if not reading.is_healthy:
        factor *= _ILL_FACTOR
    return factor * reading.slowness * penalty(upstream, now)


def penalty(upstream: Upstream, now: Millis) -> float:
    """Return by what a cold start and recent failures multiply the time.

    Failures count beyond those usual for the service: where all upstreams fail
    alike, waiting for a better one only costs time.
    """
    excess = upstream.failures.share(now) - upstream.failures.usual
    factor = 1 + _FAILURE_COST * max(excess, 0)
    if upstream.warm_at > now:
        factor *= _COLD_FACTOR
    return factor
