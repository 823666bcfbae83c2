"""The pauses of upstreams that said that they had no free slot."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import UpstreamCapacity
from cowslippond_core._upstreams import Upstream

_MAX_NORMAL_SLOT_INTERVALS = 12
_MIN_LONG_BACKOFF: Millis = 200
_LONG_BACKOFF_INTERVALS = 50
_MAX_WAIT_INTERVALS = 6


class SlotPace(NamedTuple):
    """How fast slots become free.

    ``wait`` is the mean time until a busy upstream frees a slot, ``turn`` the
    mean time until it frees one that falls to this process, both in
    milliseconds.
    """

    slot_interval: Millis
    own_slot_interval: Millis


def slot_pace(capacity: UpstreamCapacity, daemons: int) -> SlotPace:
    """Return how fast slots become free.

    :param capacity: of the upstreams of the service.
    :param daemons: how many daemons share them.
    """
    slot_interval = capacity.mean_service_ms / capacity.slots
    return SlotPace(slot_interval, slot_interval * daemons)


def record_shed(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Prefer other upstreams for a while after an answer of 'no free slot'.

    :param pace: how fast slots become free.
    :param now: on the clock, in milliseconds.
    """
    load = upstream.backoff
    if not load.is_full:
        load.is_full = True
        load.full_since = now
    _back_off(upstream, pace, now)


def renew_backoff(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Let one call at a time find out whether a full upstream is free again.

    Without this all calls that wait for a slot would be sent to the upstream
    whose pause ends first.

    :param pace: how fast slots become free.
    :param now: on the clock, in milliseconds.
    """
    if upstream.backoff.is_full:
        _back_off(upstream, pace, now)


def clear_backoff(upstream: Upstream) -> None:
    """End the pause after an answer, which freed a slot."""
    upstream.backoff.is_full = False
    upstream.backoff.retry_at = 0


def slot_wait_deadline(pace: SlotPace, deadline: Millis, now: Millis) -> Millis:
    """Return until when a call waits for an upstream with a free slot.

    If the first pause ends later, every upstream refuses everything, and the
    call is given up at once.

    :param pace: how fast slots become free.
    :param deadline: of the call, on the clock, in milliseconds.
    :param now: on the clock, in milliseconds.
    """
    return min(now + _MAX_WAIT_INTERVALS * pace.slot_interval, deadline)


def _back_off(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Leave an upstream alone for the mean time until a slot is free.

    A busy upstream is asked again that soon. One that has refused for so long
    that it can't be for want of a slot is asked rarely.
    """
    load = upstream.backoff
    backoff = pace.slot_interval
    if (
        now - load.full_since
        > _MAX_NORMAL_SLOT_INTERVALS * pace.own_slot_interval
    ):
        backoff = max(
            _MIN_LONG_BACKOFF, _LONG_BACKOFF_INTERVALS * pace.slot_interval
        )
    load.retry_at = now + backoff
