"""The queue of a service: admission, service order, slots and expiry."""

from typing import Any

from cowslippond_core import RefusalReason
from cowslippond_core.placing import (
    CallQueue,
    PendingCall,
    ServiceTimeEstimator,
)

WORK = 60


def call_of(name: str, **changes: Any) -> PendingCall:
    call = PendingCall(
        request_id=name,
        arrived_at=0,
        objective_at=200,
        deadline=1200,
        priority=2,
        excluded=frozenset(),
    )
    return call._replace(**changes)


def queue_of(*calls: PendingCall) -> CallQueue:
    queue = CallQueue(ServiceTimeEstimator(WORK))
    for call in calls:
        queue.add(call)
    return queue


class TestOrder:
    def test_the_youngest_call_goes_first(self) -> None:
        """With the oldest first, each was answered too late under overload."""
        young = call_of('young', objective_at=300)
        old = call_of('old', objective_at=150)
        assert queue_of(old, young).service_order(0) == [young, old]

    def test_a_late_call_goes_after_one_that_is_not_late(
        self,
    ) -> None:
        late = call_of('late', objective_at=30)
        timely = call_of('timely', objective_at=300)
        assert queue_of(late, timely).service_order(0) == [timely, late]

    def test_a_call_of_higher_priority_goes_before_all_others(self) -> None:
        usual = call_of('usual', objective_at=100)
        urgent = call_of('urgent', objective_at=900, priority=0)
        assert queue_of(usual, urgent).service_order(0)[0] is urgent


class TestMatch:
    def test_a_free_fast_slot_goes_to_the_first_call(self) -> None:
        first = call_of('first', objective_at=400)
        second = call_of('second')
        assert queue_of(second, first).match('a:1', 1, 0) is first

    def test_a_call_never_gets_an_excluded_upstream(self) -> None:
        call = call_of('one', excluded=frozenset(('a:1',)))
        assert queue_of(call).match('a:1', 1, 0) is None

    def test_a_slow_slot_is_not_assigned_before_others_are_probed(self) -> None:
        assert queue_of(call_of('one')).match('a:1', 5, 0) is None


class TestAccepts:
    def test_a_slower_slot_is_accepted_if_it_meets_the_objective(self) -> None:
        call = call_of('one')
        assert queue_of(call).accepts(call, 2, 0)

    def test_a_call_waits_while_a_faster_slot_can_meet_the_objective(
        self,
    ) -> None:
        call = call_of('one')
        assert not queue_of(call).accepts(call, 5, 0)

    def test_a_late_call_does_not_take_a_crowded_or_slow_upstream(
        self,
    ) -> None:
        """It would gain little and slow down the call that is running there."""
        call = call_of('one')
        queue = queue_of(call)
        assert queue.accepts(call, 1.4, 500)
        assert not queue.accepts(call, 1.7, 500)
        assert not queue.accepts(call, 5, 500)

    def test_a_hedge_takes_only_a_free_fast_slot(self) -> None:
        call = call_of('one', is_hedge=True)
        queue = queue_of(call)
        assert queue.accepts(call, 1, 0)
        assert not queue.accepts(call, 1.7, 0)


class TestRefusal:
    def test_a_call_that_cannot_meet_its_deadline_is_refused(
        self,
    ) -> None:
        call = call_of('one', deadline=20)
        reason = queue_of().check_admission(call, 0)
        assert reason is RefusalReason.DEADLINE

    def test_a_call_behind_a_queue_that_is_too_long_is_refused(self) -> None:
        waiting = [call_of(str(number)) for number in range(40)]
        reason = queue_of(*waiting).check_admission(call_of('one'), 0)
        assert reason is RefusalReason.QUEUE_FULL

    def test_a_call_is_admitted_while_slots_become_free_fast_enough(
        self,
    ) -> None:
        queue = queue_of(*[call_of(str(number)) for number in range(10)])
        queue.estimator.update_slots(26, 4, 0)
        assert queue.check_admission(call_of('one'), 0) is None

    def test_a_second_call_is_admitted_on_a_daemon_with_few_calls(
        self,
    ) -> None:
        """The wait was estimated from the few calls that had found a slot."""
        queue = queue_of(call_of('first'))
        queue.estimator.update_slots(26, 18, 0)
        assert queue.check_admission(call_of('second'), 0) is None

    def test_a_hedge_never_waits_behind_calls(self) -> None:
        hedge = call_of('hedge', is_hedge=True)
        reason = queue_of(call_of('one')).check_admission(hedge, 0)
        assert reason is RefusalReason.QUEUE_FULL

    def test_a_late_call_expires_after_a_third_of_its_deadline(self) -> None:
        call = call_of('one')
        queue = queue_of(call)
        assert queue.expired(300) == []
        assert queue.expired(500) == [call]

    def test_a_late_call_expires_while_others_are_not_late(self) -> None:
        late, timely = call_of('late', objective_at=100), call_of('timely')
        assert queue_of(late, timely).expired(60) == [late]

    def test_the_retry_after_time_grows_with_the_queue(self) -> None:
        short = queue_of(call_of('one')).retry_after()
        long = queue_of(*[call_of(str(one)) for one in range(20)]).retry_after()
        assert long > short * 5
