"""Tests for admission: queue, deadlines, adaptive limit and batch throttle."""

import anyio
import pytest
from cowslippond_core import Clock, LimitPolicy, Priority, RefusalReason
from cowslippond_core._batch_throttle import BatchThrottle
from cowslippond_core._limits import Limiter

pytestmark = pytest.mark.anyio


def _limiter(concurrency: int, queue: int) -> Limiter:
    return Limiter(LimitPolicy(concurrency, queue), Clock())


def _soon() -> float:
    return Clock().now() + 5000


class TestQueue:
    async def test_calls_beyond_the_queue_are_refused(self) -> None:
        limiter = _limiter(1, 1)
        assert await limiter.admit(_soon(), 0) is None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(limiter.admit, _soon(), 0)
            await anyio.sleep(0.01)
            refused = await limiter.admit(_soon(), 0)
            assert refused is RefusalReason.QUEUE_FULL
            limiter.release()
        assert limiter.running == 1

    async def test_waiting_call_is_refused_at_its_deadline(self) -> None:
        limiter = _limiter(1, 1)
        await limiter.admit(_soon(), 0)
        refused = await limiter.admit(Clock().now() + 30, 0)
        assert refused is RefusalReason.DEADLINE
        assert not limiter.waiting

    async def test_cancelled_call_leaves_the_queue(self) -> None:
        limiter = _limiter(1, 1)
        await limiter.admit(_soon(), 0)
        with anyio.move_on_after(0.02):
            await limiter.admit(_soon(), 0)
        assert not limiter.waiting
        limiter.release()
        assert limiter.running == 0


class TestDeadline:
    async def test_deadline_that_cannot_be_met_is_refused(self) -> None:
        limiter = _limiter(4, 4)
        refused = await limiter.admit(Clock().now() + 50, 100)
        assert refused is RefusalReason.DEADLINE
        assert limiter.running == 0

    async def test_call_with_too_long_an_expected_wait_is_refused(self) -> None:
        limiter = _limiter(1, 4)
        await limiter.admit(_soon(), 0)
        limiter.hold_time = 60000
        refused = await limiter.admit(_soon(), 0)
        assert refused is RefusalReason.DEADLINE


class TestAdaptiveLimit:
    async def test_decreases_while_upstreams_are_full_and_recovers(
        self,
    ) -> None:
        limiter = _limiter(10, 0)
        for _ in range(10):
            await limiter.admit(_soon(), 0)
        limiter.record_full()
        assert limiter.limit == 8
        assert await limiter.admit(_soon(), 0) is RefusalReason.QUEUE_FULL
        for _ in range(200):
            limiter.record_answer(1)
        assert limiter.limit == 10


class TestBatchThrottle:
    async def test_batch_yields_while_interactive_calls_wait(self) -> None:
        throttle = BatchThrottle()
        limiter = _limiter(16, 0)
        throttle.record_wait(Priority.INTERACTIVE, 1000)
        throttle.apply(limiter, Priority.BATCH, 1500)
        admitted = [await limiter.admit(_soon(), 0) for _ in range(16)]
        assert admitted.count(None) == 2
        throttle.apply(limiter, Priority.BATCH, 2500)
        assert await limiter.admit(_soon(), 0) is None

    async def test_batch_still_makes_progress(self) -> None:
        throttle = BatchThrottle()
        limiter = _limiter(2, 0)
        throttle.record_wait(Priority.INTERACTIVE, 1000)
        throttle.apply(limiter, Priority.BATCH, 1500)
        assert await limiter.admit(_soon(), 0) is None

    async def test_waiting_batch_calls_do_not_throttle_others(self) -> None:
        throttle = BatchThrottle()
        limiter = _limiter(16, 0)
        throttle.record_wait(Priority.BATCH, 1000)
        throttle.apply(limiter, Priority.BATCH, 1500)
        assert limiter.usable_ratio == 1
