"""Estimates the size of the fleet while its list of daemons is incomplete.

Daemons that start together learn of each other over some seconds. Limits that
they share need the number of daemons sooner than that, and one number is cheap
to exchange.
"""

import math
from collections.abc import Callable

from cowslippond_core._clock import Clock, Millis

#: The maximum number of daemons in a fleet.
MAX_DAEMONS = 2048

# How long a peer's count is used. Peers are asked several times a second, so
# the largest count is heard again within this time.
_REPORT_LIFETIME: Millis = 5000

# A list with fewer than this share of a peer's daemons is incomplete. In large
# fleets, complete lists differ by daemons that have just started or left.
_COMPLETE_SHARE = 0.99

# Daemons that start together know the size of the fleet after this time. Until
# then, each assumes that it is not smaller than a common deployment, unless a
# peer that has run for longer tells the size.
_DISCOVERY_TIME: Millis = 2000
_ASSUMED_DAEMONS = 24


class FleetSize:
    """The number of daemons that this daemon and its peers know.

    A peer reports the daemons in its own list, not the largest count that it
    was told, so a wrong count does not stay in the fleet.

    :param clock: determines how long a peer's count is used, and how long this
        daemon has run.
    :param count_known: returns the number of daemons in this daemon's list,
        including itself.
    :param has_peers: whether the settings name any other daemon. The first
        daemon of a fleet has none to discover.
    """

    def __init__(
        self,
        clock: Clock,
        count_known: Callable[[], int],
        *,
        has_peers: bool = True,
    ) -> None:
        self.clock = clock
        self.count_known = count_known
        self.reported = 0
        self.reported_at: Millis = -math.inf
        self.started_at = clock.now()
        self.settled_at = self.started_at
        if has_peers:
            self.settled_at += _DISCOVERY_TIME
        self.has_heard_peer = False
        self.has_heard_settled_peer = False

    def is_settled(self) -> bool:
        """Return whether this daemon has discovered the fleet."""
        return self.clock.now() >= self.settled_at

    def is_joint_start(self) -> bool:
        """Return whether all peers heard so far have just started as well."""
        return self.has_heard_peer and not self.has_heard_settled_peer

    def record_report(self, daemons: int, *, is_settled: bool = False) -> None:
        """Record how many daemons a peer has in its list.

        :param daemons: 0 if the peer did not report the number.
        :param is_settled: whether the peer has discovered the fleet; its number
            then replaces the assumed one.
        """
        self.has_heard_peer |= daemons > 0
        if is_settled and daemons > 0:
            self.has_heard_settled_peer = True
            self.settled_at = min(self.settled_at, self.clock.now())
        daemons = min(daemons, MAX_DAEMONS)
        if daemons < self._valid_report():
            return
        self.reported = daemons
        self.reported_at = self.clock.now()

    def estimate(self) -> int:
        """Return how many daemons share the fleet-wide bounds.

        It is the largest number known, or a common one while this daemon
        discovers the fleet.
        """
        daemons = self.largest_known()
        return daemons if self.is_settled() else max(daemons, _ASSUMED_DAEMONS)

    def largest_known(self) -> int:
        """Return the largest number that this daemon or a peer knows."""
        return max(self.count_known(), self._valid_report())

    def is_incomplete(self, daemons: int) -> bool:
        """Return whether a peer's list contains many more daemons.

        :param daemons: the number that the peer reported.
        """
        return self.count_known() < _COMPLETE_SHARE * min(daemons, MAX_DAEMONS)

    def _valid_report(self) -> int:
        is_recent = self.clock.now() - self.reported_at <= _REPORT_LIFETIME
        return self.reported if is_recent else 0
