"""Tests for the routing policies."""

import random
from collections import Counter

import anyio
import pytest
from core.scripted_upstream import make_vm
from cowslippond_core import Clock, Upstream, make_policy
from cowslippond_core._connections import Connections
from cowslippond_core._prequal import ProbePool, ProbeResult, read_in_flight
from cowslippond_core._routing import NearLeastInFlight, pick

pytestmark = pytest.mark.anyio


async def _upstreams(domains: str) -> list[Upstream]:
    upstreams = []
    async with anyio.create_task_group() as tasks:
        for port, domain in enumerate(domains, start=1):
            address = f'127.0.0.1:{port}'
            vm = make_vm(address)._replace(failure_domain=domain)
            connections = Connections(address, tasks, Clock(), 1)
            upstreams.append(Upstream(vm, connections))
    return upstreams


def _picks(policy: object, candidates: list[Upstream]) -> Counter[str]:
    rng = random.Random(5)
    return Counter(
        pick(policy, candidates, rng).failure_domain for _ in range(1000)
    )


class TestNearLeastInFlight:
    async def test_upstream_in_the_own_domain_breaks_ties(self) -> None:
        picks = _picks(NearLeastInFlight('a'), await _upstreams('aabbcc'))
        assert picks == {'a': 1000}

    async def test_fewer_calls_take_precedence_over_the_domain(self) -> None:
        upstreams = await _upstreams('aab')
        upstreams[0].in_flight = 1
        upstreams[1].in_flight = 1
        assert _picks(NearLeastInFlight('a'), upstreams) == {'b': 1000}

    async def test_small_own_domain_is_not_overloaded(self) -> None:
        picks = _picks(NearLeastInFlight('a'), await _upstreams('abbbccc'))
        assert 350 < picks['a'] < 500

    async def test_domain_without_upstreams_uses_all_others(self) -> None:
        picks = _picks(NearLeastInFlight('d'), await _upstreams('abc'))
        assert set(picks) == {'a', 'b', 'c'}


class TestBaselines:
    @pytest.mark.parametrize(
        'name',
        ['least_in_flight', 'prequal', 'random', 'round_robin', 'two_choices'],
    )
    async def test_each_name_makes_a_policy_that_picks(self, name: str) -> None:
        upstreams = await _upstreams('ab')
        policy = make_policy(name, Clock()).ok
        assert pick(policy, upstreams, random.Random(1)) in upstreams

    async def test_unknown_name_lists_the_policies(self) -> None:
        assert 'two_choices' in make_policy('best', Clock()).error

    async def test_probed_upstream_with_few_calls_is_chosen(self) -> None:
        upstreams = await _upstreams('abc')
        clock = Clock()
        pool = ProbePool(clock, 0)
        for in_flight, upstream in enumerate(upstreams):
            upstream.latency = 10 - in_flight
            pool.pool.append(ProbeResult(upstream, in_flight, clock.now(), 1))
        assert pick(pool, upstreams, random.Random(1)) is upstreams[1]
        assert len(pool.pool) == 2

    async def test_reported_calls_in_flight_are_parsed(self) -> None:
        report = b'TEXT rps_fractional=1.5, named_metrics.in_flight=3'
        assert read_in_flight(((b'endpoint-load-metrics', report),)) == 3
        assert read_in_flight(()) is None
