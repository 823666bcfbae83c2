"""The pauses of upstreams that said that they had no free slot."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import UpstreamCapacity
from cowslippond_core._upstreams import Upstream

_ORDINARY_TURNS = 12
_LONG_PAUSE: Millis = 200
_LONG_PAUSE_WAITS = 50
_MOST_WAITS = 6


class SlotPace(NamedTuple):
    """How fast slots become free.

    ``wait`` is the mean time until a busy upstream frees a slot, ``turn`` the
    mean time until it frees one that falls to this process, both in
    milliseconds.
    """

    wait: Millis
    turn: Millis


def slot_pace(capacity: UpstreamCapacity, daemons: int) -> SlotPace:
    """Return how fast slots become free.

    :param capacity: of the upstreams of the service.
    :param daemons: how many daemons share them.
    """
    wait = capacity.mean_service_ms / capacity.slots
    return SlotPace(wait, wait * daemons)


def note_shed(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Prefer other upstreams for a while after an answer of 'no free slot'.

    :param pace: how fast slots become free.
    :param now: on the clock, in milliseconds.
    """
    load = upstream.backoff
    if not load.is_full:
        load.is_full = True
        load.full_since = now
    _pause(upstream, pace, now)


def note_chosen(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Let one call at a time find out whether a full upstream is free again.

    Without this all calls that wait for a slot would be sent to the upstream
    whose pause ends first.

    :param pace: how fast slots become free.
    :param now: on the clock, in milliseconds.
    """
    if upstream.backoff.is_full:
        _pause(upstream, pace, now)


def note_room(upstream: Upstream) -> None:
    """End the pause after an answer, which freed a slot."""
    upstream.backoff.is_full = False
    upstream.backoff.retry_at = 0


def wait_limit(pace: SlotPace, deadline: Millis, now: Millis) -> Millis:
    """Return until when a call waits for an upstream with a free slot.

    If the first pause ends later, every upstream refuses everything, and the
    call is given up at once.

    :param pace: how fast slots become free.
    :param deadline: of the call, on the clock, in milliseconds.
    :param now: on the clock, in milliseconds.
    """
    return min(now + _MOST_WAITS * pace.wait, deadline)


def _pause(upstream: Upstream, pace: SlotPace, now: Millis) -> None:
    """Leave an upstream alone for the mean time until a slot is free.

    A busy upstream is asked again that soon. One that has refused for so long
    that it can't be for want of a slot is asked rarely.
    """
    load = upstream.backoff
    pause = pace.wait
    if now - load.full_since > _ORDINARY_TURNS * pace.turn:
        pause = max(_LONG_PAUSE, _LONG_PAUSE_WAITS * pace.wait)
    load.retry_at = now + pause
