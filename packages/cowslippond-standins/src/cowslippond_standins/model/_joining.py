"""Simulates how the daemons of a fleet discover each other.

The membership, gossip and session code is the real one; the network and the
clock are simulated. Hundreds of daemons need tens of seconds of processor time.
"""

import math
import random
from collections import Counter
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup
from cowslippond_core import (
    Configuration,
    ConfigurationLog,
    Fleet,
    FleetSettings,
    JsonCodec,
    Metric,
    Metrics,
    Millis,
    seconds_of,
)
from expression import Error, Result

from cowslippond_standins.model._pipes import make_connection
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

_SEED_COUNT = 3
_POLL_INTERVAL: Millis = 100
_PORT = 9000
_LAST_OCTET = 256
_KILOBYTE = 1024


class JoiningPlan(NamedTuple):
    """A fleet of which some or all daemons start at the same time.

    ``running`` daemons have run for ``head_start`` milliseconds before the
    others start within ``start_spread`` milliseconds. ``latency`` is the delay
    of a connection, and ``limit`` is the longest time to simulate after the
    start, both in milliseconds. ``dead_seeds`` of the three seeds never answer.
    ``known_share`` is the share of the fleet that a daemon has to know.
    """

    daemons: int
    running: int = 0
    head_start: Millis = 0
    start_spread: Millis = 300
    latency: Millis = 1
    limit: Millis = 30_000
    dead_seeds: int = 0
    known_share: float = 0.99
    domains: int = 5
    seed: int = 0


class JoiningFigures(NamedTuple):
    """How long joining took and what it cost.

    ``informed_after`` is the time until every daemon had the share of the
    fleet in its list, ``size_known_after`` until every daemon estimated at
    least that size; in milliseconds since all have started, infinite if it
    took longer than the limit. ``mean_kilobytes`` and ``most_kilobytes`` are
    what a daemon, and the busiest one, sent and received from the start on.
    """

    informed_after: Millis
    size_known_after: Millis
    mean_kilobytes: float
    most_kilobytes: float


def simulate_joining(plan: JoiningPlan) -> JoiningFigures:
    """Simulate the start of a fleet."""
    return anyio.run(_JoiningFleet(plan).run, backend_options=backend_options())


class _JoiningFleet:
    """The daemons of one simulation and the network between them."""

    def __init__(self, plan: JoiningPlan) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.clock = VirtualClock()
        self.addresses = [_address_of(index) for index in range(plan.daemons)]
        self.seeds = (
            *map(
                _address_of, range(plan.daemons, plan.daemons + plan.dead_seeds)
            ),
            *self.addresses[: _SEED_COUNT - plan.dead_seeds],
        )
        self.fleets: dict[str, Fleet] = {}

    async def run(self) -> JoiningFigures:
        plan = self.plan
        async with anyio.create_task_group() as tasks:
            for address in self.addresses[: plan.running]:
                self._start_daemon(tasks, address)
            await self.clock.sleep(plan.head_start)
            spent_before = self._kilobytes()
            for address in self.addresses[plan.running :]:
                tasks.start_soon(self._start_later, tasks, address)
            await self.clock.sleep(plan.start_spread)
            size_known_after, informed_after = await self._observe()
            spent = self._kilobytes() - spent_before
            tasks.cancel_scope.cancel()
        return JoiningFigures(
            informed_after,
            size_known_after,
            spent.total() / plan.daemons,
            max(spent.values()),
        )

    async def _observe(self) -> tuple[Millis, Millis]:
        """Return the times until all know the size, and have the list."""
        needed = self.plan.known_share * self.plan.daemons
        started_at = self.clock.now()
        size_known_after = math.inf
        informed_after = math.inf
        while math.isinf(informed_after) or math.isinf(size_known_after):
            elapsed = self.clock.now() - started_at
            if elapsed > self.plan.limit:
                break
            fleets = self.fleets.values()
            if min(fleet.size.estimate() for fleet in fleets) >= needed:
                size_known_after = min(size_known_after, elapsed)
            if min(map(_count_listed, fleets)) >= needed:
                informed_after = min(informed_after, elapsed)
            await self.clock.sleep(_POLL_INTERVAL)
        return size_known_after, informed_after

    async def _start_later(self, tasks: TaskGroup, address: str) -> None:
        await self.clock.sleep(self.rng.random() * self.plan.start_spread)
        self._start_daemon(tasks, address)

    def _start_daemon(self, tasks: TaskGroup, address: str) -> None:
        index = len(self.fleets)
        fleet = Fleet(
            FleetSettings(
                fleet='model',
                peer_address=address,
                admin_address='',
                failure_domain=str(index % self.plan.domains),
                incarnation=str(index),
                seeds=self.seeds,
                codec=JsonCodec(),
            ),
            self.clock,
            ConfigurationLog(self.clock, _decode_nothing),
            Metrics(''),
            random.Random(self.rng.random()),
        )
        fleet.peer_client.connect = partial(self._connect, tasks)
        self.fleets[address] = fleet
        tasks.start_soon(fleet.peer_client.run)
        tasks.start_soon(fleet.send_heartbeats)

    async def _connect(
        self, tasks: TaskGroup, host: str, port: int
    ) -> ByteStream:
        await anyio.sleep(seconds_of(self.plan.latency))
        fleet = self.fleets.get(f'{host}:{port}')
        if fleet is None:
            raise ConnectionRefusedError
        near, far = make_connection()
        tasks.start_soon(fleet.peer_server.serve, far)
        return near

    def _kilobytes(self) -> Counter[str]:
        counts: Counter[str] = Counter()
        for address, fleet in self.fleets.items():
            totals = fleet.metrics.totals
            spent = (
                totals[Metric.GOSSIP_BYTES_SENT]
                + totals[Metric.GOSSIP_BYTES_RECEIVED]
            )
            counts[address] = spent // _KILOBYTE
        return counts


def _address_of(index: int) -> str:
    high, low = divmod(index, _LAST_OCTET)
    return f'10.{high}.{low}.1:{_PORT}'


def _count_listed(fleet: Fleet) -> int:
    return len(fleet.gossip_table('daemons').alive_keys())


def _decode_nothing(text: str) -> Result[Configuration, str]:
    return Error('the model has no configuration')
