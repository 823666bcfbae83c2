"""Tests of hedging, silent connections and cancellation."""

import anyio
import pytest
from core.scripted_upstream import (
    DOCUMENT,
    ScriptedUpstream,
    SenderHarness,
    answer_bytes,
    script_of,
    sender_harness,
)
from cowslippond_core import CallAnswer, RetryReason
from cowslippond_core._document import HedgePolicy, RetryBudget

pytestmark = pytest.mark.anyio

_OK = script_of(answer_bytes(b'ok'))
_LATE = script_of(400.0, answer_bytes(b'late'))
_SILENT = script_of(60000.0)
_HEDGED = DOCUMENT._replace(hedging=HedgePolicy(0.5, 30))
_UNHEDGED = DOCUMENT._replace(
    hedging=HedgePolicy(0, 30), retries=RetryBudget(0.5)
)


def _in_flight(harness: SenderHarness) -> int:
    upstreams = harness.service.upstreams.by_address.values()
    return sum(upstream.in_flight for upstream in upstreams)


async def _wait_until_disconnected(upstream: ScriptedUpstream) -> None:
    with anyio.fail_after(5):
        while not upstream.cut_connections:
            await anyio.sleep(0.01)


class TestHedge:
    async def test_hedge_wins_over_a_late_answer(self) -> None:
        upstreams = ScriptedUpstream(_LATE), ScriptedUpstream(_OK)
        async with sender_harness(*upstreams, document=_HEDGED) as harness:
            answers = [await harness.call() for _ in range(4)]
            assert _in_flight(harness) == 0
        assert set(answers) == {b'ok'}
        assert RetryReason.HEDGE in harness.retries

    async def test_losing_attempt_is_cancelled(self) -> None:
        slow = ScriptedUpstream(_LATE)
        async with sender_harness(
            slow, ScriptedUpstream(_OK), document=_HEDGED
        ) as harness:
            while not slow.calls:
                assert await harness.call() == b'ok'
            await _wait_until_disconnected(slow)

    async def test_silent_upstream_is_ejected_despite_hedges(self) -> None:
        """Hedges must not hide an upstream that never answers from ejection.

        The hedge wins and the silent attempt is cancelled, so that it never
        ends with a result that counts as a failure.
        """
        silent = ScriptedUpstream(_SILENT)
        others = [ScriptedUpstream(_OK) for _ in range(3)]
        async with sender_harness(silent, *others, document=_HEDGED) as harness:
            state = harness.service.upstreams.by_address[silent.address]
            for _ in range(200):
                assert await harness.call() == b'ok'
                if state.health.ejections:
                    break
            assert state.health.ejections
            assert len(silent.calls) == 3

    async def test_non_idempotent_call_is_never_hedged(self) -> None:
        upstreams = ScriptedUpstream(_LATE), ScriptedUpstream(_LATE)
        async with sender_harness(*upstreams, document=_HEDGED) as harness:
            assert await harness.call(is_idempotent=False) == b'late'
        assert sum(len(upstream.calls) for upstream in upstreams) == 1


class TestSilentConnections:
    async def test_all_older_connections_are_closed(self) -> None:
        upstream = ScriptedUpstream(
            script_of(50.0, answer_bytes(b'ok')),
            script_of(50.0, answer_bytes(b'ok')),
            _SILENT,
            _OK,
        )
        async with sender_harness(upstream, document=_UNHEDGED) as harness:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.call)
                tasks.start_soon(harness.call)
            assert upstream.connections == 2
            await harness.call()
            connections = next(
                iter(harness.service.upstreams.by_address.values())
            ).connections
            assert await harness.call() == b'ok'
            assert upstream.connections == 3
            assert len(connections.open) == 1


class TestCancellation:
    async def test_caller_disconnect_cancels_the_call(self) -> None:
        upstream = ScriptedUpstream(_SILENT)
        async with sender_harness(upstream) as harness:
            with anyio.move_on_after(0.2):
                await harness.call()
            assert len(upstream.calls) == 1
            assert _in_flight(harness) == 0
            assert harness.service.limiter.running == 0

    async def test_caller_disconnect_cancels_the_hedge_too(self) -> None:
        upstreams = ScriptedUpstream(_LATE), ScriptedUpstream(_LATE)
        async with sender_harness(*upstreams, document=_HEDGED) as harness:
            with anyio.move_on_after(0.25):
                await harness.call()
            assert [len(upstream.calls) for upstream in upstreams] == [1, 1]
            assert _in_flight(harness) == 0
            assert harness.service.limiter.running == 0
            for upstream in upstreams:
                await _wait_until_disconnected(upstream)

    async def test_closing_the_body_early_ends_the_call(self) -> None:
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab'
        upstream = ScriptedUpstream(script_of(head, 60000.0))
        async with sender_harness(upstream) as harness:
            answer = await harness.sender.send(
                harness.service, harness.request()
            )
            assert isinstance(answer, CallAnswer)
            assert harness.service.limiter.running == 1
            await answer.chunks.aclose()
            assert _in_flight(harness) == 0
            assert harness.service.limiter.running == 0
