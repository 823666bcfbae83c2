"""When the callers of refused calls are told to come back.

The load is a burst of twice the capacity, with 1,000 refusals in two seconds.
"""

import random
import statistics

from cowslippond_core import Millis
from cowslippond_core.dispatch._return_schedule import (
    EarlyReturns,
    Refused,
    ReturnSchedule,
)

REFUSED = Refused(priority=1, earliest=60, slot_interval=4, deadline=4000)
LATEST = REFUSED.deadline / 4


def make_schedule() -> ReturnSchedule:
    return ReturnSchedule(random.Random(1))


class TestTimes:
    def test_callers_return_at_an_even_rate(self) -> None:
        """With times around the expected wait, they were a second burst."""
        schedule = make_schedule()
        arrivals = [
            now + schedule.assign(REFUSED, now) for now in range(0, 2000, 2)
        ]
        counts = [
            sum(start <= at < start + 100 for at in arrivals)
            for start in range(800, 2000, 100)
        ]
        mean = sum(counts) / len(counts)
        assert max(counts) < mean * 1.3
        assert min(counts) > mean * 0.7

    def test_callers_refused_at_the_same_moment_are_spread(self) -> None:
        schedule = make_schedule()
        delays = [schedule.assign(REFUSED, 0) for _ in range(200)]
        late = sum(delay > 400 for delay in delays[100:])
        assert 20 < late < 80

    def test_more_urgent_callers_return_earlier(self) -> None:
        schedule = make_schedule()
        delays: dict[int, list[Millis]] = {0: [], 1: [], 2: []}
        for number in range(600):
            priority = number % 3
            refused = REFUSED._replace(priority=priority)
            delays[priority].append(schedule.assign(refused, 0))
        means = [statistics.mean(delays[one][20:]) for one in (0, 1, 2)]
        assert means[0] < means[1] < means[2]

    def test_the_time_is_at_most_a_quarter_of_the_deadline(self) -> None:
        """Callers that waited as told had no time left to be served."""
        schedule = make_schedule()
        for _ in range(1000):
            assert 50 <= schedule.assign(REFUSED, 0) <= LATEST

    def test_the_time_is_at_most_three_seconds(self) -> None:
        schedule = make_schedule()
        patient = REFUSED._replace(deadline=60_000, earliest=float('inf'))
        for _ in range(1000):
            assert 50 <= schedule.assign(patient, 0) <= 3000

    def test_a_single_refusal_waits_for_the_expected_slot(self) -> None:
        delay = make_schedule().assign(REFUSED._replace(earliest=200), 0)
        assert 200 <= delay <= 300

    def test_returned_callers_no_longer_delay_others(self) -> None:
        schedule = make_schedule()
        for _ in range(1000):
            schedule.assign(REFUSED, 0)
        assert schedule.assign(REFUSED, LATEST + 1) < 100

    def test_memory_is_bounded(self) -> None:
        schedule = make_schedule()
        for _ in range(5000):
            schedule.assign(REFUSED, 0)
        assert len(schedule.returns) == 4096


class TestEarlyReturns:
    def test_a_caller_that_returns_at_once_is_recognized(self) -> None:
        early = EarlyReturns()
        early.record_refusal('a', 0)
        assert early.check('a', 2)

    def test_a_caller_that_waits_is_not(self) -> None:
        early = EarlyReturns()
        early.record_refusal('a', 0)
        assert not early.check('a', 50)

    def test_another_caller_is_not(self) -> None:
        early = EarlyReturns()
        early.record_refusal('a', 0)
        assert not early.check('b', 2)

    def test_three_returns_are_recognized(self) -> None:
        """Without the limit, equal calls of many callers were all refused."""
        early = EarlyReturns()
        early.record_refusal('a', 0)
        checks = []
        for now in (1, 2, 3, 4):
            checks.append(early.check('a', now))
            early.record_refusal('a', now)
        assert checks == [True, True, True, False]

    def test_a_call_that_several_callers_send_is_not(self) -> None:
        """A popular page was refused for each caller that was refused."""
        early = EarlyReturns()
        early.record_served('a', 0)
        early.record_refusal('a', 10)
        assert not early.check('a', 12)

    def test_memory_is_bounded(self) -> None:
        early = EarlyReturns()
        for number in range(3000):
            early.record_refusal(str(number), 0)
            early.record_served(str(number), 0)
        assert len(early.refusals) == len(early.served) == 1024
