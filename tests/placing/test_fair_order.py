"""The order of service between workspaces that compete for slots."""

from collections import Counter
from typing import Any

from cowslippond_core.placing import (
    CallQueue,
    PendingCall,
    ServiceTimeEstimator,
)
from cowslippond_core.placing._fair_order import FairOrder

WORK = 60
MAX_WORKSPACES = 512


def call_of(name: str, workspace: str | None, **changes: Any) -> PendingCall:
    call = PendingCall(
        request_id=name,
        arrived_at=0,
        objective_at=2000,
        deadline=9000,
        priority=2,
        excluded=frozenset(),
        workspace=workspace,
    )
    return call._replace(**changes)


def calls_of(
    workspace: str | None, count: int, **changes: Any
) -> list[PendingCall]:
    return [
        call_of(f'{workspace} {number}', workspace, **changes)
        for number in range(count)
    ]


def queue_of(*calls: PendingCall) -> CallQueue:
    queue = CallQueue(ServiceTimeEstimator(WORK))
    for call in calls:
        queue.add(call)
    return queue


def grant_next(queue: CallQueue) -> PendingCall:
    call = queue.service_order(0)[0]
    queue.record_grant(call)
    queue.remove(call)
    return call


def serve(queue: CallQueue, count: int) -> Counter[str | None]:
    """Return how many of the next grants each workspace gets."""
    return Counter(grant_next(queue).workspace for _ in range(count))


class TestShares:
    def test_a_flood_takes_no_turns_from_a_small_workspace(self) -> None:
        """In the order of arrival, the small one waited for the flood."""
        queue = queue_of(*calls_of('flood', 40), *calls_of('small', 5))
        assert serve(queue, 10) == {'flood': 5, 'small': 5}

    def test_a_flood_that_arrived_in_between_waits(self) -> None:
        """The youngest call goes first only within a workspace."""
        queue = queue_of(
            call_of('small', 'small', objective_at=1000),
            *calls_of('flood', 40, objective_at=3000),
        )
        assert 'small' in {
            grant_next(queue).workspace,
            grant_next(queue).workspace,
        }

    def test_shares_are_proportional_to_the_rates_of_quotas(self) -> None:
        """With equal shares, large workspaces were hardly served at all."""
        queue = queue_of(
            *calls_of('large', 60, weight=9), *calls_of('small', 60, weight=1)
        )
        assert serve(queue, 60) == {'large': 54, 'small': 6}

    def test_a_workspace_without_a_quota_counts_as_a_large_one(self) -> None:
        queue = queue_of(
            *calls_of('unlimited', 20),
            *calls_of('large', 20, weight=9),
            *calls_of('small', 20, weight=3),
        )
        assert serve(queue, 14) == {'unlimited': 6, 'large': 6, 'small': 2}

    def test_calls_that_take_longer_use_up_more_of_the_share(self) -> None:
        """Shares are measured by work and not by the number of calls."""
        queue = queue_of(*calls_of('long', 30), *calls_of('short', 30))
        for _ in range(80):
            queue.fair_order.record_work('long', WORK * 3)
            queue.fair_order.record_work('short', WORK)
        served = serve(queue, 24)
        assert served == {'long': 6, 'short': 18}

    def test_calls_without_a_workspace_compete_as_one_more(self) -> None:
        queue = queue_of(*calls_of(None, 20), *calls_of('one', 20))
        assert serve(queue, 10) == {None: 5, 'one': 5}

    def test_a_workspace_that_was_idle_has_saved_up_nothing(self) -> None:
        """It would otherwise take all slots until it had caught up."""
        queue = queue_of(*calls_of('one', 60), *calls_of('two', 20))
        serve(queue, 40)
        for call in calls_of('idle', 20):
            queue.add(call)
        assert serve(queue, 10) == {'one': 5, 'idle': 5}

    def test_a_workspace_that_was_alone_owes_nothing(self) -> None:
        """A daemon serves a lone workspace in full, also later."""
        queue = queue_of(*calls_of('one', 60))
        serve(queue, 40)
        for call in calls_of('two', 20):
            queue.add(call)
        assert serve(queue, 10) == {'one': 5, 'two': 5}


class TestKeptOrder:
    def test_priority_goes_before_the_share(self) -> None:
        """A kind of call is not served less than a less urgent one."""
        queue = queue_of(
            *calls_of('urgent', 9, priority=0), *calls_of('usual', 9)
        )
        assert serve(queue, 9) == {'urgent': 9}

    def test_work_of_one_priority_is_not_charged_to_another(self) -> None:
        queue = queue_of(
            *calls_of('one', 9, priority=0),
            *calls_of('one', 9),
            *calls_of('two', 9),
        )
        assert serve(queue, 9) == {'one': 9}
        assert serve(queue, 10) == {'one': 5, 'two': 5}

    def test_timely_calls_go_before_late_ones_of_other_workspaces(self) -> None:
        queue = queue_of(
            *calls_of('late', 3, objective_at=30), *calls_of('timely', 3)
        )
        assert serve(queue, 3) == {'timely': 3}

    def test_within_a_workspace_the_youngest_call_goes_first(self) -> None:
        young = call_of('young', 'one', objective_at=900)
        old = call_of('old', 'one', objective_at=500)
        other = call_of('other', 'two', objective_at=700)
        order = queue_of(old, young, other).service_order(0)
        assert order.index(young) < order.index(old)

    def test_an_upstream_excluded_for_the_first_call_goes_to_the_next(
        self,
    ) -> None:
        queue = queue_of(
            *calls_of('one', 1, excluded=frozenset(('a:1',))),
            *calls_of('two', 1),
        )
        match = queue.match('a:1', 1, 0)
        assert match is not None
        assert match.workspace == 'two'


class TestInactive:
    def test_without_workspaces_nothing_is_ordered_or_remembered(self) -> None:
        """A configuration without tenants is served as before."""
        queue = queue_of(*calls_of(None, 20))
        serve(queue, 10)
        assert not queue.fair_order.is_active
        assert not queue.fair_order.levels
        assert not queue.fair_order.work_times
        calls = queue.pending
        arranged = queue.fair_order.arrange(calls, lambda call: (0,), WORK)
        assert arranged is calls


class TestMemory:
    def test_thousands_of_workspaces_are_not_all_remembered(self) -> None:
        order = FairOrder()
        first = call_of('first', 'first')
        order.record_call(first)
        for number in range(MAX_WORKSPACES * 5):
            name = f'workspace {number}'
            order.record_work(name, WORK)
            # The first call keeps waiting, so that all others are ahead of it.
            order.record_grant(call_of(name, name), [first], WORK)
        assert len(order.work_times) <= MAX_WORKSPACES
        assert len(order.levels[2].finish) <= MAX_WORKSPACES
