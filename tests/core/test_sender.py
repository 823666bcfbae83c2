"""Tests of sending a call, from admission to an upstream's answer."""

import anyio
import pytest
from core.scripted_upstream import (
    DRAINING,
    SHED,
    ScriptedUpstream,
    answer_bytes,
    make_vm,
    script_of,
    sender_harness,
)
from cowslippond_core import CallRefusal, Outcome, RefusalReason, RetryReason

pytestmark = pytest.mark.anyio

_OK = script_of(answer_bytes(b'ok'))
_CLOSE = script_of(-1.0)


async def _closed_address() -> str:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return f'127.0.0.1:{port}'


class TestIdempotent:
    async def test_reuses_its_connection(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with sender_harness(upstream) as harness:
            for _ in range(3):
                assert await harness.call() == b'ok'
        assert upstream.connections == 1

    async def test_lost_answer_is_retried_elsewhere(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE, _OK)
        async with sender_harness(*upstreams, ScriptedUpstream(_OK)) as harness:
            answers = [await harness.call() for _ in range(3)]
        assert set(answers) == {b'ok'}
        assert RetryReason.ANSWER_LOST in harness.retries

    async def test_retry_by_an_outer_level_is_not_retried_again(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE)
        async with sender_harness(*upstreams) as harness:
            refusal = await harness.call(attempt=1)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN
        assert sum(len(upstream.calls) for upstream in upstreams) == 1


class TestNonIdempotent:
    async def test_uses_a_new_connection(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with sender_harness(upstream) as harness:
            for _ in range(3):
                assert await harness.call(is_idempotent=False) == b'ok'
        assert upstream.connections == 3

    async def test_lost_answer_is_unknown_and_not_retried(self) -> None:
        upstreams = ScriptedUpstream(_CLOSE), ScriptedUpstream(_CLOSE)
        async with sender_harness(*upstreams) as harness:
            refusal = await harness.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    @pytest.mark.parametrize('promise', [SHED, DRAINING])
    async def test_is_resent_after_a_not_run_promise(
        self, promise: bytes
    ) -> None:
        upstreams = ScriptedUpstream(script_of(promise)), ScriptedUpstream(_OK)
        async with sender_harness(*upstreams) as harness:
            answers = [
                await harness.call(is_idempotent=False) for _ in range(4)
            ]
        assert set(answers) == {b'ok'}
        assert harness.retries

    async def test_refusal_without_a_promise_is_not_resent(self) -> None:
        unavailable = answer_bytes(b'', b'HTTP/1.1 503 Service Unavailable')
        upstreams = (
            ScriptedUpstream(script_of(unavailable)),
            ScriptedUpstream(script_of(unavailable)),
        )
        async with sender_harness(*upstreams) as harness:
            assert await harness.call(is_idempotent=False) == b''
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    async def test_refused_connection_is_not_run(self) -> None:
        vm = make_vm(await _closed_address())
        async with sender_harness(extra=[vm]) as harness:
            refusal = await harness.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is RefusalReason.CONNECT_FAILED


class TestLeaving:
    async def test_leaving_upstream_gets_no_calls(self) -> None:
        upstream = ScriptedUpstream(_OK)
        async with sender_harness(upstream) as harness:
            harness.leaving.add(upstream.address)
            refusal = await harness.call()
        assert isinstance(refusal, CallRefusal)
        assert refusal.reason is RefusalReason.NO_UPSTREAM
        assert not upstream.calls

    async def test_draining_answer_is_reported(self) -> None:
        upstream = ScriptedUpstream(script_of(DRAINING))
        async with sender_harness(upstream) as harness:
            await harness.call()
        assert harness.reported_leaving == [(upstream.address, 'answer')]
