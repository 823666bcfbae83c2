"""The load reports of an upstream, which can be delayed or wrong."""

import collections
import statistics

from cowslippond_core import Clock, Millis
from cowslippond_core import _headers as headers

from cowslippond_standins._asgi import Answer, Headers, json_answer
from cowslippond_standins._history import History
from cowslippond_standins.upstream._behaviour import Behaviour, LoadReport
from cowslippond_standins.upstream._slots import Slots

_RATE_WINDOW: Millis = 1000
_MAX_DURATIONS = 16


class LoadMeter:
    """Measures and reports the load of one upstream."""

    def __init__(
        self, clock: Clock, behaviour: Behaviour, slots: Slots
    ) -> None:
        self.clock = clock
        self.behaviour = behaviour
        self.slots = slots
        self.history = History[int](0)
        self.window_start = clock.now()
        self.window_calls = 0
        self.rate: float = 0
        self.durations: collections.deque[Millis] = collections.deque(
            maxlen=_MAX_DURATIONS
        )

    def record_in_flight(self) -> None:
        """Record the calls in flight, if reports are delayed."""
        if self.behaviour.faults.report_lag_ms > 0:
            self.history.write(self.clock.now(), self.slots.in_flight())

    def record_duration(self, duration: Millis) -> None:
        """Record the processing time of a call."""
        self.durations.append(duration)

    def count_call(self) -> None:
        """Count a call that starts, for the rate of calls per second."""
        now = self.clock.now()
        self.window_calls += 1
        if now - self.window_start >= _RATE_WINDOW:
            self.rate = (
                self.window_calls / (now - self.window_start) * _RATE_WINDOW
            )
            self.window_start = now
            self.window_calls = 0

    def report(self) -> Headers:
        """Return the load report header; empty if reports are off."""
        if self.behaviour.faults.load_report == LoadReport.OFF:
            return ()
        in_flight = self._reported_in_flight()
        text = (
            f'TEXT named_metrics.in_flight={in_flight}, '
            f'rps_fractional={self.rate:.1f}'
        )
        return ((headers.LOAD_REPORT.encode(), text.encode()),)

    def probe_answer(self) -> Answer:
        """Return the answer to a probe."""
        load = {
            'in_flight': self._reported_in_flight(),
            'latency_ms': self._median_latency(),
        }
        answer = json_answer(load)
        return answer._replace(headers=(*answer.headers, *self.report()))

    def _median_latency(self) -> Millis:
        return statistics.median(self.durations) if self.durations else 0

    def _reported_in_flight(self) -> int:
        if self.behaviour.faults.load_report == LoadReport.WRONG:
            return self.behaviour.faults.report_wrong
        if self.behaviour.faults.report_lag_ms > 0:
            reported_at = self.clock.now() - self.behaviour.faults.report_lag_ms
            return self.history.read(reported_at)
        return self.slots.in_flight()
