"""Daemons of the last landed revision run beside those of this one.

During a rolling replacement both serve, and each has to understand what the
other sends: a message that cannot be read ends the session with that peer.
"""

import io
import os
import pathlib
import subprocess
import tarfile
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from cowslippond_core import Millis, seconds_of
from cowslippond_standins._address import Address
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

ROOT = pathlib.Path(__file__).parent.parent.parent

# The last landed revision, whose daemons a new release replaces.
PREVIOUS = '7a803b2'

# Nothing listens here, so a daemon learns everything from its peers.
NO_STORE = Address('127.0.0.1', 1)

# Enough routes for messages with the configuration to be compressed.
MANY_ROUTES = 120

# The number of the store's first era, which means nothing to older daemons.
FIRST_ERA = 7


class MixedFleet:
    """Starts daemons of both releases on one deployment."""

    def __init__(self, fleet: FleetDeployment, sources: pathlib.Path) -> None:
        self.fleet = fleet
        self.fleet.store.rows.era = FIRST_ERA
        names = ('cowslippond-core', 'cowslippond-daemon')
        self.path = os.pathsep.join(
            str(sources / 'packages' / name / 'src') for name in names
        )

    async def add_old(self, domain: str, store: Address | None = None) -> Node:
        self.fleet.environment['PYTHONPATH'] = self.path
        node = await self.fleet.add_node(domain, store)
        self.fleet.environment.pop('PYTHONPATH')
        assert 'store_era' not in await node.status()
        return node

    async def add_new(self, domain: str, store: Address | None = None) -> Node:
        node = await self.fleet.add_node(domain, store)
        assert 'store_era' in await node.status()
        return node

    async def start_shop(self) -> None:
        for domain in DOMAINS:
            await self.fleet.add_backend('catalogue', domain=domain)
        self.fleet.configure(make_routes('/prints/'))

    async def check_serving(self, prefix: str) -> None:
        for node in self.fleet.nodes:
            caller = Caller(
                node.name,
                node.caller_address,
                self.fleet.tasks,
                self.fleet.clock,
            )
            path = f'{prefix}1/'
            assert (
                await caller.send_request('r', path)
            ).verdict is Verdict.GOOD

    async def wait_status(
        self,
        nodes: list[Node],
        is_reached: Callable[[Any], bool],
        limit: Millis = 6000,
    ) -> None:
        with anyio.fail_after(seconds_of(limit)):
            for node in nodes:
                while not is_reached(await node.status()):
                    await self.fleet.clock.sleep(50)

    async def count_failures(self) -> int:
        """Return how many sessions between daemons have failed so far."""
        failures = 0
        for node in self.fleet.nodes:
            counters = (await node.status())['counters']
            failures += counters.get('gossip.failures', 0)
        return failures


def make_routes(prefix: str) -> dict[str, dict[str, Any]]:
    return {
        f'r{number}': route('catalogue', prefix=f'{prefix}{number}/')
        for number in range(MANY_ROUTES)
    }


@pytest.fixture(scope='module')
def sources(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """The packages of the last landed revision, from the history."""
    archive = subprocess.run(
        ['git', 'archive', PREVIOUS, 'packages'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    folder = tmp_path_factory.mktemp('previous')
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter='data')
    return folder


@pytest.fixture
def mixed(fleet: FleetDeployment, sources: pathlib.Path) -> MixedFleet:
    return MixedFleet(fleet, sources)


class TestMixedReleases:
    async def test_both_serve_and_keep_their_sessions(
        self, mixed: MixedFleet
    ) -> None:
        await mixed.start_shop()
        await mixed.add_old(DOMAINS[0])
        await mixed.add_new(DOMAINS[1])
        await mixed.add_old(DOMAINS[2])
        await mixed.add_new(DOMAINS[0])
        await mixed.check_serving('/prints/')
        mixed.fleet.configure(make_routes('/copies/'))
        await mixed.fleet.add_backend('catalogue')
        await mixed.wait_status(
            mixed.fleet.nodes,
            lambda status: (
                (status['configuration'], status['upstreams']) == (2, 4)
            ),
        )
        await mixed.check_serving('/copies/')
        before = await mixed.count_failures()
        await mixed.fleet.clock.sleep(3000)
        assert await mixed.count_failures() == before

    async def test_new_daemon_learns_from_old_ones(
        self, mixed: MixedFleet
    ) -> None:
        await mixed.start_shop()
        await mixed.add_old(DOMAINS[0])
        await self.check_learning(
            mixed, await mixed.add_new(DOMAINS[1], NO_STORE)
        )

    async def test_old_daemon_learns_from_new_ones(
        self, mixed: MixedFleet
    ) -> None:
        await mixed.start_shop()
        await mixed.add_new(DOMAINS[0])
        await self.check_learning(
            mixed, await mixed.add_old(DOMAINS[1], NO_STORE)
        )

    async def test_daemons_restarted_as_the_other_release_serve(
        self, mixed: MixedFleet
    ) -> None:
        """A replacement, and its rollback, restarts daemons one by one."""
        await mixed.start_shop()
        nodes = [await mixed.add_old(DOMAINS[0]), await mixed.add_old('east')]
        for path in ('', mixed.path):
            mixed.fleet.environment['PYTHONPATH'] = path
            for at, node in enumerate(nodes):
                node.child.kill()
                nodes[at] = await mixed.fleet.restart_node(node)
                await mixed.check_serving('/prints/')

    async def test_new_daemons_follow_a_restored_store(
        self, mixed: MixedFleet
    ) -> None:
        """All seeds are old, and old readers pass on nothing of the new era."""
        await mixed.start_shop()
        for domain in DOMAINS:
            await mixed.add_old(domain)
        news = [await mixed.add_new(domain) for domain in DOMAINS[:2]]
        for _ in range(20):
            mixed.fleet.store.write('servers', 'i-unused', None)
        await mixed.fleet.clock.sleep(3000)
        mixed.fleet.store.restore_copy(2000)
        await mixed.fleet.clock.sleep(200)
        await mixed.fleet.add_backend('catalogue')
        await mixed.wait_status(
            news,
            lambda status: (
                (status['store_era'], status['upstreams']) == (FIRST_ERA + 1, 4)
            ),
        )
        await mixed.check_serving('/prints/')

    async def check_learning(self, mixed: MixedFleet, learner: Node) -> None:
        """Check that a daemon without the store follows all changes."""
        added = await mixed.fleet.add_backend('catalogue')
        mixed.fleet.configure(make_routes('/copies/'))
        await mixed.wait_status(
            [learner],
            lambda status: (
                (status['configuration'], status['upstreams']) == (2, 4)
            ),
        )
        mixed.fleet.unlist_backend(added)
        await mixed.wait_status(
            [learner], lambda status: status['upstreams'] == 3
        )
        await mixed.check_serving('/copies/')
