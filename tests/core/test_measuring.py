"""Tests for the probe budget, summed over all daemons at one upstream."""

import random

import pytest
from cowslippond_core import ProbeBudget, probe_rate_of
from cowslippond_core._document_reader import read_document
from fakes import FakeClock
from spread_fakes import document_text

ADDRESS = '10.0.0.1:80'
MAX_DAEMONS = 24
STEP = 50
HOUR = 3_600_000


def read(text: str):
    return read_document(text, 'text').ok


DOCUMENT = read(document_text('till'))
WINDOW = 2 * MAX_DAEMONS / probe_rate_of(DOCUMENT) * 1000


class Fleet:
    """Daemons that send every probe they are allowed to."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.daemons = [self.start() for _ in range(MAX_DAEMONS)]
        self.paused_until = [0 for _ in self.daemons]
        self.sent: list[float] = []

    def start(self) -> ProbeBudget:
        budget = ProbeBudget(MAX_DAEMONS, self.rng)
        budget.track(ADDRESS, DOCUMENT, self.clock.now())
        return budget

    def step(self) -> None:
        self.clock.current += STEP
        for index, daemon in enumerate(self.daemons):
            if self.paused_until[index] > self.clock.now():
                continue
            if daemon.try_spend(ADDRESS, self.clock.now()):
                self.sent.append(self.clock.now())

    def most_in(self, window: float) -> int:
        most = 0
        first = 0
        for last, at in enumerate(self.sent):
            while at - self.sent[first] > window:
                first += 1
            most = max(most, last - first + 1)
        return most


class TestFleetLimit:
    @pytest.mark.parametrize('seed', range(3))
    def test_holds_in_each_window_while_daemons_restart_and_pause(self, seed):
        fleet = Fleet(seed)
        while fleet.clock.now() < HOUR / 2:
            fleet.step()
            if fleet.rng.randrange(1000) == 0:
                fleet.daemons = [fleet.start() for _ in fleet.daemons]
            if fleet.rng.randrange(100) == 0:
                index = fleet.rng.randrange(MAX_DAEMONS)
                pause = fleet.rng.uniform(0, 3 * WINDOW)
                fleet.paused_until[index] = fleet.clock.now() + pause

        assert fleet.sent, 'no probes were sent'
        for windows in (1, 2, 5):
            span = WINDOW * windows
            allowed = probe_rate_of(DOCUMENT) * span / 1000
            assert fleet.most_in(span) <= allowed

    def test_daemons_do_not_catch_up_after_a_common_pause(self):
        fleet = Fleet(7)
        while fleet.clock.now() < 4 * WINDOW:
            fleet.step()
        fleet.clock.current += 100 * WINDOW
        fleet.sent.clear()
        for _ in range(int(WINDOW / STEP)):
            fleet.step()

        assert len(fleet.sent) <= MAX_DAEMONS


class TestBudget:
    def test_a_smaller_budget_takes_effect_at_once(self):
        budget = ProbeBudget(1, random.Random(0))
        budget.track(ADDRESS, DOCUMENT, 0)
        smaller = DOCUMENT._replace(
            measuring=DOCUMENT.measuring._replace(share_of_capacity=0.0001)
        )
        budget.track(ADDRESS, smaller, 0)

        period = 2 / probe_rate_of(smaller) * 1000
        assert budget.next_probe_at(ADDRESS) >= period

    def test_zero_budget_disables_probes(self):
        budget = ProbeBudget(1, random.Random(0))
        unmeasured = DOCUMENT._replace(
            measuring=DOCUMENT.measuring._replace(share_of_capacity=0)
        )
        budget.track(ADDRESS, unmeasured, 0)

        assert not budget.try_spend(ADDRESS, HOUR)
        assert budget.next_probe_at(ADDRESS) is None

    def test_tracking_again_does_not_postpone_the_probe(self):
        budget = ProbeBudget(1, random.Random(0))
        budget.track(ADDRESS, DOCUMENT, 0)
        due = budget.next_probe_at(ADDRESS)
        budget.track(ADDRESS, DOCUMENT, due - 1)

        assert budget.next_probe_at(ADDRESS) == due
