"""A fleet under load and faults, with records of callers and back ends."""

import contextlib
import pathlib
import random
from collections import defaultdict
from collections.abc import Iterator
from typing import Any, NamedTuple

import anyio
from cowslippond_core import Clock, Millis
from cowslippond_standins._address import Address
from cowslippond_standins.fleet import (
    DOMAINS,
    Backend,
    Caller,
    CallResult,
    FleetDeployment,
    Node,
    Run,
    route,
)
from cowslippond_standins.harness._handles import LinkHandle
from soak.faults import ANNOUNCEMENT_KINDS, KINDS, Fault

CALLS_PER_SECOND = 60
LOAD_MS: Millis = 13_000
RECOVERY_MS: Millis = 4000
STOP_LIMIT_MS: Millis = 8000
#: How long a back end keeps serving after it announced that it leaves.
DRAIN_MS: Millis = 2600
SERVICES = ('catalogue', 'checkout')
#: Lets a test cut a daemon off from its back ends.
PARTITION = pathlib.Path(__file__).parents[1] / 'fleet' / 'partition'


class LinkedBackend:
    """A back end, the link to it, and when it announced that it leaves."""

    def __init__(
        self, backend: Backend, service: str, domain: str, link: LinkHandle
    ) -> None:
        self.backend = backend
        self.service = service
        self.domain = domain
        self.link = link
        self.leaving_since: Millis | None = None

    @property
    def is_leaving(self) -> bool:
        return self.leaving_since is not None


class Disturbance(NamedTuple):
    """A period in which a daemon was paused, killed or restarted."""

    node: str
    start: Millis
    end: Millis


