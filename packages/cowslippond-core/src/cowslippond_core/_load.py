"""Back-off for upstreams that refused a call for lack of a free slot."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import UpstreamCapacity
from cowslippond_core._upstreams import Upstream

_MAX_NORMAL_SLOT_INTERVALS = 12
_MIN_LONG_BACKOFF: Millis = 200
_LONG_BACKOFF_INTERVALS = 50
_MAX_WAIT_INTERVALS = 6


class SlotIntervals(NamedTuple):
    """Mean times until a slot of an upstream becomes free.

    ``slot_interval`` is the mean time until a busy upstream frees a slot.
    ``own_slot_interval`` is the mean time until it frees one that this process
    gets, given that all daemons compete for slots. Both are in milliseconds.
    """

    slot_interval: Millis
    own_slot_interval: Millis


def slot_intervals(capacity: UpstreamCapacity, daemons: int) -> SlotIntervals:
    """Return the mean times until a slot becomes free.

    :param capacity: capacity of each upstream of the service.
    :param daemons: number of daemons that share the upstreams.
    """
    slot_interval = capacity.mean_service_ms / capacity.slots
    return SlotIntervals(slot_interval, slot_interval * daemons)


def record_shed(
    upstream: Upstream, intervals: SlotIntervals, now: Millis
) -> None:
    """Back off from an upstream that had no free slot; others are preferred.

    :param intervals: the mean times until a slot becomes free.
    :param now: current clock time in milliseconds.
    """
    backoff = upstream.backoff
    if not backoff.is_full:
        backoff.is_full = True
        backoff.full_since = now
    _back_off(upstream, intervals, now)


def renew_backoff(
    upstream: Upstream, intervals: SlotIntervals, now: Millis
) -> None:
    """Extend the back-off of a full upstream when a call is sent to it.

    So only one call at a time probes whether it has a free slot again. Without
    this, all calls that wait for a slot would be sent to the upstream whose
    back-off ends first.

    :param intervals: the mean times until a slot becomes free.
    :param now: current clock time in milliseconds.
    """
    if upstream.backoff.is_full:
        _back_off(upstream, intervals, now)


def clear_backoff(upstream: Upstream) -> None:
    """End the back-off after an answer, which has freed a slot."""
    upstream.backoff.is_full = False
    upstream.backoff.retry_at = 0


def slot_wait_deadline(
    intervals: SlotIntervals, deadline: Millis, now: Millis
) -> Millis:
    """Return until when a call may wait for an upstream with a free slot.

    If the first back-off ends later than that, all upstreams refuse every
    call, and this call is refused at once.

    :param intervals: the mean times until a slot becomes free.
    :param deadline: deadline of the call, as clock time in milliseconds.
    :param now: current clock time in milliseconds.
    """
    return min(now + _MAX_WAIT_INTERVALS * intervals.slot_interval, deadline)


def _back_off(
    upstream: Upstream, intervals: SlotIntervals, now: Millis
) -> None:
    """Back off from an upstream for the mean time until a slot is free.

    The back-off is much longer for an upstream that has refused calls for so
    long that a lack of free slots cannot be the cause.
    """
    backoff = upstream.backoff
    duration = intervals.slot_interval
    if (
        now - backoff.full_since
        > _MAX_NORMAL_SLOT_INTERVALS * intervals.own_slot_interval
    ):
        duration = max(
            _MIN_LONG_BACKOFF, _LONG_BACKOFF_INTERVALS * intervals.slot_interval
        )
    backoff.retry_at = now + duration
