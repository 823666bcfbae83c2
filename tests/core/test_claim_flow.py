"""Tests that keyed calls run at most once."""

from collections.abc import AsyncIterator

import anyio
import pytest
from claim_fakes import (
    IDENTITY,
    ClaimDaemon,
    FakeObjectStore,
    FakeUpstream,
    HookedTable,
    make_request,
    read_body,
    two_chunks,
)
from cowslippond_core import (
    CallAnswer,
    CallIdentity,
    CallRefusal,
    CallRequest,
    CallResult,
    Outcome,
    RefusalReason,
    TruncatedAnswerError,
)
from cowslippond_core._call_results import call_result_for
from cowslippond_core._claim import RecordedAnswer
from cowslippond_core._claim_outcomes import AnswerRecorded
from fakes import FakeClock

pytestmark = pytest.mark.anyio


class Cluster:
    """Two daemons, one upstream and one table."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.table = HookedTable()
        self.objects = FakeObjectStore()
        self.first = self.add_daemon('vm-1')
        self.second = self.add_daemon('vm-2')
        self.upstream = FakeUpstream()
        self.call_results: list[CallResult] = []

    def add_daemon(self, vm: str) -> ClaimDaemon:
        return ClaimDaemon(vm, self.table, self.objects, self.clock)

    async def send_order(
        self,
        daemon: ClaimDaemon,
        request: CallRequest | None = None,
        identity: CallIdentity = IDENTITY,
    ) -> CallResult:
        order_request = request or make_request('r1')
        return await daemon.flow.run(
            order_request, identity, self.upstream.send
        )

    async def collect_order(self, daemon: ClaimDaemon, name: str) -> None:
        self.call_results.append(
            await self.send_order(daemon, make_request(name))
        )

    def pause_past_deadline(self) -> None:
        self.clock.current += 60_000

    def start_outage(self) -> None:
        self.table.is_down = True


def streamed_request(name: str, tail: bytes) -> CallRequest:
    return make_request(name)._replace(rest=two_chunks(tail))


def crash() -> None:
    raise RuntimeError('daemon crashed')


async def truncated_body() -> AsyncIterator[bytes]:
    yield b'half'
    raise TruncatedAnswerError('10.0.0.7:80')


@pytest.fixture
def cluster() -> Cluster:
    return Cluster()


def refusal_of(call_result: CallResult) -> tuple[Outcome, RefusalReason]:
    assert isinstance(call_result, CallRefusal), call_result
    assert call_result.retry_after_ms > 0
    return call_result.outcome, call_result.reason


class TestRepeat:
    async def test_replays_an_answer_recorded_by_another_daemon(
        self, cluster: Cluster
    ) -> None:
        assert (
            await read_body(await cluster.send_order(cluster.first))
            == b'receipt'
        )
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(cluster.second)
        assert isinstance(repeat, CallAnswer)
        assert (repeat.status, repeat.headers) == (201, ((b'x-order', b'1'),))
        assert await read_body(repeat) == b'receipt'
        assert len(cluster.upstream.runs) == 1

    async def test_replays_no_promise_that_an_earlier_version_recorded(
        self,
    ) -> None:
        """Callers of an order that had run got 503, and sent it again."""
        recorded = AnswerRecorded(RecordedAnswer(503, (), b'down', ''))
        repeat = call_result_for(recorded, make_request('r1'))
        assert isinstance(repeat, CallAnswer)
        assert repeat.status == 502

    async def test_replays_a_large_answer_from_the_object_store(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.body = bytes(range(256)) * 500
        await cluster.send_order(cluster.first)
        await cluster.first.drain_backlog()
        assert len(cluster.objects.bodies) == 1
        repeat = await cluster.send_order(cluster.second)
        assert await read_body(repeat) == cluster.upstream.body

    async def test_is_refused_when_the_stored_body_is_corrupted(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.body = bytes(100_000)
        await cluster.send_order(cluster.first)
        await cluster.first.drain_backlog()
        for key in cluster.objects.bodies:
            cluster.objects.bodies[key] = b'other'
        repeat = await cluster.send_order(cluster.second)
        assert refusal_of(repeat) == (
            Outcome.UNKNOWN,
            RefusalReason.ANSWER_NOT_KEPT,
        )

    async def test_is_not_run_when_the_answer_was_too_large_to_record(
        self, cluster: Cluster
    ) -> None:
        cluster.first.flow.max_recorded_bytes = 10
        cluster.upstream.body = b'more than ten bytes'
        first = await cluster.send_order(cluster.first)
        await cluster.first.drain_backlog()
        assert await read_body(first) == b'more than ten bytes'
        repeat = await cluster.send_order(cluster.second)
        assert refusal_of(repeat)[1] is RefusalReason.ANSWER_NOT_KEPT
        assert len(cluster.upstream.runs) == 1

    async def test_with_another_body_is_refused(self, cluster: Cluster) -> None:
        await cluster.send_order(cluster.first)
        await cluster.first.drain_backlog()
        other = make_request('r2', body=b'two passes')
        assert refusal_of(await cluster.send_order(cluster.second, other)) == (
            Outcome.NOT_RUN,
            RefusalReason.KEY_REUSED,
        )

    async def test_with_the_key_of_another_caller_is_a_separate_order(
        self, cluster: Cluster
    ) -> None:
        await cluster.send_order(cluster.first)
        await cluster.first.drain_backlog()
        other_identity = IDENTITY._replace(caller='till-5')
        await cluster.send_order(cluster.second, identity=other_identity)
        assert len(cluster.upstream.runs) == 2


class TestStreamedRequest:
    async def test_repeat_replays_the_recorded_answer(
        self, cluster: Cluster
    ) -> None:
        first = await cluster.send_order(
            cluster.first, streamed_request('r1', b'tail')
        )
        assert await read_body(first) == b'receipt'
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(
            cluster.second, streamed_request('r2', b'tail')
        )
        assert await read_body(repeat) == b'receipt'
        assert cluster.upstream.runs == ['r1']
        assert cluster.upstream.received_rest == b'tail'

    async def test_repeat_with_a_different_rest_is_refused(
        self, cluster: Cluster
    ) -> None:
        await cluster.send_order(cluster.first, streamed_request('r1', b'tail'))
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(
            cluster.second, streamed_request('r2', b'other')
        )
        assert refusal_of(repeat)[1] is RefusalReason.KEY_REUSED

    async def test_repeat_of_a_partly_read_body_is_not_replayed(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.reads_rest = False
        await cluster.send_order(cluster.first, streamed_request('r1', b'tail'))
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(
            cluster.second, streamed_request('r2', b'tail')
        )
        assert refusal_of(repeat)[1] is RefusalReason.ANSWER_NOT_KEPT
        assert cluster.upstream.runs == ['r1']


class TestConcurrentCalls:
    async def test_through_two_daemons_run_once(self, cluster: Cluster) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cluster.collect_order, cluster.first, 'r1')
            tasks.start_soon(cluster.collect_order, cluster.second, 'r2')
        refused = [
            call_result
            for call_result in cluster.call_results
            if isinstance(call_result, CallRefusal)
        ]
        assert len(cluster.upstream.runs) == 1
        assert [refusal_of(call_result) for call_result in refused] == [
            (Outcome.UNKNOWN, RefusalReason.KEY_IN_PROGRESS)
        ]


class TestClaimant:
    async def test_that_crashes_leaves_the_outcome_unknown(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.on_run = crash
        with pytest.raises(RuntimeError):
            await cluster.send_order(cluster.first)
        assert refusal_of(await cluster.send_order(cluster.second))[1] is (
            RefusalReason.KEY_IN_PROGRESS
        )
        cluster.clock.current += 86_400_000
        later_request = make_request('r2', deadline=cluster.clock.now() + 1000)
        assert refusal_of(
            await cluster.send_order(cluster.second, later_request)
        ) == (
            Outcome.UNKNOWN,
            RefusalReason.KEY_OUTCOME_LOST,
        )
        assert len(cluster.upstream.runs) == 1

    async def test_that_was_paused_past_its_deadline_does_not_send(
        self, cluster: Cluster
    ) -> None:
        cluster.table.after_write = cluster.pause_past_deadline
        assert refusal_of(await cluster.send_order(cluster.first)) == (
            Outcome.NOT_RUN,
            RefusalReason.DEADLINE,
        )
        assert not cluster.upstream.runs
        cluster.table.after_write = None
        await cluster.first.drain_backlog()
        later_request = make_request('r2', deadline=cluster.clock.now() + 1000)
        assert isinstance(
            await cluster.send_order(cluster.second, later_request), CallAnswer
        )

    async def test_records_the_answer_after_its_caller_disconnects(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.may_finish = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cluster.send_order, cluster.first)
            await cluster.upstream.started.wait()
            tasks.cancel_scope.cancel()
            cluster.upstream.may_finish.set()
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(cluster.second)
        assert await read_body(repeat) == b'receipt'
        assert cluster.upstream.runs == ['r1']

    async def test_frees_the_key_when_its_caller_disconnects_before_the_send(
        self, cluster: Cluster
    ) -> None:
        async with anyio.create_task_group() as tasks:
            cluster.table.after_write = tasks.cancel_scope.cancel
            tasks.start_soon(cluster.send_order, cluster.first)
        cluster.table.after_write = None
        assert not cluster.upstream.runs
        await cluster.first.drain_backlog()
        assert isinstance(await cluster.send_order(cluster.second), CallAnswer)


class TestTableFailure:
    async def test_claim_is_read_back_after_its_answer_is_lost(
        self, cluster: Cluster
    ) -> None:
        cluster.table.lost_answers = 1
        assert isinstance(await cluster.send_order(cluster.first), CallAnswer)
        assert len(cluster.upstream.runs) == 1

    async def test_outage_during_the_claim_refuses_the_call(
        self, cluster: Cluster
    ) -> None:
        cluster.table.is_down = True
        assert refusal_of(await cluster.send_order(cluster.first)) == (
            Outcome.NOT_RUN,
            RefusalReason.CLAIM_UNAVAILABLE,
        )
        assert not cluster.upstream.runs

    async def test_circuit_opens_in_a_long_outage(
        self, cluster: Cluster
    ) -> None:
        cluster.table.is_down = True
        for _ in range(10):
            refused = await cluster.send_order(cluster.first)
            assert refusal_of(refused)[1] is RefusalReason.CLAIM_UNAVAILABLE
        assert cluster.table.write_count == 3
        cluster.table.is_down = False
        cluster.clock.current += 501
        assert isinstance(await cluster.send_order(cluster.first), CallAnswer)
        second = IDENTITY._replace(key='order-2')
        assert isinstance(
            await cluster.send_order(cluster.first, identity=second), CallAnswer
        )

    async def test_outage_leaves_the_outcome_of_an_earlier_attempt_unknown(
        self, cluster: Cluster
    ) -> None:
        await cluster.send_order(cluster.first)
        cluster.table.is_down = True
        repeat = make_request('r2', attempt=1)
        assert refusal_of(await cluster.send_order(cluster.second, repeat)) == (
            Outcome.UNKNOWN,
            RefusalReason.CLAIM_UNAVAILABLE,
        )

    async def test_answer_is_recorded_after_an_outage(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.on_run = cluster.start_outage
        call_result = await cluster.send_order(cluster.first)
        assert await read_body(call_result) == b'receipt'
        cluster.table.is_down = False
        repeat = await cluster.send_order(cluster.second)
        assert refusal_of(repeat)[0] is Outcome.UNKNOWN
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(cluster.second)
        assert await read_body(repeat) == b'receipt'
        assert len(cluster.upstream.runs) == 1

    async def test_claim_is_released_after_an_outage(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.refuses_calls = True
        assert (
            refusal_of(await cluster.send_order(cluster.first))[0]
            is Outcome.NOT_RUN
        )
        cluster.upstream.refuses_calls = False
        assert refusal_of(await cluster.send_order(cluster.second))[0] is (
            Outcome.UNKNOWN
        )
        cluster.table.lost_answers = 1
        await cluster.first.drain_backlog()
        assert isinstance(await cluster.send_order(cluster.second), CallAnswer)


class TestAnswer:
    async def test_that_is_truncated_leaves_the_outcome_unknown(
        self, cluster: Cluster
    ) -> None:
        cluster.upstream.chunks = truncated_body()
        call_result = await cluster.send_order(cluster.first)
        assert refusal_of(call_result) == (
            Outcome.UNKNOWN,
            RefusalReason.ANSWER_LOST,
        )
        await cluster.first.drain_backlog()
        repeat = await cluster.send_order(cluster.second)
        assert refusal_of(repeat)[0] is Outcome.UNKNOWN
        assert len(cluster.upstream.runs) == 1

    async def test_too_large_to_record_is_closed_when_its_caller_disconnects(
        self, cluster: Cluster
    ) -> None:
        cluster.first.flow.max_recorded_bytes = 2
        upstream_chunks = two_chunks(b'abcdefgh')
        cluster.upstream.chunks = upstream_chunks
        call_result = await cluster.send_order(cluster.first)
        assert isinstance(call_result, CallAnswer)
        assert await anext(call_result.chunks) == b'abcd'
        await call_result.chunks.aclose()
        with pytest.raises(StopAsyncIteration):
            await anext(upstream_chunks)
