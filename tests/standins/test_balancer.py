"""Tests of the balancer stand-in: health checks, lag and round-robin."""

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream
from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import UpstreamHandle, UpstreamPlan
from cowslippond_standins.harness._ports import free_ports

pytestmark = pytest.mark.anyio

# Upstreams serve as backends in place of daemons: they answer any path and
# fail their health check while they are draining.
LAG_MS = 300


@pytest.fixture
async def backends(deployment: Deployment) -> list[UpstreamHandle]:
    plan = UpstreamPlan('s', slots=64)
    return await deployment.add_upstreams(plan, ['d', 'd'])


@pytest.fixture
async def balancer(
    deployment: Deployment, backends: list[UpstreamHandle]
) -> Address:
    port = free_ports(1)
    addresses = [f'{backend.address}/{backend.address}' for backend in backends]
    child = deployment.processes.start(
        'balancer',
        'cowslippond_standins.balancer',
        *addresses,
        f'--port={port}',
        f'--lag-ms={LAG_MS}',
        '--interval-ms=50',
    )
    await deployment.processes.wait_ready(
        child, f'http://127.0.0.1:{port}/ledger'
    )
    return Address('127.0.0.1', port)


async def call(address: Address, order: str) -> int:
    """Send one request on a new connection and return the status."""
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            'GET',
            f'http://{address}/x?work=1',
            headers={'idempotency-key': order},
        )
        return answer.status


async def order_counts(backends: list[UpstreamHandle]) -> list[int]:
    counts = []
    for backend in backends:
        runs = (await backend.ledger())['runs']
        counts.append(len([run for run in runs if run['order_key']]))
    return counts


class TestBalancer:
    async def test_connections_are_balanced_round_robin(
        self, balancer: Address, backends: list[UpstreamHandle]
    ) -> None:
        for _ in range(6):
            assert await call(balancer, 'turn') == 200
        assert await order_counts(backends) == [3, 3]

    async def test_unhealthy_backend_gets_no_connections_after_lag(
        self, balancer: Address, backends: list[UpstreamHandle]
    ) -> None:
        await backends[0].change(draining=True)
        started = anyio.current_time()
        statuses = {await call(balancer, 'early') for _ in range(2)}
        if anyio.current_time() - started < LAG_MS / 1000:
            assert 503 in statuses
        with anyio.fail_after(10):
            while {await call(balancer, 'wait') for _ in range(4)} != {200}:
                await anyio.sleep(0.05)
        before = await order_counts(backends)
        for _ in range(4):
            await call(balancer, 'late')
        after = await order_counts(backends)
        assert after == [before[0], before[1] + 4]

    async def test_first_connection_waits_for_initial_checks(
        self, deployment: Deployment, backends: list[UpstreamHandle]
    ) -> None:
        """Connections are accepted only after the first check of each backend.

        Otherwise a backend that is slow to answer its first health check is
        left out of the first rotations.
        """
        async with anyio.create_task_group() as tasks:
            slow = await anyio.create_tcp_listener(local_host='127.0.0.1')
            tasks.start_soon(slow.serve, answer_health_check_late)
            port = slow.extra(SocketAttribute.local_port)
            address = Address('127.0.0.1', free_ports(1))
            deployment.processes.start(
                'balancer',
                'cowslippond_standins.balancer',
                f'{backends[0].address}/127.0.0.1:{port}',
                f'{backends[1].address}/{backends[1].address}',
                f'--port={address.port}',
            )
            await wait_listening(address)
            for _ in range(6):
                assert await call(address, 'slow') == 200
            tasks.cancel_scope.cancel()
        assert await order_counts(backends) == [3, 3]


async def answer_health_check_late(stream: SocketStream) -> None:
    async with stream:
        await stream.receive()
        await anyio.sleep(0.5)
        await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')


async def wait_listening(address: Address) -> None:
    with anyio.fail_after(10):
        while True:
            try:
                await (
                    await anyio.connect_tcp(address.host, address.port)
                ).aclose()
            except OSError:
                await anyio.sleep(0.01)
                continue
            return
