"""Simulates which daemons read the store when it refuses its readers.

The gossip, membership and reading code is the real one; the network, the store
and the clock are simulated.
"""

import asyncio
import random
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup
from cowslippond_core import (
    STORE_LOST_TABLE,
    STORE_READER_TABLE,
    UPSTREAM_ERA_LOG,
    BeaconSender,
    BeaconTakeover,
    CallerLimits,
    Configuration,
    ConfigurationLog,
    Fleet,
    FleetSettings,
    JsonCodec,
    Metrics,
    Millis,
    ReaderBeacons,
    ReaderRole,
    RowSource,
    StoreError,
    StoreFault,
    StoreRows,
    StoreWatch,
    seconds_of,
)
from expression import Error, Ok, Result

from cowslippond_standins.model._pipes import make_connection
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

_SEED_COUNT = 3
_PORT = 9000
_LAST_OCTET = 256
_LATENCY: Millis = 2

# The share of datagrams that are lost.
_DATAGRAM_LOSS = 0.01

#: The table of which the configuration is a row.
OPERATORS = 'op'

_TABLES = (OPERATORS, 'servers')

#: A daemon that called the store within this time is one of its readers.
READER_INTERVAL: Millis = 1500

# Daemons that call within this time of the refusal count as late readers.
_LATE_WINDOW: Millis = 2000


class ReadingPlan(NamedTuple):
    """A fleet whose readers the store refuses from a moment on.

    All daemons start within 300 ms. ``refused_at`` and ``ends_at`` are in
    milliseconds since then. Whoever reads at ``refused_at`` is refused;
    ``is_down`` means that everybody is. ``refused_successors`` of the daemons
    that call next are refused as well.
    """

    daemons: int
    refused_at: Millis
    ends_at: Millis
    is_down: bool = False
    refused_successors: int = 0
    domains: int = 5
    seed: int = 0


class ReadingFigures(NamedTuple):
    """What the store saw.

    ``readers`` daemons read until the refusal. ``next_read_after`` is the time
    from the refusal to the first call that was served, in milliseconds, or
    ``None`` if none was. ``late_readers`` is the number of daemons that called
    in the first two seconds of the refusal, ``calls`` the number of all calls
    from the refusal on.
    """

    readers: int
    next_read_after: Millis | None
    late_readers: int
    calls: int


def simulate_reading(plan: ReadingPlan) -> ReadingFigures:
    """Simulate a refusal of the daemons that read the store."""
    return anyio.run(_RefusalFleet(plan).run, backend_options=backend_options())


class StoreCall(NamedTuple):
    """A call to the store as it arrived there."""

    at: Millis
    caller: str
    is_served: bool


class _RefusingStore:
    """Counts the calls of all daemons and refuses some daemons."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.calls: list[StoreCall] = []
        self.is_down = False
        self.refused: set[str] = set()
        self.successors_to_refuse = 0
        self.refusal = anyio.Event()

    def refuse_readers(self, plan: ReadingPlan) -> None:
        """Refuse the current readers, also in their open calls."""
        since = self.clock.now() - READER_INTERVAL
        self.refused = {call.caller for call in self.calls if call.at > since}
        self.is_down = plan.is_down
        self.successors_to_refuse = plan.refused_successors
        self.refusal.set()

    async def answer(
        self, caller: str, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Return no rows after the wait, or the refusal as soon as it begins."""
        await self.clock.sleep(_LATENCY)
        self._refuse_successor(caller)
        is_served = not self._is_refused(caller)
        self.calls.append(StoreCall(self.clock.now(), caller, is_served))
        if is_served and not self.refusal.is_set():
            with anyio.move_on_after(seconds_of(wait)):
                await self.refusal.wait()
        elif is_served:
            await self.clock.sleep(wait)
        if self._is_refused(caller):
            return Error(StoreError(StoreFault.REFUSED, 'refused'))
        return Ok(StoreRows((), 1))

    def _refuse_successor(self, caller: str) -> None:
        if self.successors_to_refuse and caller not in self.refused:
            self.successors_to_refuse -= 1
            self.refused.add(caller)

    def _is_refused(self, caller: str) -> bool:
        return self.is_down or caller in self.refused


class _CallerRows:
    """The rows of one table, as one daemon reads them."""

    def __init__(self, store: _RefusingStore, caller: str) -> None:
        self.store = store
        self.caller = caller

    async def read(self) -> Result[StoreRows, StoreError]:
        return await self.store.answer(self.caller, 0)

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        return await self.store.answer(self.caller, wait)


