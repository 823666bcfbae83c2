"""The caller that tests of fleets use."""

import time

import anyio
import pytest
from cowslippond_core import Clock
from cowslippond_standins._address import Address
from cowslippond_standins.fleet import Backend, Caller, CallResult, Verdict

pytestmark = pytest.mark.anyio

PAUSE_SECONDS = 0.4
WORK = 100
DEADLINE = 300


async def pause_during_connect() -> None:
    """Stop this process after the caller began to connect."""
    await anyio.lowlevel.checkpoint()
    hold_up()


def hold_up() -> None:
    time.sleep(PAUSE_SECONDS)


class TestCaller:
    async def test_pause_while_connecting_is_no_closed_connection(self) -> None:
        """Soak seed 46 took it for a call that the daemon had cut.

        The caller gave up connecting after 250 ms, less than callers of the
        platform do, because the process of the test itself had been held up.
        """
        clock = Clock()
        async with anyio.create_task_group() as tasks:
            backend = Backend('b', 1, clock)
            await tasks.start(backend.serve)
            caller = Caller(
                'b', Address('127.0.0.1', backend.port), tasks, clock
            )
            tasks.start_soon(pause_during_connect)
            result = await caller.send_request('r', '/prints/1')
            tasks.cancel_scope.cancel()
        assert result.verdict is Verdict.GOOD

    async def test_pause_while_the_answer_arrives_is_no_silence(self) -> None:
        """A pause of two seconds made answered calls silent ones.

        After it, the timer of the deadline ran before the answer was read.
        """
        result = await call_backend(hang=0, pause=True)
        assert result.verdict is Verdict.GOOD

    @pytest.mark.parametrize('pause', [True, False])
    async def test_call_without_an_answer_is_silent(self, pause: bool) -> None:
        """Some were called closed, as the timer fired a little early."""
        result = await call_backend(hang=1, pause=pause)
        assert result.verdict is Verdict.SILENT
        assert result.duration >= DEADLINE


async def call_backend(hang: float, *, pause: bool) -> CallResult:
    """Return the result of a call, during which this process may be held up."""
    clock = Clock()
    async with anyio.create_task_group() as tasks:
        backend = Backend('b', WORK, clock)
        backend.faults.hang = hang
        await tasks.start(backend.serve)
        caller = Caller('b', Address('127.0.0.1', backend.port), tasks, clock)
        if pause:
            tasks.start_soon(pause_after_start)
        result = await caller.send_request('r', '/prints/1', deadline=DEADLINE)
        tasks.cancel_scope.cancel()
    return result


async def pause_after_start() -> None:
    await anyio.sleep(DEADLINE / 4000)
    hold_up()
