"""The failure rate of an upstream, from the calls of all daemons."""

from collections import OrderedDict
from typing import NamedTuple

from cowslippond_core._clock import Millis

# Machine failures last for seconds. After a few half-lives, a recovered machine
# gets calls again.
_HALF_LIFE: Millis = 2000

# After three half-lives, a report has decayed to an eighth of its weight.
_REPORT_TTL = 3 * _HALF_LIFE

# Reports of peers weigh less than local counts: they are older, and the fault
# may lie in the network path between the peer and the upstream.
_REPORT_WEIGHT = 0.7

# The most daemons whose reports on an upstream are kept, so that memory does not
# grow with daemons times upstreams.
_MAX_REPORTERS = 32


class OutcomeCounts(NamedTuple):
    """Exponentially decayed counts of failed and successful calls."""

    failed: float = 0
    good: float = 0

    def decayed(self, elapsed: Millis) -> 'OutcomeCounts':
        """Return the counts decayed by the elapsed milliseconds."""
        factor = 0.5 ** (elapsed / _HALF_LIFE)
        return OutcomeCounts(self.failed * factor, self.good * factor)


_NO_OUTCOMES = OutcomeCounts()


class _PeerReport(NamedTuple):
    counts: OutcomeCounts
    received_at: Millis


class PeerReports:
    """The sum of the latest reports of other daemons.

    All counts decay at the same rate, so the sum is kept without the need to
    visit each report when it is read.
    """

    def __init__(self) -> None:
        self.by_reporter: OrderedDict[str, _PeerReport] = OrderedDict()
        self.sum = OutcomeCounts()
        self.summed_at: Millis = 0

    def receive(
        self, reporter: str, counts: OutcomeCounts, now: Millis
    ) -> None:
        """Store the counts of a daemon in place of its last report."""
        self._remove(reporter, now)
        self.by_reporter[reporter] = _PeerReport(counts, now)
        self._add(counts, now)
        while self._has_expired(now):
            self._remove(next(iter(self.by_reporter)), now)

    def total(self, now: Millis) -> OutcomeCounts:
        """Return the decayed sum of all reports."""
        if not self.by_reporter:
            return _NO_OUTCOMES
        return self.sum.decayed(now - self.summed_at)

    def _has_expired(self, now: Millis) -> bool:
        if len(self.by_reporter) > _MAX_REPORTERS:
            return True
        oldest = next(iter(self.by_reporter.values()))
        return now - oldest.received_at > _REPORT_TTL

    def _remove(self, reporter: str, now: Millis) -> None:
        report = self.by_reporter.pop(reporter, None)
        if report is None:
            return
        failed, good = report.counts.decayed(now - report.received_at)
        self._add(OutcomeCounts(-failed, -good), now)

    def _add(self, counts: OutcomeCounts, now: Millis) -> None:
        failed, good = self.sum.decayed(now - self.summed_at)
        self.sum = OutcomeCounts(
            max(failed + counts.failed, 0), max(good + counts.good, 0)
        )
        self.summed_at = now


class FailureRate:
    """The rate of recent calls on an upstream that failed.

    ``has_unreported`` is set when a local call ends and cleared when the
    counts are reported to peers. ``baseline`` is the failure rate that is
    usual among the upstreams of the service.
    """

    def __init__(self) -> None:
        self.recorded = OutcomeCounts()
        self.recorded_at: Millis = 0
        self.has_unreported = False
        self.baseline: float = 0
        self.peer_reports = PeerReports()

    def record(
        self, now: Millis, *, is_failure: bool, weight: float = 1
    ) -> None:
        """Count a call that has ended.

        :param now: on the clock, in milliseconds.
        :param is_failure: whether the call failed.
        :param weight: how much the call counts.
        """
        failed, good = self.local_counts(now)
        if is_failure:
            failed += weight
        else:
            good += weight
        self.recorded = OutcomeCounts(failed, good)
        self.recorded_at = now
        self.has_unreported = True

    def receive_report(
        self, reporter: str, counts: OutcomeCounts, now: Millis
    ) -> None:
        """Store the counts of another daemon in place of its last report.

        :param reporter: the daemon that sent the report.
        :param counts: its local counts.
        :param now: on the clock, in milliseconds.
        """
        self.peer_reports.receive(reporter, counts, now)

    def local_counts(self, now: Millis) -> OutcomeCounts:
        """Return the counts of this daemon's own calls."""
        return self.recorded.decayed(now - self.recorded_at)

    def current_rate(self, now: Millis) -> float:
        """Return the failure rate, which decays to 0 without new calls."""
        failed, good = self.local_counts(now)
        peer_counts = self.peer_reports.total(now)
        failed += peer_counts.failed * _REPORT_WEIGHT
        good += peer_counts.good * _REPORT_WEIGHT
        return failed / (failed + good + 1)
