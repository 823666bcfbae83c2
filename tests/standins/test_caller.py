"""The caller that tests of fleets use."""

import time

import anyio
import pytest
from cowslippond_core import Clock
from cowslippond_standins._address import Address
from cowslippond_standins.fleet import Backend, Caller, Verdict

pytestmark = pytest.mark.anyio

PAUSE_SECONDS = 0.4


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
