"""Which calls say nothing about daemons, as the stand-ins were held up."""

import time

import anyio
import pytest
from cowslippond_core import Clock
from cowslippond_standins.fleet import CallResult, Verdict
from cowslippond_standins.fleet._hold_ups import HoldUps

pytestmark = pytest.mark.anyio

PAUSE = 200


def call(sent_at: float, duration: float) -> CallResult:
    return CallResult(
        'r', 'GET', '/', 'front-1', Verdict.FAILED, 504, sent_at, duration
    )


def hold_up() -> None:
    time.sleep(PAUSE / 1000)


class TestHoldUps:
    async def test_calls_during_and_after_a_pause_are_left_out(self) -> None:
        """A pause of 2.2 s made six of six calls fail, none by the daemon."""
        clock = Clock()
        hold_ups = HoldUps(clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold_ups.watch)
            await clock.sleep(50)
            paused_at = clock.now()
            hold_up()
            ended_at = clock.now()
            await clock.sleep(50)
            tasks.cancel_scope.cancel()
        before = call(paused_at - 300, 100)
        later = call(ended_at + PAUSE + 1000, 10)
        calls = [
            before,
            call(paused_at - 50, 300),
            call(ended_at + PAUSE / 2, 10),
            later,
        ]
        assert hold_ups.unaffected(calls) == [before, later]

    async def test_slow_daemon_is_no_pause(self) -> None:
        """All its calls are judged, however long they take."""
        clock = Clock()
        hold_ups = HoldUps(clock)
        slow = call(clock.now(), 2000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(hold_ups.watch)
            await clock.sleep(1)
            tasks.cancel_scope.cancel()
        assert hold_ups.unaffected([slow]) == [slow]
