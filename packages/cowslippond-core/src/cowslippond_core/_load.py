"""What upstreams say about their load: 'no free slot', and late reports."""

from cowslippond_core._clock import Millis
from cowslippond_core._headers import LOAD_REPORT
from cowslippond_core._messages import HeaderList
from cowslippond_core._upstreams import Upstream

_FIRST_PAUSE: Millis = 3
_LONGEST_PAUSE: Millis = 200
_MOST_DOUBLINGS = 8
_REPORT = LOAD_REPORT.encode()
_IN_FLIGHT = b'named_metrics.in_flight'


def note_shed(upstream: Upstream, now: Millis) -> None:
    """Prefer other upstreams for a while after an answer of 'no free slot'.

    The pause doubles with each such answer in a row, so that an upstream that
    refuses everything is asked rarely.
    """
    doublings = min(upstream.load.sheds_in_row, _MOST_DOUBLINGS)
    upstream.load.sheds_in_row += 1
    upstream.load.full_until = now + min(
        _FIRST_PAUSE * 2**doublings, _LONGEST_PAUSE
    )


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
