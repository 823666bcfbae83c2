"""Tests of the estimated size of the fleet."""

import pytest
from cowslippond_core._fleet_size import MAX_DAEMONS, FleetSize
from fakes import FakeClock

KNOWN = 20
ASSUMED = 24
DISCOVERY_MS = 2000


def make_size(clock: FakeClock) -> FleetSize:
    """Return the size of a fleet whose daemons started long ago."""
    size = FleetSize(clock, lambda: KNOWN)
    clock.advance(DISCOVERY_MS)
    return size


class TestFleetSize:
    def test_own_list_counts_without_reports(self) -> None:
        assert make_size(FakeClock(1000)).estimate() == KNOWN

    def test_largest_recent_report_counts(self) -> None:
        size = make_size(FakeClock(1000))
        for reported in (100, 313, 200, 0):
            size.record_report(reported)
        assert size.estimate() == 313

    def test_report_that_is_not_repeated_expires(self) -> None:
        """A count from before a loss of machines was used for ever."""
        clock = FakeClock(1000)
        size = make_size(clock)
        size.record_report(313)
        clock.advance(6000)
        assert size.estimate() == KNOWN
        size.record_report(25)
        assert size.estimate() == 25

    def test_a_starting_daemon_assumes_a_common_size(self) -> None:
        """Daemons that start together would each take the whole of a limit."""
        clock = FakeClock(1000)
        size = FleetSize(clock, lambda: 1)
        assert size.estimate() == ASSUMED
        size.record_report(2)
        assert size.estimate() == ASSUMED
        clock.advance(DISCOVERY_MS)
        assert size.estimate() == 2

    def test_a_settled_peer_ends_the_assumption(self) -> None:
        """A daemon that joined a fleet of three refused calls for 2 s."""
        size = FleetSize(FakeClock(1000), lambda: 1)
        size.record_report(3, is_settled=True)
        assert size.estimate() == 3
        assert size.is_settled()

    def test_joint_start_ends_with_the_first_settled_peer(self) -> None:
        """Owners of quotas need not wait for others that start with them."""
        size = FleetSize(FakeClock(1000), lambda: 1)
        assert not size.is_joint_start()
        size.record_report(2)
        assert size.is_joint_start()
        size.record_report(3, is_settled=True)
        size.record_report(4)
        assert not size.is_joint_start()

    def test_a_daemon_without_peers_assumes_none(self) -> None:
        size = FleetSize(FakeClock(1000), lambda: 1, has_peers=False)
        assert size.estimate() == 1

    @pytest.mark.parametrize('reported', [-1, 0, 10**12])
    def test_wrong_report_is_bounded(self, reported: int) -> None:
        size = make_size(FakeClock(1000))
        size.record_report(reported)
        assert KNOWN <= size.estimate() <= MAX_DAEMONS

    @pytest.mark.parametrize(
        ('reported', 'is_incomplete'), [(0, False), (20, False), (30, True)]
    )
    def test_list_is_incomplete_if_a_peer_knows_many_more(
        self, reported: int, is_incomplete: bool
    ) -> None:
        size = make_size(FakeClock(1000))
        assert size.is_incomplete(reported) == is_incomplete
