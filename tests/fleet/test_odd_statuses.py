"""A back end answers with a status that is none of a final answer.

Callers must get an answer of the daemon instead, or that of another back end, and
never a body that is not the whole of one answer.
"""

import re

import anyio
import pytest
from anyio.abc import SocketStream
from cowslippond_standins.fleet import FleetDeployment, Node, Verdict
from fleet.shop import fail_calls, make_caller, start_shop

pytestmark = pytest.mark.anyio

STATUSES = (
    b'000 Unknown',
    b'001 Odd',
    b'099 Odd',
    b'101 Switching Protocols',
    b'600 Odd',
    b'999 Odd',
)
FINAL = re.compile(rb'HTTP/1.1 [2-5]\d\d ')
LOOKUPS = 12
DEADLINE = 2000


async def read_to_end(stream: SocketStream) -> bytes:
    received = b''
    while True:
        try:
            received += await stream.receive()
        except anyio.EndOfStream:
            return received


async def place_order(node: Node) -> bytes:
    """Send an order on a new connection; return all that comes back."""
    async with await anyio.connect_tcp(*node.caller_address) as stream:
        await stream.send(
            b'POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: o\r\nx-deadline-ms: %d\r\n'
            b'connection: close\r\ncontent-length: 0\r\n\r\n' % DEADLINE
        )
        with anyio.fail_after(5):
            return await read_to_end(stream)


class TestBodilessStatus:
    @pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
    async def test_with_a_length_leaves_the_connection_open(
        self, fleet: FleetDeployment, status: bytes
    ) -> None:
        """The connection was closed, and 204 had the length of a body."""
        node = (await start_shop(fleet))[0]
        fail_calls(fleet, status)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            for number in range(2):
                await stream.send(
                    b'GET /prints/1 HTTP/1.1\r\nhost: shop.example\r\n'
                    b'x-request-id: p%d\r\n\r\n' % number
                )
                with anyio.fail_after(5):
                    received = await stream.receive()
                assert received.startswith(b'HTTP/1.1 %b' % status[:3])
                assert received.endswith(b'\r\n\r\n')
                assert b'content-length' not in received


class TestOddStatus:
    @pytest.mark.parametrize('status', STATUSES)
    async def test_of_an_order_reaches_no_caller(
        self, fleet: FleetDeployment, status: bytes
    ) -> None:
        """Its connection was closed without an answer, or at its deadline."""
        node = (await start_shop(fleet))[0]
        fail_calls(fleet, status)
        sent_at = fleet.clock.now()
        received = await place_order(node)
        assert fleet.clock.now() - sent_at < DEADLINE / 2
        assert FINAL.match(received), received
        assert received.startswith(b'HTTP/1.1 504 ')
        assert b'x-outcome: unknown' in received
        runs = [run for backend in fleet.backends for run in backend.runs]
        assert len(runs) == 1

    @pytest.mark.parametrize('status', STATUSES)
    async def test_of_a_lookup_is_retried_elsewhere(
        self, fleet: FleetDeployment, status: bytes
    ) -> None:
        node = (await start_shop(fleet))[0]
        fail_calls(fleet, status, count=1)
        caller = make_caller(fleet, node)
        for number in range(LOOKUPS):
            await caller.send_request(f'p{number}', f'/prints/{number}')
        verdicts = {one.verdict for one in caller.call_results}
        assert verdicts == {Verdict.GOOD}
