"""Tests of how the connections of callers are closed on a planned stop."""

import contextlib
import socket
from collections.abc import AsyncIterator
from functools import partial

import anyio
import pytest
from cowslippond_core import CallRefusal, Outcome, RefusalReason
from cowslippond_daemon._caller_protocol import CallerProtocol, HeadLimits
from cowslippond_daemon._edge import Edge, IncomingCall
from cowslippond_daemon._servers import DaemonServer, make_server

pytestmark = pytest.mark.anyio

CALL = b'GET /orders HTTP/1.1\r\nhost: shop.example\r\n\r\n'
REFUSAL = CallRefusal(Outcome.NOT_RUN, RefusalReason.NO_SERVICE, 50)
IDLE_SECONDS = 60
# The test fails after this time instead of hanging.
TIMEOUT_SECONDS = 5


class RefusingRouter:
    """Refuses all calls."""

    async def check_head(self, _: IncomingCall) -> CallRefusal | None:
        return REFUSAL

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Record nothing."""

    async def serve_call(self, _: IncomingCall) -> CallRefusal:
        return REFUSAL


class Caller:
    """A caller whose bytes are sent without giving control to the server."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address)
        self.socket.setblocking(False)

    async def receive(self) -> bytes:
        with anyio.fail_after(TIMEOUT_SECONDS):
            await anyio.wait_readable(self.socket)
        return self.socket.recv(65536)


class StoppingServer:
    """The server of an edge, and a caller with an idle connection."""

    def __init__(self, edge: Edge, server: DaemonServer) -> None:
        self.edge = edge
        self.server = server
        port: int = server.servers[0].sockets[0].getsockname()[1]
        self.caller = Caller(('127.0.0.1', port))

    def stop(self) -> None:
        self.edge.is_leaving = True
        self.edge.refuses_calls = True
        self.server.close_idle()


@contextlib.asynccontextmanager
async def run_server() -> AsyncIterator[StoppingServer]:
    edge = Edge(RefusingRouter(), IDLE_SECONDS)
    server = make_server(
        edge,
        '127.0.0.1:0',
        IDLE_SECONDS,
        partial(CallerProtocol, HeadLimits(lambda _: None)),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.started:
                await anyio.sleep(0.01)
        stopping = StoppingServer(edge, server)
        with contextlib.closing(stopping.caller.socket):
            stopping.caller.socket.send(CALL)
            assert await stopping.caller.receive()
            yield stopping
        server.should_exit = True


class TestPlannedStop:
    async def test_answers_a_call_that_has_arrived_unread(self) -> None:
        """The connection was reset, so the caller had no promise."""
        async with run_server() as stopping:
            stopping.caller.socket.send(CALL)
            stopping.stop()
            response = await stopping.caller.receive()
            assert response.startswith(b'HTTP/1.1 503 ')
            assert b'connection: close' in response
            assert not await stopping.caller.receive()

    async def test_answers_a_call_whose_headers_are_arriving(self) -> None:
        """The connection was closed in the middle of the headers."""
        async with run_server() as stopping:
            stopping.caller.socket.send(CALL[:20])
            await anyio.sleep(0.1)
            stopping.stop()
            stopping.caller.socket.send(CALL[20:])
            response = await stopping.caller.receive()
            assert response.startswith(b'HTTP/1.1 503 ')
            assert not await stopping.caller.receive()

    async def test_closes_an_idle_connection(self) -> None:
        """A connection without a call must not delay the stop."""
        async with run_server() as stopping:
            stopping.stop()
            assert not await stopping.caller.receive()

    async def test_closes_a_connection_after_bytes_of_no_call(self) -> None:
        """Bytes that begin no call must not keep the connection open."""
        async with run_server() as stopping:
            stopping.caller.socket.send(b'\r\n')
            stopping.stop()
            assert not await stopping.caller.receive()
