"""Answers, ledger, rejections and load reports of the stand-in upstream."""

import anyio
import httpcore
import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import UpstreamHandle, UpstreamPlan

pytestmark = pytest.mark.anyio

LONG_CALL = 'work=60000'
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


@pytest.fixture
async def upstream(deployment: Deployment) -> UpstreamHandle:
    return (await deployment.add_upstreams(UpstreamPlan('s'), ['d']))[0]


async def send(
    upstream: UpstreamHandle, query: str = 'work=1', **headers: str
) -> httpcore.Response:
    url = f'http://{upstream.address}/x?{query}'
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request('POST', url, headers=named, content=b'body')


async def wait_for(upstream: UpstreamHandle, counter: str, count: int) -> None:
    with anyio.fail_after(10):
        while (await upstream.ledger())['counters'].get(counter, 0) < count:
            await anyio.sleep(0.01)


class TestAnswers:
    @pytest.mark.parametrize('size', [0, 1, 70_000])
    @pytest.mark.parametrize('chunked', [0, 1])
    async def test_body_has_the_requested_size_and_nonce(
        self, upstream: UpstreamHandle, size: int, chunked: int
    ) -> None:
        answer = await send(
            upstream, f'work=1&nonce=ab&size={size}&chunked={chunked}'
        )
        assert answer.content == (b'ab' * size)[:size]
        assert (b'x-body-length', b'4') in answer.headers

    async def test_truncated_answer_does_not_end_cleanly(
        self, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(truncate=1)
        with pytest.raises(httpcore.RemoteProtocolError):
            await send(upstream, 'work=1&size=1000')
        runs = (await upstream.ledger())['runs']
        assert [run['outcome'] for run in runs] == ['truncated']


class TestLedger:
    async def test_run_of_an_order_is_recorded(
        self, upstream: UpstreamHandle
    ) -> None:
        await send(upstream, idempotency_key='k', x_caller='till')
        runs = (await upstream.ledger())['runs']
        assert len(runs) == 1
        run = runs[0]
        assert (run['order_key'], run['caller']) == ('k', 'till')
        assert run['outcome'] == 'completed'
        assert run['started'] > 0
        assert run['ended'] >= run['started']

    async def test_closed_connection_cancels_the_run(
        self, upstream: UpstreamHandle
    ) -> None:
        with anyio.move_on_after(0.2):
            await send(upstream, LONG_CALL)
        await wait_for(upstream, 'cancelled', 1)

    async def test_run_continues_if_cancellation_is_ignored(
        self, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(honours_cancel=False)
        with anyio.move_on_after(0.1):
            await send(upstream, 'work=300')
        await wait_for(upstream, 'completed', 1)

    async def test_orders_stay_recorded_after_a_crash(
        self, deployment: Deployment, upstream: UpstreamHandle
    ) -> None:
        with pytest.raises(CONNECTION_ERRORS):
            await send(upstream, idempotency_key='k', x_crash='1')
        assert await upstream.child.wait(5000) != 0
        runs = await deployment.runs()
        assert [run['order_key'] for run in runs] == ['k']

    async def test_keeps_all_records_all_calls_over_a_crash(
        self, deployment: Deployment, upstream: UpstreamHandle
    ) -> None:
        await send(upstream, 'work=1&nonce=ab')
        await upstream.change(keeps_all=True)
        await send(upstream, 'work=1&nonce=cd')
        upstream.child.kill()
        runs = await deployment.runs()
        assert [run['nonce'] for run in runs] == ['cd']


class TestRejections:
    async def test_full_upstream_sheds_and_runs_nothing(
        self, upstream: UpstreamHandle
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(send, upstream, LONG_CALL)
            group.start_soon(send, upstream, LONG_CALL)
            await wait_for(upstream, 'runs', 2)
            answer = await send(upstream)
            group.cancel_scope.cancel()
        assert answer.status == 503
        assert (b'x-not-run', b'shed') in answer.headers
        assert (await upstream.ledger())['counters']['runs'] == 2

    async def test_draining_upstream_runs_nothing(
        self, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(draining=True)
        answer = await send(upstream)
        assert (b'x-not-run', b'draining') in answer.headers
        assert (await upstream.ledger())['runs'] == []

    async def test_call_that_expires_in_the_queue_is_not_run(
        self, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(queue=4, slots=1)
        async with anyio.create_task_group() as group:
            group.start_soon(send, upstream, LONG_CALL)
            await wait_for(upstream, 'runs', 1)
            answer = await send(upstream, x_deadline_ms='50')
            group.cancel_scope.cancel()
        assert (b'x-not-run', b'shed') in answer.headers
        assert (await upstream.ledger())['counters']['runs'] == 1

    async def test_bare_rejection_has_no_not_run_header(
        self, upstream: UpstreamHandle
    ) -> None:
        await upstream.change(fail_fast='bare')
        answer = await send(upstream)
        assert answer.status == 503
        assert b'x-not-run' not in dict(answer.headers)


class TestLoadReport:
    async def test_report_can_be_wrong(self, upstream: UpstreamHandle) -> None:
        await upstream.change(load_report='wrong', report_wrong=77)
        report = dict((await send(upstream)).headers)[b'endpoint-load-metrics']
        assert b'named_metrics.in_flight=77' in report

    async def test_probes_are_recorded(self, upstream: UpstreamHandle) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request('GET', f'http://{upstream.address}/load')
        assert len((await upstream.ledger())['probes']) == 1