class SoakRun:
    """A shop of two services and three daemons under load and faults."""

    def __init__(self, fleet: FleetDeployment, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.linked_backends: list[LinkedBackend] = []
        self.store_links: list[LinkHandle] = []
        self.callers: dict[str, Caller] = {}
        self.results: list[CallResult] = []
        self.reserved: set[str] = set()
        self.disturbances: list[Disturbance] = []
        self.limited: list[tuple[LinkedBackend, Millis, Millis]] = []
        self.store_disturbances: list[tuple[Millis, Millis]] = []
        self.versions: dict[str, list[int]] = defaultdict(list)
        self.call_count = 0

    async def start_shop(self) -> None:
        """Start the back ends and daemons, and write the configuration."""
        for service, count in zip(SERVICES, (5, 4), strict=True):
            for index in range(count):
                await self.add_backend(service, DOMAINS[index % len(DOMAINS)])
        self.configure()
        self.fleet.environment = {'PYTHONPATH': str(PARTITION)}
        for domain in DOMAINS:
            link = await self.fleet.proxy.open(
                f'store-{domain}', self.fleet.store_address
            )
            self.store_links.append(link)
            node = await self.fleet.add_node(domain, link.address)
            self.add_caller(node)

    async def run_with_faults(self, faults: list[Fault]) -> None:
        """Inject the faults under load, then give the fleet time to recover."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._load, LOAD_MS)
            for fault in faults:
                group.start_soon(self._inject, fault)
        await self.clock.sleep(RECOVERY_MS)

    async def run_without_faults(self) -> list[CallResult]:
        """Generate load without faults and return its results."""
        before = len(self.results)
        await self._load(2000)
        return self.results[before:]

    async def add_backend(self, service: str, domain: str) -> None:
        """Start a back end behind a link of the fault proxy."""
        backend = Backend(f'i-{len(self.linked_backends)}', 15, self.clock)
        await self.fleet.tasks.start(backend.serve)
        link = await self.fleet.proxy.open(
            f'link-{backend.name}', Address('127.0.0.1', backend.port)
        )
        linked = LinkedBackend(backend, service, domain, link)
        self.linked_backends.append(linked)
        self.publish_entry(linked)

    def publish_entry(
        self, linked: LinkedBackend, state: str = 'ready'
    ) -> None:
        """Write the entry of a back end to the store."""
        self.fleet.list_backend(
            linked.backend,
            linked.service,
            linked.domain,
            state,
            linked.link.address.port,
        )

    async def replace_backend(self, linked: LinkedBackend) -> None:
        """Retire a back end gracefully after starting a replacement."""
        if linked.is_leaving:
            return
        await self.add_backend(linked.service, linked.domain)
        linked.leaving_since = self.clock.now()
        self.publish_entry(linked, 'draining')
        linked.backend.is_leaving = True
        await self.clock.sleep(DRAIN_MS)
        self.fleet.unlist_backend(linked.backend)

    def configure(self) -> None:
        """Write a version with the same routes and a random time-out."""
        timeout = self.rng.choice((1500, 2000, 2500))
        self.fleet.configure(
            {
                'prints': route(
                    'catalogue', prefix='/prints/', timeout=timeout
                ),
                'orders': route(
                    'checkout',
                    prefix='/orders/',
                    is_idempotent=False,
                    timeout=timeout,
                ),
            }
        )

    def pick_backend(self, fault: Fault) -> LinkedBackend:
        """Return the back end that a fault targets."""
        staying = [
            linked for linked in self.linked_backends if not linked.is_leaving
        ]
        return staying[fault.target_index % len(staying)]

    def pick_node(self, fault: Fault) -> Node | None:
        """Return the daemon that a fault targets, or None if it is reserved."""
        node = self.fleet.nodes[fault.target_index % len(self.fleet.nodes)]
        return None if node.name in self.reserved else node

    @contextlib.contextmanager
    def reserve(self, node: Node) -> Iterator[None]:
        """Reserve a daemon, so that no other fault targets it."""
        self.reserved.add(node.name)
        try:
            yield
        finally:
            self.reserved.discard(node.name)

    def record_disturbance(self, node: str, duration: Millis) -> None:
        """Record a disturbance of a daemon that starts now."""
        now = self.clock.now()
        self.disturbances.append(Disturbance(node, now, now + duration))

    async def restart(self, fault: Fault, *, is_planned: bool) -> None:
        """Stop or kill a daemon and start it again."""
        node = self.pick_node(fault)
        if node is None:
            return
        with self.reserve(node):
            started_at = self.clock.now()
            if is_planned:
                node.child.terminate()
                assert await node.child.wait(STOP_LIMIT_MS) == 0
            else:
                self.record_disturbance(node.name, 0)
                node.child.kill()
            restarted = await self.fleet.restart_node(node)
            self.versions[node.name].append(-1)
            self.disturbances.append(
                Disturbance(node.name, started_at, self.clock.now())
            )
            self.add_caller(restarted)

    def add_caller(self, node: Node) -> None:
        """Add a caller that uses new connections to a daemon."""
        self.callers[node.name] = Caller(
            node.name, node.caller_address, self.fleet.tasks, self.clock
        )

    def runs(self) -> list[Run]:
        """Return every run of every back end."""
        return [
            run
            for linked in self.linked_backends
            for run in linked.backend.runs
        ]

    async def _inject(self, fault: Fault) -> None:
        await self.clock.sleep(fault.start)
        started_at = self.clock.now()
        await {**KINDS, **ANNOUNCEMENT_KINDS}[fault.kind](self, fault)
        if 'store' in fault.kind or 'lapse' in fault.kind:
            self.store_disturbances.append((started_at, self.clock.now()))

    async def _load(self, duration: Millis) -> None:
        ends_at = self.clock.now() + duration
        async with anyio.create_task_group() as calls:
            while self.clock.now() < ends_at:
                calls.start_soon(self._call)
                if not self.call_count % CALLS_PER_SECOND:
                    calls.start_soon(self._record_versions)
                await anyio.sleep(self.rng.expovariate(CALLS_PER_SECOND))

    async def _call(self) -> None:
        """Call a random daemon over its open connections while they last.

        Every third call is an order.
        """
        self.call_count += 1
        number = self.call_count
        caller = self.callers[self.rng.choice(sorted(self.callers))]
        is_order = number % 3 == 0
        self.results.append(
            await caller.send_request(
                f'{self.seed}-{number}',
                f'/orders/{number}' if is_order else f'/prints/{number}',
                method='POST' if is_order else 'GET',
                deadline=2600,
            )
        )

    async def _record_versions(self) -> None:
        for node in list(self.fleet.nodes):
            status: Any = None
            with contextlib.suppress(Exception), anyio.move_on_after(0.5):
                status = await node.status()
            if status and node.name not in self.reserved:
                self.versions[node.name].append(status['configuration'])
