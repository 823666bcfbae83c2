"""Tests for ejection, back-off of full upstreams, and the upstream set."""

import anyio
import pytest
from core.scripted_upstream import (
    DOCUMENT,
    SHED,
    ScriptedUpstream,
    answer_bytes,
    make_vm,
    script_of,
    sender_harness,
)
from cowslippond_core import Clock, RefusalReason, RetryReason, Upstream
from cowslippond_core._connections import Connections
from cowslippond_core._document import RetryBudget
from cowslippond_core._ejection import (
    MAX_EJECTED_RATIO,
    is_available,
    record_failure,
    record_success,
)
from cowslippond_core._load import (
    SlotIntervals,
    clear_backoff,
    record_shed,
    renew_backoff,
)

pytestmark = pytest.mark.anyio

_OK = script_of(answer_bytes(b'ok'))
_FAILS = script_of(answer_bytes(b'', b'HTTP/1.1 500 Internal Server Error'))
_SLOT_INTERVALS = SlotIntervals(slot_interval=4, own_slot_interval=72)
_ROOMY = DOCUMENT._replace(retries=RetryBudget(1))


async def _upstreams(count: int) -> list[Upstream]:
    async with anyio.create_task_group() as tasks:
        return [
            Upstream(
                make_vm(f'127.0.0.1:{port}'),
                Connections(f'127.0.0.1:{port}', tasks, Clock(), 1),
            )
            for port in range(1, count + 1)
        ]


class TestEjection:
    async def test_consecutive_failures_eject(self) -> None:
        peers = await _upstreams(5)
        for _ in range(2):
            record_failure(peers[0], peers, 0)
        assert is_available(peers[0], 1)
        record_failure(peers[0], peers, 0)
        assert not is_available(peers[0], 1)

    async def test_success_between_failures_prevents_ejection(self) -> None:
        peers = await _upstreams(5)
        for _ in range(10):
            record_failure(peers[0], peers, 0)
            record_success(peers[0])
        assert is_available(peers[0], 1)

    async def test_ratio_of_ejected_upstreams_is_limited(self) -> None:
        peers = await _upstreams(10)
        for peer in peers:
            for _ in range(3):
                record_failure(peer, peers, 0)
        ejected = [peer for peer in peers if not is_available(peer, 1)]
        assert len(ejected) == MAX_EJECTED_RATIO * 10

    async def test_upstream_is_on_probation_after_ejection(self) -> None:
        peers = await _upstreams(5)
        for _ in range(3):
            record_failure(peers[0], peers, 0)
        back_at = peers[0].health.ejected_until
        assert is_available(peers[0], back_at)
        peers[0].in_flight = 1
        assert not is_available(peers[0], back_at)
        record_failure(peers[0], peers, back_at)
        assert peers[0].health.ejected_until > 2 * back_at
        record_success(peers[0])
        assert not peers[0].health.is_on_probation

    async def test_upstream_that_fails_fast_attracts_no_calls(self) -> None:
        failing = ScriptedUpstream(_FAILS)
        rest = [ScriptedUpstream(_OK) for _ in range(3)]
        async with sender_harness(failing, *rest, document=_ROOMY) as bench:
            answers = [await bench.call() for _ in range(60)]
        assert set(answers) == {b'ok'}
        assert len(failing.calls) == 3
        assert bench.retries.count(RetryReason.UPSTREAM_ERROR) == 3


class TestBackoff:
    async def test_busy_upstream_is_retried_soon(self) -> None:
        upstream = (await _upstreams(1))[0]
        for now in range(100, 140):
            record_shed(upstream, _SLOT_INTERVALS, now)
        assert upstream.backoff.retry_at == 139 + _SLOT_INTERVALS.slot_interval
        clear_backoff(upstream)
        assert upstream.backoff.retry_at == 0

    async def test_upstream_that_refuses_all_calls_is_retried_rarely(
        self,
    ) -> None:
        upstream = (await _upstreams(1))[0]
        record_shed(upstream, _SLOT_INTERVALS, 0)
        later = 13 * _SLOT_INTERVALS.own_slot_interval
        record_shed(upstream, _SLOT_INTERVALS, later)
        assert upstream.backoff.retry_at == later + 200

    async def test_only_one_call_at_a_time_retries_a_full_upstream(
        self,
    ) -> None:
        upstream = (await _upstreams(1))[0]
        renew_backoff(upstream, _SLOT_INTERVALS, 100)
        assert upstream.backoff.retry_at == 0
        record_shed(upstream, _SLOT_INTERVALS, 100)
        renew_backoff(upstream, _SLOT_INTERVALS, 104)
        assert upstream.backoff.retry_at == 108

    async def test_refusals_of_all_upstreams_cause_no_retry_storm(self) -> None:
        upstreams = [ScriptedUpstream(script_of(SHED)) for _ in range(3)]
        async with sender_harness(*upstreams) as bench:
            first = await bench.call()
            sends = sum(len(upstream.calls) for upstream in upstreams)
            later = [await bench.call() for _ in range(100)]
        assert {answer.reason for answer in (first, *later)} == {
            RefusalReason.UPSTREAMS_FULL
        }
        assert sends <= 3 * 14
        total = sum(len(upstream.calls) for upstream in upstreams)
        assert total - sends <= 100


class TestUpstreamSet:
    async def test_new_incarnation_is_a_new_upstream(self) -> None:
        async with sender_harness() as bench:
            upstreams = bench.service.upstreams
            vm = make_vm('127.0.0.1:1')
            upstreams.update([vm])
            first = upstreams.by_address['127.0.0.1:1']
            upstreams.update([vm])
            assert upstreams.by_address['127.0.0.1:1'] is first
            upstreams.update([make_vm('127.0.0.1:1', incarnation='2')])
            assert upstreams.by_address['127.0.0.1:1'] is not first
            assert first.is_removed

    async def test_retired_upstream_closes_its_connections(self) -> None:
        upstream = ScriptedUpstream(script_of(50.0, answer_bytes(b'ok')))
        async with sender_harness(upstream) as bench:
            known = bench.service.upstreams.by_address[upstream.address]
            await bench.call()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.call)
                await anyio.sleep(0.01)
                bench.service.upstreams.update([])
                assert known.in_flight == 1
            await anyio.sleep(0.01)
            assert not known.connections.open

    async def test_replacing_the_document_keeps_calls_in_flight(self) -> None:
        upstream = ScriptedUpstream(script_of(200.0, answer_bytes(b'ok')))
        async with sender_harness(upstream) as bench:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.call)
                await anyio.sleep(0.05)
                bench.service.replace_document(DOCUMENT)
                known = bench.service.upstreams.by_address.values()
                assert [one.in_flight for one in known] == [1]
                assert bench.service.limiter.running == 1
            assert bench.service.limiter.running == 0
