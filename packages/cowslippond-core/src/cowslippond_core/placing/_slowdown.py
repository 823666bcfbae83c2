"""Estimates how fast an upstream would serve one more call."""

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import LoadReading, Upstream

#: Up to this slowdown, an upstream counts as free and of usual speed, and
#: waiting for a better one is not worthwhile.
GOOD_SLOWDOWN = 1.3

#: Older load readings are ignored. Upstreams change speed about every 150 ms
#: and finish a call every 30 ms.
READING_MAX_AGE: Millis = 25

# An upstream slows down by this factor when more than this ratio of its slots
# is taken. Both values follow the platform's description of its VMs.
_CROWDED_RATIO = 0.8
_CROWDED_FACTOR = 1.7

# An upstream takes about twice as long until it has warmed up.
_COLD_FACTOR = 1.8

# An upstream that reports itself unhealthy is only used when all others are
# much slower.
_UNHEALTHY_FACTOR = 3.0

# A failed call costs the caller several times the service time of a successful
# one.
_FAILURE_COST = 10.0

#: A call that was granted up to this long before a probe was sent may not have
#: reached the upstream by the time it answered the probe.
GRANT_LAG: Millis = 4


def running_with_grants(upstream: Upstream, reading: LoadReading) -> int:
    """Return the calls at an upstream, including those in transit to it."""
    uncounted_since = reading.probed_at - GRANT_LAG
    uncounted = sum(
        1 for at in upstream.load_state.grant_times if at >= uncounted_since
    )
    return reading.running + reading.waiting + uncounted


def expected_slowdown(upstream: Upstream, now: Millis) -> float | None:
    """Return the expected service time of one more call, relative to usual.

    :param now: the clock time, in milliseconds.
    :return: a multiple of the usual service time, or ``None`` if the upstream
        is full or its load is not known.
    """
    reading = upstream.load_state.reading
    if reading is None or now - reading.received_at > READING_MAX_AGE:
        return None
    running = running_with_grants(upstream, reading)
    if running >= reading.slots:
        return None
    slowdown = 1.0
    if running and running + 1 > reading.slots * _CROWDED_RATIO:
        slowdown = _CROWDED_FACTOR
    if not reading.is_healthy:
        slowdown *= _UNHEALTHY_FACTOR
    return slowdown * reading.slowness * penalty(upstream, now)


def penalty(upstream: Upstream, now: Millis) -> float:
    """Return the slowdown factor for a cold start and recent failures.

    Only failures in excess of the service's failure baseline count: if all
    upstreams fail alike, waiting for a better one only costs time. The same
    holds if all are cold.
    """
    excess = upstream.failures.current_rate(now) - upstream.failures.baseline
    slowdown = 1 + _FAILURE_COST * max(excess, 0)
    if upstream.warmed_up_at > now and _has_warm_peers(upstream):
        slowdown *= _COLD_FACTOR
    return slowdown


def _has_warm_peers(upstream: Upstream) -> bool:
    warm_up = upstream.load_state.warm_up
    return warm_up is None or warm_up.has_warm_peers
