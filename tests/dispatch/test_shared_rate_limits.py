"""Daemons share the rate limits that upstreams announce."""

import functools
import math
import random

import pytest
from cowslippond_core import SharedRateLimits, Upstream, Vm, VmState
from cowslippond_core._connections import Connections
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core.dispatch._shared_rate_limits import RATE_LIMIT_TABLE
from cowslippond_core.placing import LimitDivision
from fakes import FakeClock

# What the users allow in four seconds: 1.5 times the limit and five calls.
WINDOW_SECONDS = 4
MARGIN = 1.5
EXTRA_CALLS = 5


def make_divisions(count: int) -> list[LimitDivision]:
    addresses = [f'daemon-{index}:1' for index in range(count)]
    divisions = []
    for own in addresses:
        division = LimitDivision(own)
        division.update(others_of(own, addresses), count)
        divisions.append(division)
    return divisions


def make_upstream(clock: FakeClock, incarnation: str = '1') -> Upstream:
    vm = Vm('i-1', incarnation, 'north', VmState.LIVE, 's', '10.9.0.1:80')
    return Upstream(vm, Connections(vm.address, None, clock, 8))


def others_of(own: str, addresses: list[str]) -> list[str]:
    return [address for address in addresses if address != own]


class Daemons:
    """The shared limits of several daemons, with one upstream."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock(1000)
        self.upstreams = [make_upstream(self.clock) for _ in range(count)]
        addresses = [f'10.0.0.{index}:1' for index in range(count)]
        self.tables = [
            GossipTable(RATE_LIMIT_TABLE, self.clock) for _ in addresses
        ]
        self.limits = [
            SharedRateLimits(
                table,
                own,
                functools.partial(others_of, own, addresses),
                addresses.__len__,
                self.clock,
                random.Random(own),
            )
            for own, table in zip(addresses, self.tables, strict=True)
        ]
        self.update()

    def update(self) -> None:
        for limits, upstream in zip(self.limits, self.upstreams, strict=True):
            limits.update([upstream])

    def spread_rows(self) -> None:
        rows = [row for table in self.tables for row in table.rows()]
        for table in self.tables:
            for row in rows:
                table.merge(row)

    def limited_count(self) -> int:
        return sum(
            one.load_state.rate_limit is not None for one in self.upstreams
        )

    def send_all(self) -> int:
        """Send the calls that are allowed now and return their number."""
        sent = 0
        for upstream in self.upstreams:
            limit = upstream.load_state.rate_limit
            assert limit is not None
            while limit.available(self.clock.now()) >= 1:
                limit.take(self.clock.now())
                sent += 1
        return sent


class TestDivision:
    @pytest.mark.parametrize('daemons', [1, 6, 19, 144])
    @pytest.mark.parametrize('rate', [0, 0.4, 1.3, 10, 200])
    def test_shares_of_all_daemons_add_up_to_the_limit(
        self, daemons: int, rate: float
    ) -> None:
        shares = [
            division.share_of('upstream', rate)
            for division in make_divisions(daemons)
        ]
        assert sum(shares) == pytest.approx(rate)

    def test_daemon_with_an_incomplete_list_takes_a_smaller_share(self) -> None:
        """Daemons that started together each took the whole limit."""
        division = LimitDivision('10.0.0.1')
        division.update((), 24)
        assert division.share_of('upstream', 12) == pytest.approx(0.5)


class TestSharedLimits:
    @pytest.mark.parametrize('rate', [1, 1.9, 30])
    @pytest.mark.parametrize('daemons', [6, 19, 144])
    def test_calls_that_waited_at_all_daemons_do_not_exceed_the_limit(
        self, daemons: int, rate: float
    ) -> None:
        """Each daemon kept to the limit, and their sum exceeded it."""
        fleet = Daemons(daemons)
        fleet.limits[0].record_answer(fleet.upstreams[0], rate)
        fleet.spread_rows()
        sent = []
        for _ in range(120):
            fleet.clock.advance(100)
            sent.append(fleet.send_all())
        windows = [
            sum(sent[start : start + WINDOW_SECONDS * 10])
            for start in range(len(sent))
        ]
        assert max(windows) <= MARGIN * rate * WINDOW_SECONDS + EXTRA_CALLS
        assert sum(sent) >= rate * 12 * 0.7

    def test_limit_heard_by_one_daemon_binds_all(self) -> None:
        fleet = Daemons(6)
        fleet.limits[0].record_answer(fleet.upstreams[0], 2)
        fleet.spread_rows()
        assert fleet.limited_count() == 6

    def test_end_heard_by_one_daemon_frees_all(self) -> None:
        fleet = Daemons(6)
        fleet.limits[0].record_answer(fleet.upstreams[0], 2)
        fleet.spread_rows()
        fleet.limits[3].record_answer(fleet.upstreams[3], None)
        fleet.spread_rows()
        assert fleet.limited_count() == 0

    def test_unheard_limit_is_forgotten_by_a_few_daemons_at_a_time(
        self,
    ) -> None:
        """All daemons called the upstream again in the same instant."""
        fleet = Daemons(19)
        fleet.limits[0].record_answer(fleet.upstreams[0], 1)
        fleet.spread_rows()
        counts = []
        for _ in range(60):
            fleet.clock.advance(1000)
            fleet.update()
            counts.append(fleet.limited_count())
        drops = [before - after for before, after in zip(counts, counts[1:])]
        assert counts[10] == 19
        assert max(drops) <= EXTRA_CALLS
        assert counts[-1] == 0

    def test_new_start_of_an_upstream_does_not_inherit_the_limit(self) -> None:
        fleet = Daemons(2)
        fleet.limits[0].record_answer(fleet.upstreams[0], 2)
        fleet.upstreams[1] = make_upstream(fleet.clock, '2')
        fleet.update()
        fleet.spread_rows()
        assert fleet.upstreams[1].load_state.rate_limit is None

    @pytest.mark.parametrize('text', ['many', 'nan', '-1', 'inf'])
    def test_unreadable_row_of_a_peer_is_logged_and_ignored(
        self, text: str, caplog: pytest.LogCaptureFixture
    ) -> None:
        fleet = Daemons(1)
        fleet.tables[0].put('10.9.0.1:80 1', text, 5000)
        assert fleet.limited_count() == 0
        assert 'cannot parse a rate limit' in caplog.text

    def test_limit_of_nothing_allows_no_call(self) -> None:
        fleet = Daemons(3)
        fleet.limits[0].record_answer(fleet.upstreams[0], 0)
        fleet.spread_rows()
        fleet.clock.advance(10_000)
        assert fleet.send_all() == 0
        assert math.isfinite(
            fleet.upstreams[0].load_state.rate_limit.expires_at
        )
