"""Tests for pushing crash updates when a connection breaks during a call."""

from typing import NamedTuple

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from cowslippond_core import Clock, Quarantine
from cowslippond_core._attempt import AnswerLost
from cowslippond_core._crash_watch import watch_crash
from cowslippond_core._exchange import ExchangeFault

pytestmark = pytest.mark.anyio

CLOSED = AnswerLost(ExchangeFault.CLOSED)


class IntactConnections(NamedTuple):
    """Connections of which only that of the call has broken."""

    clock: Clock

    def were_all_closed(self, since: float) -> bool:
        return False


class RunningUpstream(NamedTuple):
    address: str
    connections: IntactConnections


async def stay_open(stream: SocketStream) -> None:
    async with stream:
        await anyio.sleep(10)


async def count_pushes(*, may_retry: bool) -> int:
    """Break a connection of an upstream that accepts connections again.

    Return how often updates were pushed.
    """
    clock = Clock()
    quarantine = Quarantine(clock)
    pushes: list[None] = []

    async def push() -> None:
        pushes.append(None)

    quarantine.push_updates = push
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        tasks.start_soon(listener.serve, stay_open)
        port = listener.extra(SocketAttribute.local_port)
        upstream = RunningUpstream(
            f'127.0.0.1:{port}', IntactConnections(clock)
        )
        quarantine.record_break(upstream.address, 'f')
        await watch_crash(quarantine, upstream, CLOSED, may_retry=may_retry)
        tasks.cancel_scope.cancel()
    return len(pushes)


class TestUncertainCrash:
    async def test_is_pushed_before_the_caller_of_a_single_send_gets_the_loss(
        self,
    ) -> None:
        """Otherwise, callers repeat the call at daemons without the update."""
        assert await count_pushes(may_retry=False) == 1

    async def test_does_not_delay_a_call_that_is_retried(self) -> None:
        assert await count_pushes(may_retry=True) == 0
