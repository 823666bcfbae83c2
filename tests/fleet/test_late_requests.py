"""No request that may not be repeated is cut at the end of a planned stop.

Operators of other load balancers saw requests that came late in the time of a
stop passed on, and cut without an answer as the process ended.
"""

import anyio
import pytest
from anyio.abc import SocketStream
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

BODY = b'order=1234'
HEAD = (
    b'POST /orders/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: %b\r\n'
    b'content-length: 10\r\n\r\n'
)
# Equals ``grace_s`` in the deployment's settings.
GRACE_MS = 6000
ANSWER_SECONDS = 7


async def start_shop(
    fleet: FleetDeployment, work_ms: float, timeout: float
) -> Node:
    """Start a daemon to stop and another one, with two slots for orders."""
    await fleet.add_backend('checkout', work_ms, DOMAINS[0])
    fleet.configure(
        {
            'orders': route(
                'checkout',
                prefix='/orders/',
                is_idempotent=False,
                timeout=timeout,
            )
        }
    )
    node, _ = await fleet.add_nodes(DOMAINS[:2])
    return node


async def read_status(stream: SocketStream) -> bytes:
    """Return the status of a complete answer, or ``b''`` if it was cut."""
    received = b''
    with anyio.fail_after(ANSWER_SECONDS):
        try:
            while b'\r\n\r\n' not in received:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return b''
    return received.split(b' ')[1]


class TestLateOrders:
    async def test_order_whose_body_ends_late_in_the_stop(
        self, fleet: FleetDeployment
    ) -> None:
        node = await start_shop(fleet, work_ms=1500, timeout=4000)
        async with await anyio.connect_tcp(*node.caller_address) as stream:
            await stream.send(HEAD % b'late')
            await anyio.sleep(0.2)
            node.child.terminate()
            for number in BODY:
                # A longer silence would end the order for another reason.
                await anyio.sleep(0.42)
                await stream.send(bytes([number]))
            assert await read_status(stream) == b'503'
        assert await node.child.wait(GRACE_MS) == 0
        assert not fleet.backends[0].runs

    async def test_orders_that_wait_for_a_slot_as_the_stop_begins(
        self, fleet: FleetDeployment
    ) -> None:
        node = await start_shop(fleet, work_ms=2800, timeout=9000)
        caller = Caller(
            node.name, node.caller_address, fleet.tasks, fleet.clock
        )

        async def send_order(number: int) -> None:
            await caller.send_request(
                f'o{number}', '/orders/1', method='POST', deadline=9000
            )

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(send_order, number)
            await anyio.sleep(0.3)
            node.child.terminate()
        verdicts = [result.verdict for result in caller.call_results]
        assert set(verdicts) <= {Verdict.GOOD, Verdict.NOT_RUN}
        assert verdicts.count(Verdict.GOOD) == 2
        assert await node.child.wait(GRACE_MS) == 0

    async def test_orders_on_an_open_connection_until_the_process_is_gone(
        self, fleet: FleetDeployment
    ) -> None:
        """Callers that reconnect whenever the daemon closes."""
        node = await start_shop(fleet, work_ms=1500, timeout=4000)
        statuses: list[bytes] = []

        async def send_order(number: int) -> None:
            try:
                stream = await anyio.connect_tcp(*node.caller_address)
            except OSError:
                return
            async with stream:
                await stream.send(HEAD % b'k%d' % number + BODY)
                statuses.append(await read_status(stream))

        node.child.terminate()
        async with anyio.create_task_group() as tasks:
            for number in range(24):
                tasks.start_soon(send_order, number)
                await anyio.sleep(0.2)
        assert set(statuses) <= {b'200', b'503'}
        assert b'503' in statuses
        assert await node.child.wait(GRACE_MS) == 0
