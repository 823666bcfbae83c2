"""The daemons that read the store restart, and the others go on."""

from types import MappingProxyType

import anyio
import pytest
from cowslippond_core import Millis, seconds_of
from cowslippond_standins.fleet import DOMAINS, FleetDeployment, route

pytestmark = pytest.mark.anyio

ROUTES = MappingProxyType({'prints': route('catalogue', prefix='/prints/')})
BACKENDS = 6
SEEDS = 3
SETTLE_TIME: Millis = 2000
DRAIN_TIMEOUT: Millis = 2000


class TestRemovalDuringARestart:
    async def test_others_stop_using_the_upstream(
        self, fleet: FleetDeployment
    ) -> None:
        """The restarted readers saw no removal that they could pass on."""
        for index in range(BACKENDS):
            await fleet.add_backend('catalogue', domain=DOMAINS[index % 3])
        fleet.configure(ROUTES)
        nodes = await fleet.add_nodes((*DOMAINS, *DOMAINS))
        await fleet.clock.sleep(SETTLE_TIME)
        readers, others = nodes[:SEEDS], nodes[SEEDS:]
        for reader in readers:
            reader.child.kill()
        fleet.unlist_backend(fleet.backends[0])
        async with anyio.create_task_group() as starts:
            for reader in readers:
                starts.start_soon(fleet.restart_node, reader)
        with anyio.fail_after(seconds_of(DRAIN_TIMEOUT)):
            for node in others:
                while (await node.status())['upstreams'] == BACKENDS:
                    await fleet.clock.sleep(50)
