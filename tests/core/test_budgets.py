"""Tests for the budgets of retries and hedges."""

import pytest
from cowslippond_core import BudgetSettings, RatioBudget, is_first_attempt
from fakes import FakeClock

LEVELS = 8
CALLS = 2000


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(1000)


class TestRatioBudget:
    def test_allows_a_ratio_of_first_sends(self, clock: FakeClock) -> None:
        budget = RatioBudget(clock, BudgetSettings(0.1, floor=0))
        spent = 0
        for _ in range(1000):
            budget.record_send()
            if budget.can_spend():
                budget.spend()
                spent += 1
        assert spent == 100

    def test_floor_allows_retries_with_few_calls(
        self, clock: FakeClock
    ) -> None:
        budget = RatioBudget(clock, BudgetSettings(0.1, floor=2))
        budget.record_send()
        for _ in range(2):
            assert budget.can_spend()
            budget.spend()
        assert not budget.can_spend()

    def test_limit_holds_in_every_sliding_window(
        self, clock: FakeClock
    ) -> None:
        settings = BudgetSettings(0.2, floor=3, window_ms=10_000)
        budget = RatioBudget(clock, settings)
        sends: list[float] = []
        spends: list[float] = []
        for step in range(4000):
            clock.current += 10
            if step % 1000 < 700:
                budget.record_send()
                sends.append(clock.now())
            if budget.can_spend():
                budget.spend()
                spends.append(clock.now())
        assert spends
        for end in spends:
            # The window advances in steps of a twentieth of its length.
            recent = [at for at in spends if end - 9500 < at <= end]
            first = [at for at in sends if end - 10_500 < at <= end]
            assert len(recent) <= len(first) * 0.2 + 3


class Level:
    """One level of a call chain: a daemon in front of a service."""

    def __init__(self, clock: FakeClock, depth: int, limits: str) -> None:
        self.budget = RatioBudget(clock, BudgetSettings(0.1, floor=0))
        self.limits = limits
        self.next = Level(clock, depth - 1, limits) if depth else None
        self.sends = 0

    def call(self, attempt: int) -> None:
        """Send a call that fails at the innermost level, and retry it."""
        if 'depth' not in self.limits or is_first_attempt(attempt):
            self.budget.record_send()
        self._send(attempt)
        if 'depth' in self.limits and not is_first_attempt(attempt):
            return
        if 'budget' in self.limits and not self.budget.can_spend():
            return
        self.budget.spend()
        self._send(attempt + 1)

    def innermost(self) -> 'Level':
        level = self
        while level.next is not None:
            level = level.next
        return level

    def _send(self, attempt: int) -> None:
        self.sends += 1
        if self.next is not None:
            self.next.call(attempt)


class TestCallChain:
    @pytest.mark.parametrize(
        ('limits', 'most'),
        [
            ('none', 2**LEVELS),
            ('depth', LEVELS + 1),
            ('budget', 1.1**LEVELS),
            ('depth and budget', 1 + 0.1 * LEVELS),
        ],
    )
    def test_retries_of_eight_levels(
        self, clock: FakeClock, limits: str, most: float
    ) -> None:
        chain = Level(clock, LEVELS - 1, limits)
        calls = 20 if limits == 'none' else CALLS
        for _ in range(calls):
            clock.current += 1
            chain.call(attempt=0)
        sends_per_call = chain.innermost().sends / calls
        assert sends_per_call == pytest.approx(most, rel=0.02)
