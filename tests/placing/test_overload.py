"""Goodput beyond the capacity, in simulated time.

The load is an eighth of the gateway's: upstreams of six slots that are slower
while nearly all are taken, callers that are spread unevenly, and callers that
retry. Its capacity is about three times its usual load.
"""

import statistics

from cowslippond_core import RefusalReason
from cowslippond_core._upstreams import LoadReading
from cowslippond_core.placing import (
    CallQueue,
    OverloadRules,
    PendingCall,
    ServiceTimeEstimator,
)
from cowslippond_core.placing._overload_watch import OverloadWatch
from cowslippond_standins.model import (
    LOADS,
    Load,
    Outcome,
    goodput,
    shrink,
    simulate,
)

GATEWAY = shrink(LOADS['gateway'][0], 8)._replace(
    impatient_ratio=0, patient_retries=0
)
FULL = GATEWAY._replace(burst_factor=2.6)
OVER = GATEWAY._replace(burst_factor=3.9)
RETRYING = OVER._replace(patient_retries=1)
NO_RULES = OverloadRules(full_ratio=-1, refuses_late=False)
SEEDS = (1, 2)


def mean_goodput(load: Load) -> float:
    return statistics.mean(
        goodput(load, simulate(load._replace(seed=seed))) for seed in SEEDS
    )


class TestGoodput:
    def test_half_more_than_the_capacity_takes_a_tenth_at_most(self) -> None:
        assert mean_goodput(OVER) >= 0.9 * mean_goodput(FULL)

    def test_it_stays_if_callers_retry_once(self) -> None:
        assert mean_goodput(RETRYING) >= 0.9 * mean_goodput(FULL)

    def test_refusals_are_sent_within_an_eighth_of_the_objective(self) -> None:
        """Most calls waited until they were late: 0.6 of the objective."""
        for seed in SEEDS:
            delays = sorted(simulate(OVER._replace(seed=seed)).refusal_delays)
            assert len(delays) > 100
            assert delays[len(delays) * 95 // 100] * 8 <= 1
            slow = simulate(OVER._replace(seed=seed, rules=NO_RULES))
            delays = sorted(slow.refusal_delays)
            assert statistics.median(delays) > 2 * OVER.rules.wait_ratio

    def test_late_answers_are_few(self) -> None:
        for seed in SEEDS:
            tally = simulate(OVER._replace(seed=seed))
            late = tally.outcomes[Outcome.LATE]
            assert late < tally.outcomes.total() * 0.06


class TestImpatientCallers:
    def test_they_do_not_displace_callers_that_wait_as_told(self) -> None:
        """Each immediate retry was another chance for a slot."""
        impatient = RETRYING._replace(impatient_ratio=1 / 3)
        patient = impatient._replace(impatient_retries=0)
        shares = []
        for load in (impatient, patient):
            counts = []
            for seed in (1, 2, 3, 4):
                tally = simulate(load._replace(seed=seed))
                others = tally.outcomes - tally.impatient
                counts.append(others[Outcome.IN_OBJECTIVE] / others.total())
            shares.append(statistics.mean(counts))
        assert shares[0] >= shares[1] - 0.03


def call_of(objective_at: float = 800) -> PendingCall:
    return PendingCall('r', 0, objective_at, 4000, 1, frozenset())


class TestQueue:
    def make_queue(self, samples: int = 10) -> CallQueue:
        queue = CallQueue(ServiceTimeEstimator(350))
        for _ in range(samples):
            queue.estimator.record_service_time(350, 1)
        queue.is_overloaded = True
        return queue

    def test_a_late_call_is_refused_on_arrival(self) -> None:
        """It would take the slot of a timely call at another daemon."""
        queue = self.make_queue()
        reason = queue.check_admission(call_of(300), 0)
        assert reason is RefusalReason.QUEUE_FULL
        queue.is_overloaded = False
        assert queue.check_admission(call_of(300), 0) is None

    def test_a_guessed_service_time_refuses_no_call(self) -> None:
        """A daemon that had just started refused calls as too late."""
        queue = self.make_queue(samples=5)
        assert queue.check_admission(call_of(300), 0) is None

    def test_a_call_waits_for_a_tenth_of_its_objective(self) -> None:
        queue = self.make_queue()
        call = call_of()
        queue.add(call)
        assert queue.next_refusal_at() == 80
        assert queue.expired(79) == []
        assert queue.expired(80) == [call]
        assert queue.expiry_reason(call, 80) is RefusalReason.UPSTREAMS_FULL

    def test_without_overload_a_call_waits_longer(self) -> None:
        queue = self.make_queue()
        queue.is_overloaded = False
        queue.add(call_of())
        assert queue.expired(400) == []


class TestOverloadWatch:
    def reading_of(self, running: int) -> LoadReading:
        return LoadReading(0, 0, running, 0, 6, 1, is_healthy=True)

    def test_full_upstreams_are_an_overload(self) -> None:
        watch = OverloadWatch()
        for now in range(10):
            assert not watch.is_overloaded(now) or now > 2
            watch.record(self.reading_of(6), now)
        assert watch.is_overloaded(10)

    def test_crowded_upstreams_are_an_overload(self) -> None:
        watch = OverloadWatch()
        for now in range(10):
            watch.record(self.reading_of(4), now)
        assert watch.is_overloaded(10)

    def test_reports_that_stop_end_the_overload(self) -> None:
        """Calls would be refused without a probe, and forever."""
        watch = OverloadWatch()
        for now in range(10):
            watch.record(self.reading_of(6), now)
        assert not watch.is_overloaded(1100)
        watch.record(self.reading_of(6), 1100)
        assert not watch.is_overloaded(1100)
