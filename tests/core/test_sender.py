"""Tests of the way of a call from admission to an upstream's answer."""

import anyio
import pytest
from core.scripted_upstream import (
    DRAINING,
    SHED,
    ScriptedUpstream,
    answer_bytes,
    bench_of,
    plays,
    vm_of,
)
from cowslippond_core import CallRefusal, Outcome, RefusalReason, RetryReason

pytestmark = pytest.mark.anyio

_OK = plays(answer_bytes(b'ok'))
_CLOSE = plays(-1.0)


async def _closed_address() -> str:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return f'127.0.0.1:{port}'


class TestIdempotent:
    async def test_reuses_its_connection(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with bench_of(upstream) as bench:
            for _ in range(3):
                assert await bench.call() == b'ok'
        assert upstream.connections == 1

    async def test_lost_answer_is_retried_elsewhere(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE, _OK)
        async with bench_of(*upstreams, ScriptedUpstream(_OK)) as bench:
            answers = [await bench.call() for _ in range(3)]
        assert set(answers) == {b'ok'}
        assert RetryReason.ANSWER_LOST in bench.retries

    async def test_retry_of_an_outer_level_is_not_multiplied(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE)
        async with bench_of(*upstreams) as bench:
            refusal = await bench.call(attempt=1)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN
        assert sum(len(upstream.calls) for upstream in upstreams) == 1


class TestNonIdempotent:
    async def test_goes_on_a_fresh_connection(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with bench_of(upstream) as bench:
            for _ in range(3):
                assert await bench.call(is_idempotent=False) == b'ok'
        assert upstream.connections == 3

    async def test_lost_answer_is_unknown_and_not_repeated(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE)
        async with bench_of(*upstreams) as bench:
            refusal = await bench.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    @pytest.mark.parametrize('promise', [SHED, DRAINING])
    async def test_is_sent_on_after_a_promise(self, promise: bytes) -> None:
        upstreams = ScriptedUpstream(plays(promise)), ScriptedUpstream(_OK)
        async with bench_of(*upstreams) as bench:
            answers = [await bench.call(is_idempotent=False) for _ in range(4)]
        assert set(answers) == {b'ok'}
        assert bench.retries

    async def test_bare_refusal_is_no_promise(self) -> None:
        bare = answer_bytes(b'', b'HTTP/1.1 503 Service Unavailable')
        upstreams = ScriptedUpstream(plays(bare)), ScriptedUpstream(plays(bare))
        async with bench_of(*upstreams) as bench:
            assert await bench.call(is_idempotent=False) == b''
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    async def test_refused_connection_is_not_run(self) -> None:
        vm = vm_of(await _closed_address())
        async with bench_of(extra=[vm]) as bench:
            refusal = await bench.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is RefusalReason.CONNECT_FAILED


class TestLeaving:
    async def test_leaving_upstream_gets_nothing(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with bench_of(upstream) as bench:
            bench.leaving.add(upstream.address)
            refusal = await bench.call()
        assert isinstance(refusal, CallRefusal)
        assert refusal.reason is RefusalReason.NO_UPSTREAM
        assert not upstream.calls

    async def test_draining_answer_is_reported(self) -> None:
        upstream = ScriptedUpstream(plays(DRAINING))
        async with bench_of(upstream) as bench:
            await bench.call()
        assert bench.left == [(upstream.address, 'answer')]
