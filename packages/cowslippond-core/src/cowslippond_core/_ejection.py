"""Which upstreams are out for a while because calls on them fail."""

from collections.abc import Collection

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Upstream

_FAILURES_TO_EJECT = 3
_FIRST_EJECTION: Millis = 500
_LONGEST_EJECTION: Millis = 20000
_MOST_DOUBLINGS = 8

#: The largest share of a service's upstreams that may be out.
MAX_EJECTED_SHARE = 0.4


def note_failure(
    upstream: Upstream,
    peers: Collection[Upstream],
    now: Millis,
) -> None:
    """Count a failed call, and eject the upstream after several in a row.

    The time out doubles with each ejection. An upstream that comes back is on
    probation: it gets one call at a time, and one failure ejects it again.

    :param peers: all upstreams of the service.
    :param now: on the clock, in milliseconds.
    """
    upstream.health.failures_in_row += 1
    is_due = upstream.health.is_on_probation or (
        upstream.health.failures_in_row >= _FAILURES_TO_EJECT
    )
    if not is_due or upstream.health.ejected_until > now:
        return
    out = sum(1 for peer in peers if peer.health.ejected_until > now)
    if out + 1 > len(peers) * MAX_EJECTED_SHARE:
        return
    doublings = min(upstream.health.ejections, _MOST_DOUBLINGS)
    span = min(_FIRST_EJECTION * 2**doublings, _LONGEST_EJECTION)
    upstream.health.ejections += 1
    upstream.health.is_on_probation = True
    upstream.health.ejected_until = now + span


def note_success(upstream: Upstream) -> None:
    """Count a good answer, which ends probation."""
    upstream.health.failures_in_row = 0
    upstream.health.is_on_probation = False
    upstream.health.ejections = max(upstream.health.ejections - 1, 0)


def is_available(upstream: Upstream, now: Millis) -> bool:
    """Tell whether an upstream may get a call, as far as failures go."""
    if upstream.health.ejected_until > now:
        return False
    return not upstream.health.is_on_probation or upstream.in_flight == 0
