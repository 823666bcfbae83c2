"""Decides when a daemon reads the store for lack of other readers."""

import math
import zlib

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._lost_reports import decode_report, lost_reports_of
from cowslippond_core._membership import Membership
from cowslippond_core._reader_beacons import ReaderBeacons

# For how long a daemon relies on the last beacon, and the range of the
# additional time of each daemon. If a change is stored when all readers are
# lost, the last daemon reads it after the sum of both, which has to be well
# below the 2 s that a change may take to be in force.
_MAX_BEACON_AGE: Millis = 1200
_TAKEOVER_SPREAD: Millis = 400

# If this many daemons were refused since the last beacon, the store is down for
# all of them. Fewer may be partitioned from it while others are not.
_OUTAGE_REPORTS = 8

# How long a daemon that the store has refused leaves reading to others.
_REFUSAL_PAUSE: Millis = 1500

# When the reader that a daemon relied on turns out to have had no answers, the
# daemon takes over within this share of its additional time.
_DOUBT_SHARE = 0.25

# A starting daemon knows few peers, and may miss beacons.
_START_TIME: Millis = 3000

_DIGEST_BITS = 32
_DIGESTS = 1 << _DIGEST_BITS


class BeaconTakeover:
    """Decides by the beacons of readers whether this daemon has to read.

    :param beacons: the beacons that were heard.
    :param membership: the other daemons.
    :param lost_reports: which daemons cannot read the store.
    :param clock: measures the age of beacons.
    """

    def __init__(
        self,
        beacons: ReaderBeacons,
        membership: Membership,
        lost_reports: GossipTable,
        clock: Clock,
    ) -> None:
        self.beacons = beacons
        self.membership = membership
        self.lost_reports = lost_reports
        self.clock = clock
        self.started_at = clock.now()
        self.doubted_at: Millis = -math.inf
        lost_reports.listeners.append(self._receive_report)

    def is_possible(self) -> bool:
        """Return whether a lack of beacons shows that no daemon reads.

        That a few daemons are refused shows nothing of those that may replace
        them, which may be gone.
        """
        if self.clock.now() - self.started_at < _START_TIME:
            return False
        return self.beacons.is_in_use() and not self._is_store_down()

    def time_left(self) -> Millis:
        """Return the time until this daemon has to read, in milliseconds."""
        if not self.is_possible():
            return math.inf
        due_at = self.beacons.last_known_at() + _MAX_BEACON_AGE + self.delay()
        doubt_ends_at = self.doubted_at + self.delay() * _DOUBT_SHARE
        due_at = max(due_at, doubt_ends_at, self._paused_until())
        return max(due_at - self.clock.now(), 0)

    def delay(self) -> Millis:
        """Return how much later than others this daemon takes over."""
        return takeover_delay(
            self.membership.own.address,
            self.membership.count(),
            _TAKEOVER_SPREAD,
        )

    def is_relieved(self, since: Millis) -> bool:
        """Return whether another daemon has told since a time that it reads.

        :param since: in milliseconds.
        """
        return self.beacons.last_known_at() > since

    def is_needed(self, *, is_substitute: bool) -> bool:
        """Return whether this daemon has to read for lack of other readers.

        :param is_substitute: whether it already reads for that reason.
        """
        if is_substitute and self.clock.now() >= self._paused_until():
            return not self.beacons.is_outranked(_MAX_BEACON_AGE)
        return self.time_left() <= 0

    def _receive_report(self, row: GossipRow) -> None:
        """Disregard the beacons of a reader that had no answers meanwhile."""
        report = decode_report(row)
        if not report.missed:
            return
        now = self.clock.now()
        written_at = now - report.age
        if self.beacons.doubt(row.key, written_at - report.missed, written_at):
            self.doubted_at = now

    def _is_store_down(self) -> bool:
        """Return whether the store has refused many daemons and served none."""
        now = self.clock.now()
        refused = [
            address
            for address, report in lost_reports_of(self.lost_reports).items()
            if now - report.age > self.beacons.heard_at()
        ]
        return len(refused) >= _OUTAGE_REPORTS

    def _paused_until(self) -> Millis:
        """Return until when this daemon leaves reading to others.

        Beacons after its refusal show that the store can be read again.
        """
        own = self.membership.own.address
        report = lost_reports_of(self.lost_reports).get(own)
        if report is None:
            return -math.inf
        refused_at = self.clock.now() - report.age
        if refused_at <= self.beacons.heard_at():
            return -math.inf
        return refused_at + _REFUSAL_PAUSE


def takeover_delay(address: str, count: int, spread: Millis) -> Millis:
    """Return how much longer than others a daemon waits for readers.

    The number of daemons with a delay below a limit grows exponentially with
    the limit, so few begin at once in a group of any size.

    :param address: the peer address of the daemon.
    :param count: the number of daemons.
    :param spread: the longest delay, in milliseconds.
    """
    levels = math.log(count) + 1
    return spread * max(1 + math.log(address_fraction(address)) / levels, 0)


def address_fraction(address: str) -> float:
    """Return a number above 0, at most 1, that differs between addresses."""
    return (zlib.crc32(address.encode()) + 1) / _DIGESTS
