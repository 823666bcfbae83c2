"""Admission of uploads, without a network."""

import math

import anyio
import pytest
from cowslippond_core import RefusalReason
from cowslippond_core._clock import Clock
from cowslippond_core.placing import UploadGate, UploadProgress
from cowslippond_core.placing._upload_gate import upload_limit

pytestmark = pytest.mark.anyio

# Connections and the uploads that may use them.
LIMITS = ((0, 1), (2, 1), (10, 5), (128, 64), (3000, 64))


class SteppedClock(Clock):
    def __init__(self) -> None:
        self.time: float = 0

    def now(self) -> float:
        return self.time


async def enter(gate: UploadGate, deadline: float = math.inf) -> UploadProgress:
    progress = await gate.enter(deadline)
    assert isinstance(progress, UploadProgress)
    return progress


class TestUploadLimit:
    @pytest.mark.parametrize(('connections', 'limit'), LIMITS)
    def test_leaves_connections_to_short_calls(
        self, connections: int, limit: int
    ) -> None:
        assert upload_limit(connections) == limit


class TestUploadGate:
    async def test_waiting_uploads_are_admitted_in_order(self) -> None:
        gate = UploadGate(lambda: 2, Clock())
        first = await enter(gate)
        admitted: list[str] = []

        async def wait(name: str) -> None:
            gate.leave(await enter(gate))
            admitted.append(name)

        async with anyio.create_task_group() as tasks:
            for name in ('a', 'b', 'c'):
                tasks.start_soon(wait, name)
                await anyio.wait_all_tasks_blocked()
            assert not admitted
            gate.leave(first)
        assert admitted == ['a', 'b', 'c']
        assert not gate.running

    async def test_waits_no_longer_than_the_deadline(self) -> None:
        clock = Clock()
        gate = UploadGate(lambda: 2, clock)
        await enter(gate)
        assert await gate.enter(clock.now() + 50) is RefusalReason.DEADLINE
        assert not gate.waiting

    async def test_cancelled_upload_leaves_no_trace(self) -> None:
        """A caller that disconnects while it waits must not keep a turn."""
        gate = UploadGate(lambda: 2, Clock())
        first = await enter(gate)
        with anyio.move_on_after(0.05):
            await gate.enter(math.inf)
        assert not gate.waiting
        gate.leave(first)
        assert not gate.running

    async def test_too_many_waiting_uploads_are_refused(self) -> None:
        """Each holds a buffered part of its body."""
        gate = UploadGate(lambda: 2, Clock())
        await enter(gate)
        async with anyio.create_task_group() as tasks:
            for _ in range(64):
                tasks.start_soon(gate.enter, math.inf)
            await anyio.wait_all_tasks_blocked()
            assert await gate.enter(math.inf) is RefusalReason.QUEUE_FULL
            tasks.cancel_scope.cancel()

    async def test_more_connections_are_noticed(self) -> None:
        """A daemon that has just started assumes a large fleet."""
        connections = 2
        gate = UploadGate(lambda: connections, Clock())
        await enter(gate)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(enter, gate)
            await anyio.wait_all_tasks_blocked()
            connections = 4
            with anyio.fail_after(2):
                while len(gate.running) < 2:
                    await anyio.sleep(0.01)


class TestFastUploads:
    async def test_are_few(self) -> None:
        gate = UploadGate(lambda: 1000, Clock())
        for _ in range(8):
            await enter(gate)
        with anyio.move_on_after(0.05):
            await gate.enter(math.inf)
        assert len(gate.running) == 8

    async def test_slow_uploads_do_not_hold_up_others(self) -> None:
        """Eight slow callers must not block all other uploads."""
        clock = SteppedClock()
        gate = UploadGate(lambda: 1000, clock)
        for _ in range(40):
            progress = await enter(gate)
            progress.passed_bytes += 10_000
            clock.time += 2000 / 7

    @pytest.mark.parametrize(
        ('passed_bytes', 'is_fast'), [(79_999, False), (80_000, True)]
    )
    async def test_use_half_of_a_slow_link(
        self, passed_bytes: int, is_fast: bool
    ) -> None:
        """Eight of them at 40 KB/s take 2.5 of 5 Mbit/s."""
        progress = UploadProgress(0)
        progress.passed_bytes = passed_bytes
        assert progress.is_fast(1999)
        assert progress.is_fast(2000) is is_fast
