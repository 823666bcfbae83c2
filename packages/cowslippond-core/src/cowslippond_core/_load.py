"""What upstreams say about their load: 'no free slot', and late reports."""

from cowslippond_core._clock import Millis
from cowslippond_core._document import UpstreamCapacity
from cowslippond_core._headers import LOAD_REPORT
from cowslippond_core._messages import CallRequest, HeaderList
from cowslippond_core._upstreams import Upstream

_ORDINARY_SHEDS = 24
_LONGEST_PAUSE: Millis = 200
_MOST_DOUBLINGS = 8
_MOST_WAITS = 6
_REPORT = LOAD_REPORT.encode()
_IN_FLIGHT = b'named_metrics.in_flight'


def note_shed(
    upstream: Upstream, capacity: UpstreamCapacity, now: Millis
) -> None:
    """Prefer other upstreams for a while after an answer of 'no free slot'.

    :param capacity: of the upstreams of the service.
    :param now: on the clock, in milliseconds.
    """
    upstream.load.sheds_in_row += 1
    _pause(upstream, capacity, now)


def note_chosen(
    upstream: Upstream, capacity: UpstreamCapacity, now: Millis
) -> None:
    """Let one call at a time find out whether a full upstream is free again.

    Without this all calls that wait for a slot would be sent to the upstream
    whose pause ends first.

    :param capacity: of the upstreams of the service.
    :param now: on the clock, in milliseconds.
    """
    if upstream.load.sheds_in_row > 0:
        _pause(upstream, capacity, now)


def note_room(upstream: Upstream) -> None:
    """End the pause after an answer, which freed a slot."""
    upstream.load.sheds_in_row = 0
    upstream.load.full_until = 0


def note_report(upstream: Upstream, headers: HeaderList, now: Millis) -> None:
    """Keep the upstream's own count of its running calls, if it sent one."""
    for name, text in headers:
        if name == _REPORT:
            _read_report(upstream, text, now)
            return


def _read_report(upstream: Upstream, text: bytes, now: Millis) -> None:
    for field in text.removeprefix(b'TEXT').split(b','):
        name, _, number = field.strip().partition(b'=')
        if name != _IN_FLIGHT:
            continue
        try:
            upstream.load.reported_in_flight = float(number)
        except ValueError:
            return
        upstream.load.reported_at = now


def wait_limit(
    capacity: UpstreamCapacity, request: CallRequest, now: Millis
) -> Millis:
    """Return until when a call waits for an upstream with a free slot.

    If the first one is longer away, every upstream has refused many calls in
    a row, and the call is given up at once.

    :param capacity: of the upstreams of the service.
    :param request: the call, which waits no longer than its deadline.
    :param now: on the clock, in milliseconds.
    """
    longest = now + _MOST_WAITS * _mean_wait(capacity)
    return min(longest, request.deadline)


def _mean_wait(capacity: UpstreamCapacity) -> Millis:
    return capacity.mean_service_ms / capacity.slots


def _pause(upstream: Upstream, capacity: UpstreamCapacity, now: Millis) -> None:
    """Leave an upstream alone for the mean time until a slot is free.

    The pause grows only after many refusals in a row, so that a busy upstream
    is asked again soon and one that refuses everything is asked rarely.
    """
    load = upstream.load
    doublings = max(load.sheds_in_row - _ORDINARY_SHEDS, 0)
    pause = _mean_wait(capacity) * 2 ** min(doublings, _MOST_DOUBLINGS)
    load.full_until = now + min(pause, _LONGEST_PAUSE)
