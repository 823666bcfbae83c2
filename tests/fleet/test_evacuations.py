"""Operators evacuate failure domains while daemons serve calls."""

import anyio
import pytest
from cowslippond_standins.fleet import DOMAINS, FleetDeployment, Verdict
from fleet_load import FleetLoad, busiest_second, calls_between

pytestmark = pytest.mark.anyio

# What the users allow after the store's acknowledgement.
EVACUATION_SECONDS = 5
REFUSAL_TIME = 150
RATE = 3.9
BOUND = RATE * 1.5 + 8


class TestEvacuation:
    async def test_no_calls_go_to_an_evacuated_domain(
        self, fleet: FleetDeployment
    ) -> None:
        """Daemons of the evacuated domain went on to call their neighbours."""
        load = FleetLoad(fleet)
        backends = await load.start(3, 6)
        reads_before = sum(fleet.store.calls.values())
        fleet.evacuate(DOMAINS[0])
        calls = await load.send(EVACUATION_SECONDS)
        evacuated_at = fleet.clock.now()
        calls += await load.send(2)
        assert calls_between(backends[0], evacuated_at, evacuated_at + 1e6) == 0
        assert {one.verdict for one in calls} == {Verdict.GOOD}
        # Six daemons have at most six readers of two tables, each with a call
        # every 0.7 to 1.3 s.
        reads = sum(fleet.store.calls.values()) - reads_before
        assert reads <= 6 * 2 * 7 / 0.7
        fleet.evacuate(DOMAINS[0], is_evacuated=False)
        await load.send(3)
        now = fleet.clock.now()
        assert calls_between(backends[0], now - 1500, now) > 0

    async def test_queued_calls_go_elsewhere(
        self, fleet: FleetDeployment
    ) -> None:
        """Calls that waited for a slot were sent to the evacuated domain."""
        load = FleetLoad(fleet)
        backends = await load.start(2, 2)
        for backend in backends:
            backend.mean_work = 400
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.send, EVACUATION_SECONDS + 2, 120)
            await anyio.sleep(1)
            fleet.evacuate(DOMAINS[0])
            acknowledged_at = fleet.clock.now()
        since = acknowledged_at + EVACUATION_SECONDS * 1000
        assert calls_between(backends[0], since, since + 1e6) == 0
        assert calls_between(backends[1], since, since + 1e6) > 0

    async def test_calls_are_refused_at_once_if_all_domains_are_evacuated(
        self, fleet: FleetDeployment
    ) -> None:
        """They waited for upstreams that could not get them."""
        load = FleetLoad(fleet)
        backends = await load.start(3, 3)
        for domain in DOMAINS:
            fleet.evacuate(domain)
        await anyio.sleep(EVACUATION_SECONDS)
        evacuated_at = fleet.clock.now()
        calls = await load.send(1)
        assert {one.status for one in calls} == {503}
        assert max(one.duration for one in calls) <= REFUSAL_TIME
        for backend in backends:
            assert calls_between(backend, evacuated_at, evacuated_at + 1e6) == 0
        status = await fleet.nodes[0].status()
        assert status['evacuated'] == sorted(DOMAINS)
        assert status['counters']['refusals.evacuated'] == 10

    async def test_evacuation_outlasts_store_and_restarts(
        self, fleet: FleetDeployment
    ) -> None:
        """A daemon that restarted without the store knew no evacuation."""
        load = FleetLoad(fleet)
        backends = await load.start(3, 6)
        fleet.evacuate(DOMAINS[0])
        await load.send(EVACUATION_SECONDS)
        evacuated_at = fleet.clock.now()
        fleet.store.faults.mode = 'refusing'
        node = fleet.nodes[5]
        node.child.kill()
        await fleet.restart_node(node)
        await load.send(6)
        assert calls_between(backends[0], evacuated_at, evacuated_at + 1e6) == 0
        status = await fleet.nodes[5].status()
        assert status['evacuated'] == [DOMAINS[0]]

    async def test_quick_end_and_unreadable_rows(
        self, fleet: FleetDeployment
    ) -> None:
        """A row that cannot be read hid the configuration."""
        load = FleetLoad(fleet)
        await load.start(3, 2)
        for is_evacuated in (True, False, True, False):
            fleet.evacuate(DOMAINS[0], is_evacuated=is_evacuated)
        fleet.store.write('op', f'evacuate/{DOMAINS[1]}', ['unreadable', 7])
        fleet.store.write('op', 'evacuate/nowhere', {})
        fleet.store.write('op', 'notes', 'of an operator')
        version = fleet.configure(
            {'prints': {**_route(), 'target_latency_ms': 150}}
        )
        await anyio.sleep(EVACUATION_SECONDS)
        status = await fleet.nodes[0].status()
        assert status['evacuated'] == [DOMAINS[1], 'nowhere']
        assert status['configuration'] == version
        calls = await load.send(1)
        assert {one.verdict for one in calls} == {Verdict.GOOD}

    async def test_upstreams_that_return_cold_get_few_calls(
        self, fleet: FleetDeployment
    ) -> None:
        """They crashed under the calls that returned with their domain."""
        fleet.service_settings = {'warmup_s': 3, 'warmup_per_s': RATE}
        load = FleetLoad(fleet)
        backends = await load.start(3, 6)
        fleet.evacuate(DOMAINS[0])
        await load.send(EVACUATION_SECONDS, interval=60)
        cold = backends[0]
        cold.turn_cold(8000)
        cold_at = fleet.clock.now()
        fleet.evacuate(DOMAINS[0], is_evacuated=False)
        await load.send(6, interval=60)
        assert calls_between(cold, cold_at, cold_at + 6000) > 0
        assert busiest_second(cold, cold_at, cold_at + 6000) <= BOUND


def _route() -> dict[str, object]:
    return {
        'host': 'shop.example',
        'path_prefix': '/prints/',
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'service': 'catalogue',
    }
