"""Tests of the fault proxy, observed from the client and the upstream."""

import anyio
import httpcore
import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    LinkHandle,
    UpstreamHandle,
    UpstreamPlan,
)

pytestmark = pytest.mark.anyio

CUT = -1
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


@pytest.fixture
async def upstream(deployment: Deployment) -> UpstreamHandle:
    return (await deployment.add_upstreams(UpstreamPlan('s'), ['d']))[0]


@pytest.fixture
async def link(deployment: Deployment, upstream: UpstreamHandle) -> LinkHandle:
    return await deployment.proxy.open('link', upstream.address)


def url_of(link: LinkHandle) -> str:
    return f'http://{link.address}/x?work=1&nonce=n&size=50000'


async def get(link: LinkHandle) -> int:
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request('GET', url_of(link))
        assert answer.content == b'n' * 50_000
        return answer.status


async def collect(link: LinkHandle, statuses: list[int]) -> None:
    try:
        statuses.append(await get(link))
    except CONNECTION_ERRORS:
        statuses.append(CUT)


async def run_count(upstream: UpstreamHandle) -> int:
    ledger = await upstream.ledger()
    return len(ledger['runs'])


class TestFaults:
    async def test_answer_is_dropped_after_request_was_forwarded(
        self, deployment: Deployment, link: LinkHandle, upstream: UpstreamHandle
    ) -> None:
        await deployment.proxy.command('faults', link, drop_answers=1)
        with pytest.raises(CONNECTION_ERRORS):
            await get(link)
        assert await run_count(upstream) == 1
        counters = await deployment.proxy.counters(link)
        assert counters['answers_dropped'] == 1
        assert await get(link) == 200

    async def test_answer_is_cut_in_the_middle(
        self, deployment: Deployment, link: LinkHandle
    ) -> None:
        await deployment.proxy.command('faults', link, cut_after_bytes=20_000)
        with pytest.raises(CONNECTION_ERRORS):
            await get(link)
        counters = await deployment.proxy.counters(link)
        assert counters['cut_in_answer'] == 1

    async def test_held_answer_arrives_after_release(
        self, deployment: Deployment, link: LinkHandle, upstream: UpstreamHandle
    ) -> None:
        await deployment.proxy.command('faults', link, holding=True)
        statuses: list[int] = []
        async with anyio.create_task_group() as group:
            group.start_soon(collect, link, statuses)
            while not (await deployment.proxy.counters(link)).get('held'):
                await anyio.sleep(0.01)
            assert not statuses
            await deployment.proxy.command('release', link)
        assert statuses == [200]
        assert await run_count(upstream) == 1

    async def test_existing_connections_go_silent_and_new_ones_work(
        self, deployment: Deployment, link: LinkHandle, upstream: UpstreamHandle
    ) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request('GET', url_of(link))
            await deployment.proxy.command('silence', link, directions=['up'])
            with pytest.raises(httpcore.ReadTimeout):
                await pool.request(
                    'GET', url_of(link), extensions={'timeout': {'read': 0.3}}
                )
            assert await get(link) == 200
        assert await run_count(upstream) == 2
        counters = await deployment.proxy.counters(link)
        assert counters['bytes_lost'] > 0

    async def test_new_connections_are_refused(
        self, deployment: Deployment, link: LinkHandle, upstream: UpstreamHandle
    ) -> None:
        await deployment.proxy.command('faults', link, refuse_new=True)
        with pytest.raises(CONNECTION_ERRORS):
            await get(link)
        assert await run_count(upstream) == 0

    async def test_cut_ends_running_calls(
        self, deployment: Deployment, link: LinkHandle, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(slowdown=100_000)
        statuses: list[int] = []
        async with anyio.create_task_group() as group:
            group.start_soon(collect, link, statuses)
            while await run_count(upstream) == 0:
                await anyio.sleep(0.01)
            await deployment.proxy.command('cut', link, mode='fin')
        assert statuses == [CUT]
