"""The retries and hedges of all daemons together stay within the budget."""

import random

from cowslippond_core.dispatch._budget import FleetRetryBudget
from fakes import FakeClock

SHARE, FLOOR, WINDOW = 0.2, 62, 10_000
DAEMONS = 18


def fleet_of(clock: FakeClock) -> list[FleetRetryBudget]:
    fleet = [
        FleetRetryBudget(clock, SHARE, FLOOR, WINDOW) for _ in range(DAEMONS)
    ]
    for budget in fleet:
        budget.set_daemon_count(DAEMONS)
    return fleet


class TestFleetBudget:
    def test_every_sliding_window_is_within_budget_when_all_calls_fail(
        self,
    ) -> None:
        """A burst of failures after a time without any exceeded the budget."""
        clock = FakeClock(1_000_000)
        fleet = fleet_of(clock)
        rng = random.Random(5)
        calls: list[float] = []
        retries: list[float] = []
        for _ in range(6000):
            clock.advance(rng.expovariate(1 / 7))
            budget = rng.choice(fleet)
            budget.record_call()
            calls.append(clock.now())
            while budget.can_retry() and rng.randrange(10):
                budget.spend()
                retries.append(clock.now())
        for end in range(int(calls[0]) + WINDOW, int(calls[-1]), 500):
            first_sends = sum(end - WINDOW < at <= end for at in calls)
            retried = sum(end - WINDOW < at <= end for at in retries)
            assert retried <= SHARE * first_sends + FLOOR

    def test_hedges_leave_part_of_the_budget_to_retries(
        self,
    ) -> None:
        budget = FleetRetryBudget(FakeClock(1_000_000), SHARE, 0, WINDOW)
        for _ in range(200):
            budget.record_call()
        while budget.can_hedge():
            budget.spend()
        assert budget.can_retry()
