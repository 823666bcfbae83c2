"""Shares of workspaces over all daemons, in simulated time.

The load: 13 upstreams of two slots that serve about 150 calls a second, 18
daemons that see a few calls a second each.
"""

import statistics
from functools import cache

import pytest
from cowslippond_core import RefusalReason
from cowslippond_standins.model import Load
from fair_fleet import Callers, FairFleet

LOAD = Load(rate=1, seconds=12, objective=200, deadline=1200)
SEEDS = (1, 2)
USUAL = 11
OTHERS = tuple(f'workspace {number}' for number in range(9))
ALL = range(18)

# Which daemons the other workspaces and the heavy one are connected to.
SPREAD = (ALL, ALL)
APART = (range(4, 18), range(4))


@cache
def run_fleet(
    placement: tuple[range, range],
    factor: float,
    seed: int,
    gossip_ms: float | None = 900,
    usual: float = USUAL,
) -> FairFleet:
    callers = {name: Callers(usual, placement[0]) for name in OTHERS}
    callers['heavy'] = Callers(USUAL * factor, placement[1])
    return FairFleet(LOAD._replace(seed=seed), callers, gossip_ms).start()


def others_timely(
    placement: tuple[range, range],
    factor: float,
    gossip_ms: float | None = 900,
) -> float:
    return statistics.mean(
        run_fleet(placement, factor, seed, gossip_ms).share_of(*OTHERS)
        for seed in SEEDS
    )


class TestHeavyWorkspace:
    @pytest.mark.parametrize('placement', [SPREAD, APART])
    def test_it_takes_capacity_only_from_itself(
        self, placement: tuple[range, range]
    ) -> None:
        """Eight times its usual load cost the others a sixth of their calls.

        Most daemons have at most one waiting call, so an order within each
        daemon is not enough.
        """
        usual = others_timely(placement, 1)
        assert others_timely(placement, 8) >= usual - 0.02

    def test_without_gossip_each_daemon_decides_alone(self) -> None:
        """Shows what the shares over all daemons are for."""
        alone = others_timely(SPREAD, 8, None)
        assert alone < others_timely(SPREAD, 1) - 0.1

    @pytest.mark.parametrize('placement', [SPREAD, APART])
    def test_it_is_served_a_quarter_as_often_as_all(
        self, placement: tuple[range, range]
    ) -> None:
        for seed in SEEDS:
            fleet = run_fleet(placement, 8, seed)
            every = fleet.share_of(*OTHERS, 'heavy')
            assert fleet.share_of('heavy') >= every / 4

    def test_slots_that_others_leave_unused_are_not_kept_from_it(self) -> None:
        """With fixed shares, all were served 0.61 as often as without shares."""
        placement = (range(14, 18), range(14))
        for seed in SEEDS:
            kept = run_fleet(placement, 16, seed, usual=2)
            free = run_fleet(placement, 16, seed, None, usual=2)
            assert kept.timely.total() >= free.timely.total() * 0.7

    def test_its_refusals_have_their_own_reason(self) -> None:
        fleet = run_fleet(SPREAD, 8, 1)
        exceeded = RefusalReason.SHARE_EXCEEDED
        assert fleet.reasons['heavy'][exceeded] > 100
        assert all(not fleet.reasons[name][exceeded] for name in OTHERS)

    def test_few_rows_are_exchanged(self) -> None:
        for seed in SEEDS:
            assert run_fleet(SPREAD, 8, seed).most_rows <= 64