class ReadingFleet:
    """The daemons of one simulation and their network.

    :param daemons: the number of daemons.
    :param domains: the number of failure domains.
    :param seed: determines all random numbers.
    """

    def __init__(self, daemons: int, domains: int, seed: int) -> None:
        self.domains = domains
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.addresses = [_address_of(index) for index in range(daemons)]
        self.fleets: dict[str, Fleet] = {}
        self.beacons: dict[str, ReaderBeacons] = {}

    def source(self, caller: str, table: str) -> RowSource:
        """Return the rows of a table for one daemon."""
        raise NotImplementedError

    def is_linked(self, near: str, far: str) -> bool:
        """Return whether bytes of one daemon reach another one."""
        return True

    def start_all(self, tasks: TaskGroup) -> None:
        """Start all daemons."""
        for address in self.addresses:
            self._start_daemon(tasks, address)

    def _start_daemon(self, tasks: TaskGroup, address: str) -> None:
        index = len(self.fleets)
        log = ConfigurationLog(self.clock, _decode_version)
        log.advance(1)
        rng = random.Random(self.rng.random())
        fleet = Fleet(
            FleetSettings(
                fleet='model',
                peer_address=address,
                admin_address='',
                failure_domain=str(index % self.domains),
                incarnation=str(index),
                seeds=tuple(self.addresses[:_SEED_COUNT]),
                codec=JsonCodec(),
            ),
            self.clock,
            log,
            Metrics(''),
            rng,
            tables=(STORE_READER_TABLE, STORE_LOST_TABLE),
        )
        fleet.relay_at_once(STORE_LOST_TABLE)
        fleet.peer_client.connect = partial(self._connect, tasks, address)
        self.fleets[address] = fleet
        beacons = ReaderBeacons(
            'model',
            fleet.membership,
            fleet.gossip.logs,
            UPSTREAM_ERA_LOG,
            fleet.gossip.era,
            self.clock,
            rng,
            partial(self._send_datagram, address),
        )
        self.beacons[address] = beacons
        role = ReaderRole(
            fleet.membership,
            log,
            fleet.gossip_table(STORE_LOST_TABLE),
            self.clock,
            readers=fleet.gossip_table(STORE_READER_TABLE),
            contact=fleet.contact,
            takeover=BeaconTakeover(
                beacons,
                fleet.membership,
                fleet.gossip_table(STORE_LOST_TABLE),
                self.clock,
            ),
        )
        tasks.start_soon(BeaconSender(role, beacons, self.clock).run)
        tasks.start_soon(fleet.peer_client.run)
        tasks.start_soon(fleet.send_heartbeats)
        for table in _TABLES:
            watch = StoreWatch(
                table,
                self.source(address, table),
                role,
                log.apply_rows if table == OPERATORS else _ignore_rows,
                self.clock,
                rng,
            )
            tasks.start_soon(watch.run)

    def _send_datagram(self, sender: str, receiver: str, packed: bytes) -> None:
        """Deliver a datagram after the latency, unless it is lost."""
        if self.rng.random() < _DATAGRAM_LOSS:
            return
        asyncio.get_running_loop().call_later(
            seconds_of(_LATENCY), self._deliver, sender, receiver, packed
        )

    def _deliver(self, sender: str, receiver: str, packed: bytes) -> None:
        if self.is_linked(sender, receiver) and receiver in self.beacons:
            self.beacons[receiver].receive(sender, packed)

    async def _connect(
        self, tasks: TaskGroup, caller: str, host: str, port: int
    ) -> ByteStream:
        await self.clock.sleep(_LATENCY)
        callee = f'{host}:{port}'
        if not (
            self.is_linked(caller, callee) and self.is_linked(callee, caller)
        ):
            await anyio.sleep_forever()
        near, far = make_connection(
            partial(self.is_linked, caller, callee),
            partial(self.is_linked, callee, caller),
        )
        tasks.start_soon(self.fleets[callee].peer_server.serve, far)
        return near


class _RefusalFleet(ReadingFleet):
    """A fleet whose readers the store refuses."""

    def __init__(self, plan: ReadingPlan) -> None:
        super().__init__(plan.daemons, plan.domains, plan.seed)
        self.plan = plan

    def source(self, caller: str, table: str) -> RowSource:
        """Return the rows of a table for one daemon."""
        return _CallerRows(self.store, caller)

    async def run(self) -> ReadingFigures:
        plan = self.plan
        self.store = _RefusingStore(self.clock)
        async with anyio.create_task_group() as tasks:
            self.start_all(tasks)
            await self.clock.sleep(plan.refused_at)
            self.store.refuse_readers(plan)
            readers = set(self.store.refused)
            await self.clock.sleep(plan.ends_at - plan.refused_at)
            tasks.cancel_scope.cancel()
        return self._figures(len(readers))

    def _figures(self, readers: int) -> ReadingFigures:
        refused_at = self.plan.refused_at
        calls = [call for call in self.store.calls if call.at > refused_at]
        served = [call.at - refused_at for call in calls if call.is_served]
        callers = {
            call.caller for call in calls if call.at < refused_at + _LATE_WINDOW
        }
        return ReadingFigures(
            readers, min(served, default=None), len(callers), len(calls)
        )


def _address_of(index: int) -> str:
    high, low = divmod(index, _LAST_OCTET)
    return f'10.{high}.{low}.1:{_PORT}'


def _decode_version(text: str) -> Result[Configuration, str]:
    return Ok(Configuration(int(text), (), {}, CallerLimits(0, 0, 0, 0)))


def _ignore_rows(
    rows: StoreRows,
    is_whole: bool,
    returned_at: Millis | None,
    requested_at: Millis,
) -> None:
    """Ignore rows, as entries of upstreams do not confirm a configuration."""
