"""How many of the calls on an upstream fail, by evidence of all daemons."""

from typing import NamedTuple

from cowslippond_core._clock import Millis

# Failures of a machine last for seconds; after a few half-lives a recovered one
# is tried again.
_HALF_LIFE: Millis = 2000

# What others told longer ago has decayed to an eighth.
_REPORT_TTL = 3 * _HALF_LIFE

# What others told counts a little less than what was seen here: it is older,
# and a path between two machines may be at fault.
_REPORT_WEIGHT = 0.7


class OutcomeCounts(NamedTuple):
    """Ends of calls on an upstream, older ones counting less."""

    failed: float = 0
    good: float = 0

    def decayed(self, elapsed: Millis) -> 'OutcomeCounts':
        """Return what is left of it after a time in milliseconds."""
        factor = 0.5 ** (elapsed / _HALF_LIFE)
        return OutcomeCounts(self.failed * factor, self.good * factor)


class _PeerReport(NamedTuple):
    counts: OutcomeCounts
    received_at: Millis


class FailureRate:
    """The share of recent calls that failed.

    ``is_news`` tells that calls have ended here since it was last unset,
    ``usual`` is the share that is common at the upstreams of the service.
    """

    def __init__(self) -> None:
        self.recorded = OutcomeCounts()
        self.recorded_at: Millis = 0
        self.has_unreported = False
        self.baseline: float = 0
        self.peer_reports: dict[str, _PeerReport] = {}

    def record(
        self, now: Millis, *, is_failure: bool, weight: float = 1
    ) -> None:
        """Count the end of a call.

        :param now: on the clock, in milliseconds.
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
        """Take over what another daemon has seen, in place of what it told.

        :param now: on the clock, in milliseconds.
        """
        self.peer_reports[reporter] = _PeerReport(counts, now)
        for other, report in tuple(self.peer_reports.items()):
            if now - report.received_at > _REPORT_TTL:
                self.peer_reports.pop(other)

    def local_counts(self, now: Millis) -> OutcomeCounts:
        """Return what this daemon has seen."""
        return self.recorded.decayed(now - self.recorded_at)

    def rate(self, now: Millis) -> float:
        """Return the share, which falls to 0 while nothing is noted."""
        failed, good = self.local_counts(now)
        for report in self.peer_reports.values():
            peer_counts = report.counts.decayed(now - report.received_at)
            failed += peer_counts.failed * _REPORT_WEIGHT
            good += peer_counts.good * _REPORT_WEIGHT
        return failed / (failed + good + 1)
