"""Ejection of upstreams after consecutive failed calls."""

from collections.abc import Collection

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Upstream

_FAILURES_TO_EJECT = 3
_MIN_EJECTION: Millis = 500
_MAX_EJECTION: Millis = 20000
_MAX_DOUBLINGS = 8

#: The largest ratio of a service's upstreams that may be ejected at once.
MAX_EJECTED_RATIO = 0.4


def record_failure(
    upstream: Upstream,
    peers: Collection[Upstream],
    now: Millis,
) -> None:
    """Count a failed call, and eject the upstream after several in a row.

    The ejection time doubles with each ejection, up to a maximum. Afterwards
    the upstream is on probation: it gets one call at a time, and a single
    failure ejects it again.

    :param upstream: the upstream on which the call failed.
    :param peers: all upstreams of the service.
    :param now: on the clock, in milliseconds.
    """
    upstream.health.failures_in_row += 1
    should_eject = upstream.health.is_on_probation or (
        upstream.health.failures_in_row >= _FAILURES_TO_EJECT
    )
    if not should_eject or upstream.health.ejected_until > now:
        return
    ejected = sum(1 for peer in peers if peer.health.ejected_until > now)
    if ejected + 1 > len(peers) * MAX_EJECTED_RATIO:
        return
    doublings = min(upstream.health.ejections, _MAX_DOUBLINGS)
    duration = min(_MIN_EJECTION * 2**doublings, _MAX_EJECTION)
    upstream.health.ejections += 1
    upstream.health.is_on_probation = True
    upstream.health.ejected_until = now + duration


def record_success(upstream: Upstream) -> None:
    """Count a successful call, which ends probation."""
    upstream.health.failures_in_row = 0
    upstream.health.is_on_probation = False
    upstream.health.ejections = max(upstream.health.ejections - 1, 0)


def is_available(upstream: Upstream, now: Millis) -> bool:
    """Return whether ejection and probation allow a call to an upstream."""
    if upstream.health.ejected_until > now:
        return False
    return not upstream.health.is_on_probation or upstream.in_flight == 0
