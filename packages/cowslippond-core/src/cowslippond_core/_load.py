"""What upstreams say about their load: 'no free slot', and late reports."""

from cowslippond_core._clock import Millis
from cowslippond_core._document import UpstreamCapacity
from cowslippond_core._headers import LOAD_REPORT
from cowslippond_core._messages import HeaderList
from cowslippond_core._upstreams import Upstream

_ORDINARY_SHEDS = 12
_LONGEST_PAUSE: Millis = 200
_MOST_DOUBLINGS = 8
_REPORT = LOAD_REPORT.encode()
_IN_FLIGHT = b'named_metrics.in_flight'


def note_shed(
    upstream: Upstream, capacity: UpstreamCapacity, now: Millis
) -> None:
    """Prefer other upstreams for a while after an answer of 'no free slot'.

    The pause is the mean time until a busy upstream frees a slot. It grows
    only after many such answers in a row, so that a busy upstream is asked
    again soon and one that refuses everything is asked rarely.

    :param capacity: of the upstreams of the service.
    :param now: on the clock, in milliseconds.
    """
    load = upstream.load
    load.sheds_in_row += 1
    doublings = max(load.sheds_in_row - _ORDINARY_SHEDS, 0)
    pause = capacity.mean_service_ms / capacity.slots
    pause *= 2 ** min(doublings, _MOST_DOUBLINGS)
    load.full_until = now + min(pause, _LONGEST_PAUSE)


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
