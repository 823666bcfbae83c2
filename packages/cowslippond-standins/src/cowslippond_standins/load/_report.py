"""Outcomes and latencies of the calls of a run."""

import collections
from collections.abc import Iterable
from typing import Any, NamedTuple

from cowslippond_core import Millis
from hdrh.histogram import HdrHistogram

from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._connection import NO_CONNECTION, ReceivedAnswer
from cowslippond_standins.load._plan import PlannedCall
from cowslippond_standins.upstream._request import expected_body

_HIGHEST_MICROS = 120_000_000
_DIGITS = 3
_MICROS_PER_MILLI = 1000
_HTTP_OK = 200

PERCENTILES = (50, 90, 99, 99.9)


class CallRecord(NamedTuple):
    """The outcome of one call, as seen by its caller.

    ``outcome`` is the value of the ``x-outcome`` header, ``status_NNN``, or
    one of the outcomes that the load generator determines itself, such as
    ``answered`` or ``cut``. ``elapsed`` is measured from the intended start
    of the call, ``ended`` is a time of the clock. ``via`` is the address that
    the call was sent to.
    """

    call: PlannedCall
    outcome: str
    reason: str
    request_id: str
    elapsed: Millis
    ended: Millis
    via: str = ''


def classify_answer(call: PlannedCall, answer: ReceivedAnswer) -> str:
    """Return the outcome of a call with this answer."""
    if answer == NO_CONNECTION:
        return _outcomes.NOT_CONNECTED
    if not answer.is_complete:
        return _outcomes.CUT
    outcome = answer.headers.get('x-outcome', '')
    if outcome:
        return outcome
    if answer.status != _HTTP_OK:
        return f'status_{answer.status}'
    if answer.body != expected_body(call.nonce, call.size):
        return _outcomes.WRONG_ANSWER
    return _outcomes.ANSWERED


def histogram_of(durations: Iterable[Millis]) -> HdrHistogram:
    """Return a histogram in microseconds of durations in milliseconds."""
    histogram = HdrHistogram(1, _HIGHEST_MICROS, _DIGITS)
    for duration in durations:
        micros = max(int(duration * _MICROS_PER_MILLI), 1)
        histogram.record_value(min(micros, _HIGHEST_MICROS))
    return histogram


def percentiles_of(histogram: HdrHistogram) -> dict[str, Millis]:
    """Return the percentiles of a histogram in milliseconds, by name."""
    return {
        f'p{percent}': histogram.get_value_at_percentile(percent)
        / _MICROS_PER_MILLI
        for percent in PERCENTILES
    }


class Report:
    """Outcomes of all calls of a run."""

    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.late_starts: list[Millis] = []
        self.stray_bytes = 0
        self.connections = 0

    def add(self, record: CallRecord) -> None:
        """Add the record of one call."""
        self.records.append(record)
        self.outcomes[record.outcome] += 1
        if record.reason:
            self.reasons[record.reason] += 1

    def latency(self, outcome: str = _outcomes.ANSWERED) -> HdrHistogram:
        """Return the latency histogram of the calls with an outcome."""
        return histogram_of(
            record.elapsed
            for record in self.records
            if record.outcome == outcome
        )

    def summary(self) -> dict[str, Any]:
        """Return the statistics of the run, by name."""
        orders = [record for record in self.records if record.call.key]
        return {
            'calls': len(self.records),
            'outcomes': dict(self.outcomes),
            'reasons': dict(self.reasons),
            'latency_ms': percentiles_of(self.latency()),
            'late_start_ms': percentiles_of(histogram_of(self.late_starts)),
            'orders': len({record.call.key for record in orders}),
            'order_calls': len(orders),
            'stray_bytes': self.stray_bytes,
            'connections': self.connections,
        }
