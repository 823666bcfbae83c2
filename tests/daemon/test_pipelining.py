"""Tests of calls that arrive before the response to an earlier one."""

import socket
from functools import partial

import anyio
import pytest
from cowslippond_core import CallRefusal, Outcome, RefusalReason
from cowslippond_daemon._caller_protocol import CallerProtocol, HeadLimits
from cowslippond_daemon._edge import Edge, IncomingCall
from cowslippond_daemon._servers import make_server

pytestmark = pytest.mark.anyio

CALL = b'GET /orders HTTP/1.1\r\nhost: shop.example\r\n\r\n'
REFUSAL = CallRefusal(Outcome.NOT_RUN, RefusalReason.NO_SERVICE, 50)
IDLE_SECONDS = 60
# The test fails after this time instead of hanging.
TIMEOUT_SECONDS = 5
MOST_RESPONSES = 20
STATUS_LINE = b'HTTP/1.1 404 '


class WaitingRouter:
    """Refuses calls once it is told to."""

    def __init__(self) -> None:
        self.may_respond = anyio.Event()

    async def check_head(self, _: IncomingCall) -> CallRefusal | None:
        return REFUSAL

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Record nothing."""

    async def serve_call(self, _: IncomingCall) -> CallRefusal:
        await self.may_respond.wait()
        return REFUSAL


async def receive_responses(caller: socket.socket, count: int) -> bytes:
    """Return what arrives until there are ``count`` responses or no more."""
    received = b''
    chunk = b''
    while chunk or not received:
        await anyio.wait_readable(caller)
        chunk = caller.recv(65536)
        received += chunk
        if received.count(STATUS_LINE) == count:
            break
    return received


async def send_pipelined(count: int) -> bytes:
    """Return the responses to calls that are sent at once, up to the close."""
    router = WaitingRouter()
    server = make_server(
        Edge(router, IDLE_SECONDS),
        '127.0.0.1:0',
        IDLE_SECONDS,
        partial(CallerProtocol, HeadLimits(lambda _: None)),
    )
    received = b''
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.started:
                await anyio.sleep(0.01)
        address = server.servers[0].sockets[0].getsockname()
        with socket.create_connection(address) as caller:
            caller.sendall(CALL * count)
            caller.setblocking(False)
            await anyio.sleep(0.1)
            router.may_respond.set()
            with anyio.fail_after(TIMEOUT_SECONDS):
                received = await receive_responses(caller, count)
        server.should_exit = True
    return received


class TestPipelining:
    async def test_some_calls_are_answered_on_an_open_connection(self) -> None:
        """A limit on calls in advance must not refuse a few of them."""
        received = await send_pipelined(5)
        assert received.count(STATUS_LINE) == 5
        assert b'connection: close' not in received

    async def test_calls_that_wait_are_limited(self) -> None:
        """One connection filled the memory with calls that waited their turn.

        A caller that sent short calls without a pause took 370 MB in 3 s.
        """
        received = await send_pipelined(1000)
        responses = received.count(STATUS_LINE)
        assert responses == received.count(b'HTTP/1.1 ')
        assert 0 < responses <= MOST_RESPONSES
        assert received.count(b'connection: close') == 1
