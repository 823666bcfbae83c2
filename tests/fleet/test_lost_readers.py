"""The daemons that read the store are lost, and the others follow changes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import anyio
import pytest
from cowslippond_core import Millis, seconds_of
from cowslippond_standins.fleet import DOMAINS, FleetDeployment, Node, route

pytestmark = pytest.mark.anyio

ROUTES = MappingProxyType({'prints': route('catalogue', prefix='/prints/')})
BACKENDS = 6
SEEDS = 3
# Long enough for a daemon to rely on beacons.
SETTLE_TIME: Millis = 5000
APPLY_TIME: Millis = 2000


async def start_daemons(fleet: FleetDeployment) -> list[Node]:
    for index in range(BACKENDS):
        await fleet.add_backend('catalogue', domain=DOMAINS[index % 3])
    fleet.configure(ROUTES)
    nodes = await fleet.add_nodes((*DOMAINS, *DOMAINS))
    await fleet.clock.sleep(SETTLE_TIME)
    return list(nodes)


def has_all_changes(status: Mapping[str, Any], version: int) -> bool:
    return bool(
        status['upstreams'] == BACKENDS - 1
        and status['configuration'] > version
        and status['evacuated']
    )


class TestChangesAsReadersAreLost:
    @pytest.mark.parametrize('is_killed', [True, False])
    async def test_others_follow_each_kind_of_change_in_time(
        self, fleet: FleetDeployment, is_killed: bool
    ) -> None:
        """Guard against waiting for readers that are killed or stand still."""
        nodes = await start_daemons(fleet)
        readers, others = nodes[:SEEDS], nodes[SEEDS:]
        version = (await others[0].status())['configuration']
        for reader in readers:
            if is_killed:
                reader.child.kill()
            else:
                reader.child.suspend()
        fleet.unlist_backend(fleet.backends[0])
        fleet.evacuate(DOMAINS[1])
        fleet.configure({**ROUTES, 'more': route('catalogue', prefix='/m/')})
        with anyio.fail_after(seconds_of(APPLY_TIME)):
            for node in others:
                while not has_all_changes(await node.status(), version):
                    await fleet.clock.sleep(50)
        for reader in () if is_killed else readers:
            reader.child.resume()
