"""Real daemons while the store is restored from a copy.

Without eras, a daemon waited for changes after a revision that the restored
store did not have, and took rows of the copy for old ones.
"""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import anyio
import pytest
from cowslippond_core import Millis
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

ROUTES = MappingProxyType({'prints': route('catalogue', prefix='/prints/')})
NEW_ROUTES = MappingProxyType({'copies': route('catalogue', prefix='/copies/')})


async def start_shop(fleet: FleetDeployment) -> list[Node]:
    for domain in DOMAINS:
        await fleet.add_backend('catalogue', domain=domain)
    fleet.configure(ROUTES)
    nodes = await fleet.add_nodes(DOMAINS)
    await fleet.clock.sleep(500)
    return nodes


async def wait_status(
    fleet: FleetDeployment,
    nodes: list[Node],
    is_reached: Callable[[Any], bool],
    limit: Millis = 4000,
) -> Millis:
    """Return how long it took until the status of all daemons is reached."""
    started_at = fleet.clock.now()
    with anyio.fail_after(limit / 1000):
        for node in nodes:
            while not is_reached(await node.status()):
                await fleet.clock.sleep(50)
    return fleet.clock.now() - started_at


async def call(fleet: FleetDeployment, node: Node, path: str) -> Verdict:
    caller = Caller(node.name, node.caller_address, fleet.tasks, fleet.clock)
    return (await caller.send_request('r', path)).verdict


class TestRestore:
    async def test_all_daemons_follow_the_restored_store(
        self, fleet: FleetDeployment
    ) -> None:
        """A new upstream of the restored store has a revision of the past."""
        nodes = await start_shop(fleet)
        for _ in range(20):
            fleet.store.write('servers', 'i-unused', None)
        fleet.store.restore_copy(300)
        await wait_status(fleet, nodes, lambda status: status['store_era'] == 1)
        await fleet.add_backend('catalogue')
        await wait_status(fleet, nodes, lambda status: status['upstreams'] == 4)
        await wait_status(
            fleet, nodes, lambda status: bool(status['store_readers'])
        )
        for node in nodes:
            assert await call(fleet, node, '/prints/1') is Verdict.GOOD

    async def test_configuration_does_not_revert_to_the_copy(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start_shop(fleet)
        fleet.configure(NEW_ROUTES)
        await wait_status(
            fleet, nodes, lambda status: status['configuration'] == 2
        )
        fleet.store.restore_copy(60_000)
        await wait_status(fleet, nodes, lambda status: status['store_era'] == 1)
        await fleet.clock.sleep(1500)
        for node in nodes:
            assert (await node.status())['configuration'] == 2
            assert await call(fleet, node, '/copies/1') is Verdict.GOOD

    async def test_removed_upstream_does_not_return(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start_shop(fleet)
        fleet.unlist_backend(fleet.backends[0])
        await wait_status(fleet, nodes, lambda status: status['upstreams'] == 2)
        fleet.store.restore_copy(fleet.clock.now() - fleet_started(fleet))
        await wait_status(fleet, nodes, lambda status: status['store_era'] == 1)
        await fleet.clock.sleep(1500)
        for node in nodes:
            assert (await node.status())['upstreams'] == 2

    async def test_two_restores_within_a_second(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start_shop(fleet)
        fleet.store.restore_copy(100)
        await fleet.clock.sleep(400)
        fleet.store.restore_copy(100)
        await wait_status(fleet, nodes, lambda status: status['store_era'] == 2)
        await fleet.add_backend('catalogue')
        await wait_status(fleet, nodes, lambda status: status['upstreams'] == 4)

    async def test_daemon_that_sees_the_old_era_learns_from_its_peers(
        self, fleet: FleetDeployment
    ) -> None:
        lagging = fleet.serve_store(is_lagging=True)
        for domain in DOMAINS:
            await fleet.add_backend('catalogue', domain=domain)
        fleet.configure(ROUTES)
        nodes = [await fleet.add_node(DOMAINS[0])]
        await fleet.clock.sleep(500)
        fleet.store.restore_copy(100)
        nodes.append(await fleet.add_node(DOMAINS[1], lagging))
        await wait_status(fleet, nodes, lambda status: status['store_era'] == 1)
        await fleet.add_backend('catalogue')
        await wait_status(fleet, nodes, lambda status: status['upstreams'] == 4)

    async def test_restore_while_all_daemons_start(
        self, fleet: FleetDeployment
    ) -> None:
        for domain in DOMAINS:
            await fleet.add_backend('catalogue', domain=domain)
        fleet.configure(ROUTES)
        first = await fleet.add_node(DOMAINS[0])
        async with anyio.create_task_group() as starts:
            for domain in DOMAINS[1:]:
                starts.start_soon(fleet.add_node, domain)
            await fleet.clock.sleep(300)
            fleet.store.restore_copy(100)
        await wait_status(
            fleet, fleet.nodes, lambda status: status['store_era'] == 1
        )
        assert await call(fleet, first, '/prints/1') is Verdict.GOOD

    @pytest.mark.parametrize('header', ['', 'seven', '-1'])
    async def test_unreadable_era_loses_nothing(
        self, fleet: FleetDeployment, header: str
    ) -> None:
        nodes = await start_shop(fleet)
        fleet.store.faults.era_header = header
        await fleet.add_backend('catalogue')
        await wait_status(fleet, nodes, lambda status: status['upstreams'] == 4)
        for node in nodes:
            assert (await node.status())['store_era'] == 0


def fleet_started(fleet: FleetDeployment) -> Millis:
    """Return the time of the last write of the configuration."""
    writes = fleet.store.rows.written_at
    return max(at for at, row in writes if row.table == 'op')
