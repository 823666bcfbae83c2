"""Which waiting call gets a slot, which waits on, and which is refused."""

from typing import Any

from cowslippond_core import RefusalReason
from cowslippond_core.placing import (
    CallQueue,
    PendingCall,
    ServiceTimeEstimator,
)

WORK = 60


def ask_of(name: str, **changes: Any) -> PendingCall:
    ask = PendingCall(
        request_id=name,
        arrived_at=0,
        objective_at=200,
        deadline=1200,
        priority=2,
        excluded=frozenset(),
    )
    return ask._replace(**changes)


def queue_of(*asks: PendingCall) -> CallQueue:
    queue = CallQueue(ServiceTimeEstimator(WORK))
    for ask in asks:
        queue.add(ask)
    return queue


class TestOrder:
    def test_the_youngest_call_goes_first(self) -> None:
        """The oldest first, each was answered just too late at overload."""
        young = ask_of('young', objective_at=300)
        old = ask_of('old', objective_at=150)
        assert queue_of(old, young).service_order(0) == [young, old]

    def test_a_call_that_is_late_anyway_goes_behind_one_that_is_not(
        self,
    ) -> None:
        lost = ask_of('lost', objective_at=30)
        sound = ask_of('sound', objective_at=300)
        assert queue_of(lost, sound).service_order(0) == [sound, lost]

    def test_a_more_urgent_kind_goes_before_all_others(self) -> None:
        usual = ask_of('usual', objective_at=100)
        urgent = ask_of('urgent', objective_at=900, priority=0)
        assert queue_of(usual, urgent).service_order(0)[0] is urgent


class TestMatch:
    def test_a_free_fast_slot_goes_to_the_first_call(self) -> None:
        first = ask_of('first', objective_at=400)
        second = ask_of('second')
        assert queue_of(second, first).match('a:1', 1, 0) is first

    def test_a_call_never_gets_an_upstream_that_it_has_tried(self) -> None:
        excluded = ask_of('tried', excluded=frozenset(('a:1',)))
        assert queue_of(excluded).match('a:1', 1, 0) is None

    def test_a_slow_slot_is_not_given_out_before_others_are_read(self) -> None:
        assert queue_of(ask_of('one')).match('a:1', 5, 0) is None


class TestAccepts:
    def test_a_slower_slot_does_if_it_meets_the_objective(self) -> None:
        ask = ask_of('one')
        assert queue_of(ask).accepts(ask, 2, 0)

    def test_a_call_waits_while_a_faster_slot_can_meet_the_objective(
        self,
    ) -> None:
        ask = ask_of('one')
        assert not queue_of(ask).accepts(ask, 5, 0)

    def test_a_late_call_does_not_take_a_crowded_or_slow_upstream(
        self,
    ) -> None:
        """It would slow down the call that runs there, to gain little."""
        ask = ask_of('one')
        queue = queue_of(ask)
        assert queue.accepts(ask, 1.4, 500)
        assert not queue.accepts(ask, 1.7, 500)
        assert not queue.accepts(ask, 5, 500)

    def test_a_copy_takes_only_a_free_fast_slot(self) -> None:
        ask = ask_of('one', is_hedge=True)
        queue = queue_of(ask)
        assert queue.accepts(ask, 1, 0)
        assert not queue.accepts(ask, 1.7, 0)


class TestRefusal:
    def test_a_call_that_cannot_be_done_in_time_is_refused_at_once(
        self,
    ) -> None:
        ask = ask_of('one', deadline=20)
        reason = queue_of().check_admission(ask, 0)
        assert reason is RefusalReason.DEADLINE

    def test_a_call_behind_too_long_a_queue_is_refused_at_once(self) -> None:
        waiting = [ask_of(str(number)) for number in range(40)]
        reason = queue_of(*waiting).check_admission(ask_of('one'), 0)
        assert reason is RefusalReason.QUEUE_FULL

    def test_a_call_is_taken_in_while_slots_become_free_fast_enough(
        self,
    ) -> None:
        queue = queue_of(*[ask_of(str(number)) for number in range(10)])
        queue.estimator.update_slots(26, 4)
        assert queue.check_admission(ask_of('one'), 0) is None

    def test_a_second_call_is_not_refused_at_a_daemon_with_few_calls(
        self,
    ) -> None:
        """The wait was taken from the few calls that had found a slot."""
        queue = queue_of(ask_of('first'))
        queue.estimator.update_slots(26, 18)
        assert queue.check_admission(ask_of('second'), 0) is None

    def test_a_copy_never_waits_behind_calls(self) -> None:
        copy = ask_of('copy', is_hedge=True)
        reason = queue_of(ask_of('one')).check_admission(copy, 0)
        assert reason is RefusalReason.QUEUE_FULL

    def test_a_late_call_is_given_up_after_a_third_of_its_time(self) -> None:
        ask = ask_of('one')
        queue = queue_of(ask)
        assert queue.expired(300) == []
        assert queue.expired(500) == [ask]

    def test_a_late_call_is_given_up_while_others_are_not_late(self) -> None:
        late, sound = ask_of('late', objective_at=100), ask_of('sound')
        assert queue_of(late, sound).expired(60) == [late]

    def test_the_time_to_come_back_grows_with_the_queue(self) -> None:
        short = queue_of(ask_of('one')).retry_after()
        long = queue_of(*[ask_of(str(one)) for one in range(20)]).retry_after()
        assert long > short * 5
