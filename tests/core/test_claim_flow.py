"""Tests of keyed calls that run at most once."""

from collections.abc import AsyncIterator

import anyio
import pytest
from claim_world import (
    KEY,
    Daemon,
    FakeObjects,
    ScriptedTable,
    Upstream,
    chunks_of,
    make_request,
    read_whole,
)
from cowslippond_core import (
    CallAnswer,
    CallEnd,
    CallIdentity,
    CallRefusal,
    CallRequest,
    Outcome,
    RefusalReason,
    TruncatedAnswerError,
)
from fakes import FakeClock

pytestmark = pytest.mark.anyio


class World:
    """Two daemons, one upstream and one table."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.table = ScriptedTable()
        self.objects = FakeObjects()
        self.first = self.add_daemon('vm-1')
        self.second = self.add_daemon('vm-2')
        self.upstream = Upstream()
        self.ends: list[CallEnd] = []

    def add_daemon(self, vm: str) -> Daemon:
        return Daemon(vm, self.table, self.objects, self.clock)

    async def order(
        self,
        daemon: Daemon,
        request: CallRequest | None = None,
        identity: CallIdentity = KEY,
    ) -> CallEnd:
        sent = request or make_request('r1')
        return await daemon.flow.run(sent, identity, self.upstream.send)

    async def place(self, daemon: Daemon, name: str) -> None:
        self.ends.append(await self.order(daemon, make_request(name)))

    def pause(self) -> None:
        self.clock.current += 60_000

    def start_outage(self) -> None:
        self.table.is_down = True


def large_request(name: str, tail: bytes) -> CallRequest:
    return make_request(name)._replace(rest=chunks_of(tail))


def fail_hard() -> None:
    raise RuntimeError('killed')


async def break_off() -> AsyncIterator[bytes]:
    yield b'half'
    raise TruncatedAnswerError('10.0.0.7:80')


@pytest.fixture
def world() -> World:
    return World()


def reason_of(end: CallEnd) -> tuple[Outcome, RefusalReason]:
    assert isinstance(end, CallRefusal), end
    assert end.retry_after_ms > 0
    return end.outcome, end.reason


class TestRepeat:
    async def test_gets_the_recorded_answer_from_another_daemon(
        self, world: World
    ) -> None:
        assert await read_whole(await world.order(world.first)) == b'receipt'
        await world.first.drain()
        again = await world.order(world.second)
        assert isinstance(again, CallAnswer)
        assert (again.status, again.headers) == (201, ((b'x-order', b'1'),))
        assert await read_whole(again) == b'receipt'
        assert len(world.upstream.runs) == 1

    async def test_gets_a_large_answer_from_the_object_store(
        self, world: World
    ) -> None:
        world.upstream.body = bytes(range(256)) * 500
        await world.order(world.first)
        await world.first.drain()
        assert len(world.objects.bodies) == 1
        again = await world.order(world.second)
        assert await read_whole(again) == world.upstream.body

    async def test_is_told_when_the_kept_body_is_damaged(
        self, world: World
    ) -> None:
        world.upstream.body = bytes(100_000)
        await world.order(world.first)
        await world.first.drain()
        for key in world.objects.bodies:
            world.objects.bodies[key] = b'other'
        again = await world.order(world.second)
        assert reason_of(again) == (
            Outcome.UNKNOWN,
            RefusalReason.ANSWER_NOT_KEPT,
        )

    async def test_of_an_answer_too_large_to_keep_is_not_run(
        self, world: World
    ) -> None:
        world.first.flow.kept_bytes = 10
        world.upstream.body = b'more than ten bytes'
        first = await world.order(world.first)
        await world.first.drain()
        assert await read_whole(first) == b'more than ten bytes'
        again = await world.order(world.second)
        assert reason_of(again)[1] is RefusalReason.ANSWER_NOT_KEPT
        assert len(world.upstream.runs) == 1

    async def test_with_another_body_is_refused(self, world: World) -> None:
        await world.order(world.first)
        await world.first.drain()
        other = make_request('r2', body=b'two passes')
        assert reason_of(await world.order(world.second, other)) == (
            Outcome.NOT_RUN,
            RefusalReason.KEY_REUSED,
        )

    async def test_of_another_caller_is_another_order(
        self, world: World
    ) -> None:
        await world.order(world.first)
        await world.first.drain()
        stranger = KEY._replace(caller='till-5')
        await world.order(world.second, identity=stranger)
        assert len(world.upstream.runs) == 2


class TestLargeRequest:
    async def test_repeat_gets_the_recorded_answer(self, world: World) -> None:
        first = await world.order(world.first, large_request('r1', b'tail'))
        assert await read_whole(first) == b'receipt'
        await world.first.drain()
        again = await world.order(world.second, large_request('r2', b'tail'))
        assert await read_whole(again) == b'receipt'
        assert world.upstream.runs == ['r1']
        assert world.upstream.taken == b'tail'

    async def test_repeat_with_another_end_is_refused(
        self, world: World
    ) -> None:
        await world.order(world.first, large_request('r1', b'tail'))
        await world.first.drain()
        again = await world.order(world.second, large_request('r2', b'other'))
        assert reason_of(again)[1] is RefusalReason.KEY_REUSED

    async def test_repeat_of_a_body_not_taken_whole_is_not_compared(
        self, world: World
    ) -> None:
        world.upstream.takes_body = False
        await world.order(world.first, large_request('r1', b'tail'))
        await world.first.drain()
        again = await world.order(world.second, large_request('r2', b'tail'))
        assert reason_of(again)[1] is RefusalReason.ANSWER_NOT_KEPT
        assert world.upstream.runs == ['r1']


class TestRace:
    async def test_of_two_daemons_runs_the_call_once(
        self, world: World
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.place, world.first, 'r1')
            tasks.start_soon(world.place, world.second, 'r2')
        refused = [end for end in world.ends if isinstance(end, CallRefusal)]
        assert len(world.upstream.runs) == 1
        assert [reason_of(end) for end in refused] == [
            (Outcome.UNKNOWN, RefusalReason.KEY_IN_PROGRESS)
        ]


class TestClaimant:
    async def test_that_died_leaves_the_outcome_unknown_for_good(
        self, world: World
    ) -> None:
        world.upstream.on_run = fail_hard
        with pytest.raises(RuntimeError):
            await world.order(world.first)
        assert reason_of(await world.order(world.second))[1] is (
            RefusalReason.KEY_IN_PROGRESS
        )
        world.clock.current += 86_400_000
        late = make_request('r2', deadline=world.clock.now() + 1000)
        assert reason_of(await world.order(world.second, late)) == (
            Outcome.UNKNOWN,
            RefusalReason.KEY_OUTCOME_LOST,
        )
        assert len(world.upstream.runs) == 1

    async def test_paused_past_its_deadline_does_not_send(
        self, world: World
    ) -> None:
        world.table.after_write = world.pause
        assert reason_of(await world.order(world.first)) == (
            Outcome.NOT_RUN,
            RefusalReason.DEADLINE,
        )
        assert not world.upstream.runs
        world.table.after_write = None
        await world.first.drain()
        late = make_request('r2', deadline=world.clock.now() + 1000)
        assert isinstance(await world.order(world.second, late), CallAnswer)

    async def test_whose_caller_leaves_still_records_the_answer(
        self, world: World
    ) -> None:
        world.upstream.finish = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.order, world.first)
            await world.upstream.running.wait()
            tasks.cancel_scope.cancel()
            world.upstream.finish.set()
        await world.first.drain()
        again = await world.order(world.second)
        assert await read_whole(again) == b'receipt'
        assert world.upstream.runs == ['r1']

    async def test_whose_caller_leaves_before_sending_frees_the_key(
        self, world: World
    ) -> None:
        async with anyio.create_task_group() as tasks:
            world.table.after_write = tasks.cancel_scope.cancel
            tasks.start_soon(world.order, world.first)
        world.table.after_write = None
        assert not world.upstream.runs
        await world.first.drain()
        assert isinstance(await world.order(world.second), CallAnswer)


class TestStore:
    async def test_lost_answer_of_the_claim_is_read_back(
        self, world: World
    ) -> None:
        world.table.lost_answers = 1
        assert isinstance(await world.order(world.first), CallAnswer)
        assert len(world.upstream.runs) == 1

    async def test_outage_at_the_claim_refuses_and_does_not_run(
        self, world: World
    ) -> None:
        world.table.is_down = True
        assert reason_of(await world.order(world.first)) == (
            Outcome.NOT_RUN,
            RefusalReason.CLAIM_UNAVAILABLE,
        )
        assert not world.upstream.runs

    async def test_long_outage_is_not_waited_for_by_each_call(
        self, world: World
    ) -> None:
        world.table.is_down = True
        for _ in range(10):
            refused = await world.order(world.first)
            assert reason_of(refused)[1] is RefusalReason.CLAIM_UNAVAILABLE
        assert world.table.write_count == 3
        world.table.is_down = False
        world.clock.current += 501
        assert isinstance(await world.order(world.first), CallAnswer)
        second = KEY._replace(key='order-2')
        assert isinstance(
            await world.order(world.first, identity=second), CallAnswer
        )

    async def test_outage_hides_what_became_of_an_earlier_try(
        self, world: World
    ) -> None:
        await world.order(world.first)
        world.table.is_down = True
        repeat = make_request('r2', attempt=1)
        assert reason_of(await world.order(world.second, repeat)) == (
            Outcome.UNKNOWN,
            RefusalReason.CLAIM_UNAVAILABLE,
        )

    async def test_outage_at_the_record_keeps_the_answer_and_the_claim(
        self, world: World
    ) -> None:
        world.upstream.on_run = world.start_outage
        end = await world.order(world.first)
        assert await read_whole(end) == b'receipt'
        world.table.is_down = False
        again = await world.order(world.second)
        assert reason_of(again)[0] is Outcome.UNKNOWN
        await world.first.drain()
        again = await world.order(world.second)
        assert await read_whole(again) == b'receipt'
        assert len(world.upstream.runs) == 1

    async def test_outage_at_the_release_is_made_up_for(
        self, world: World
    ) -> None:
        world.upstream.refuses = True
        assert reason_of(await world.order(world.first))[0] is Outcome.NOT_RUN
        world.upstream.refuses = False
        assert reason_of(await world.order(world.second))[0] is (
            Outcome.UNKNOWN
        )
        world.table.lost_answers = 1
        await world.first.drain()
        assert isinstance(await world.order(world.second), CallAnswer)


class TestAnswer:
    async def test_that_breaks_off_leaves_the_outcome_unknown(
        self, world: World
    ) -> None:
        world.upstream.chunks = break_off()
        end = await world.order(world.first)
        assert reason_of(end) == (Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
        await world.first.drain()
        again = await world.order(world.second)
        assert reason_of(again)[0] is Outcome.UNKNOWN
        assert len(world.upstream.runs) == 1

    async def test_too_large_to_keep_is_closed_when_its_caller_leaves(
        self, world: World
    ) -> None:
        world.first.flow.kept_bytes = 2
        inner = chunks_of(b'abcdefgh')
        world.upstream.chunks = inner
        end = await world.order(world.first)
        assert isinstance(end, CallAnswer)
        assert await anext(end.chunks) == b'abcd'
        await end.chunks.aclose()
        with pytest.raises(StopAsyncIteration):
            await anext(inner)
