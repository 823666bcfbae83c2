"""Simulates who reads the store while daemons are partitioned or refused.

The gossip, membership and reading code is the real one; the network, the store
and the clock are simulated.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

import anyio
from cowslippond_core import (
    CONFIGURATION_KEY,
    Millis,
    RowSource,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
    seconds_of,
)
from expression import Error, Ok, Result

from cowslippond_standins.model._reading import (
    OPERATORS,
    READER_INTERVAL,
    ReadingFleet,
    StoreCall,
)
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

_LATENCY: Millis = 2

# How long a daemon waits for an answer: beyond the wait that it asked for, and
# where it asked for none.
_WAIT_SLACK: Millis = 400
_TIMEOUT: Millis = 1000

_RATE_WINDOW: Millis = 5000
_RATE_STEP: Millis = 250
_MAIN_GROUP = 0


class PartitionPlan(NamedTuple):
    """A fleet that is partitioned, or partly refused by the store.

    Between ``starts_at`` and ``ends_at``, the last ``grouped`` daemons form
    ``groups`` groups that are partitioned from all others, and the
    ``isolated`` daemons before them are each alone. ``deaf`` daemons before
    these receive nothing from their peers, which still receive from them.
    The store refuses one daemon in ``refused_one_in``, others after each
    ``refused_period``; 0 means that it refuses none. The configuration changes
    at each of ``changes_at``, and ``loses_reports`` means that no open call
    reports a change. From ``lost_at`` on, the daemons with the indices ``lost``
    are without power. At ``cut_at``, ``cut_readers`` of the daemons that read
    the store are cut off from it for good, by refusals or in silence, or all
    daemons if ``cuts_all``. Each simulation ends at ``stops_at``.
    """

    starts_at: Millis
    ends_at: Millis
    stops_at: Millis
    daemons: int = 136
    domains: int = 3
    grouped: int = 0
    groups: int = 1
    isolated: int = 0
    deaf: int = 0
    refused_one_in: int = 0
    refused_period: Millis = 100_000
    changes_at: tuple[Millis, ...] = ()
    loses_reports: bool = False
    lost: frozenset[int] = frozenset()
    lost_at: Millis = math.inf
    cut_readers: int = 0
    cuts_all: bool = False
    cut_at: Millis = math.inf
    is_cut_silent: bool = False
    seed: int = 0


class PartitionFigures(NamedTuple):
    """What the store and the daemons saw.

    ``delays`` has one mapping for each change, from the index of each daemon to
    the time in milliseconds after which it had the change. Daemons that never
    had it are missing. ``cut`` are the indices of the daemons that were cut off
    from the store.
    """

    calls: tuple[StoreCall, ...]
    delays: tuple[dict[int, Millis], ...]
    indices: dict[str, int]
    cut: frozenset[int]

    def peak_rate(self, since: Millis, until: Millis) -> float:
        """Return the most calls per second in any 5 s of an interval."""
        times = [call.at for call in self.calls if since <= call.at < until]
        peak = 0
        start = since
        while start + _RATE_WINDOW <= until:
            in_window = sum(start <= at < start + _RATE_WINDOW for at in times)
            peak = max(peak, in_window)
            start += _RATE_STEP
        return peak / seconds_of(_RATE_WINDOW)

    def readers(self, since: Millis, until: Millis) -> set[int]:
        """Return the indices of the daemons that called in an interval."""
        return {
            self.indices[call.caller]
            for call in self.calls
            if since <= call.at < until
        }


def simulate_partition(plan: PartitionPlan) -> PartitionFigures:
    """Simulate a partition, a store that refuses some daemons, or both."""
    fleet = _PartitionedFleet(plan)
    return anyio.run(fleet.run, backend_options=backend_options())


class _OpenCall(NamedTuple):
    """A call for changes that waits; ``is_over`` ends it."""

    caller: str
    table: str
    is_over: anyio.Event


class _ChangingStore:
    """A store whose configuration changes, and which refuses some daemons."""

    def __init__(self, plan: PartitionPlan, clock: VirtualClock) -> None:
        self.plan = plan
        self.clock = clock
        self.calls: list[StoreCall] = []
        self.version = 1
        self.open_calls: list[_OpenCall] = []
        self.cut: set[str] = set()

    def write(self) -> None:
        """Store the next version of the configuration."""
        self.version += 1
        if self.plan.loses_reports:
            return
        for call in self.open_calls:
            if call.table == OPERATORS:
                call.is_over.set()

    def cut_readers(self, alive: Collection[str]) -> None:
        """Cut some of the daemons that read off, also in their open calls.

        :param alive: the addresses of the daemons that have power.
        """
        since = self.clock.now() - READER_INTERVAL
        callers = {call.caller for call in self.calls if call.at > since}
        readers = sorted(callers.intersection(alive))
        self.cut = set(readers[: self.plan.cut_readers])
        if self.plan.cuts_all:
            self.cut = set(alive)
        for call in self.open_calls:
            if call.caller in self.cut and not self.plan.is_cut_silent:
                call.is_over.set()

    def is_lost(self, index: int) -> bool:
        """Return whether a daemon is without power now."""
        plan = self.plan
        return index in plan.lost and self.clock.now() >= plan.lost_at

    def is_refused(self, index: int) -> bool:
        """Return whether the store refuses a daemon now."""
        plan = self.plan
        now = self.clock.now()
        if not plan.refused_one_in or not plan.starts_at <= now < plan.ends_at:
            return False
        turn = int((now - plan.starts_at) // plan.refused_period)
        return (index + turn) % plan.refused_one_in == 0


class _TableRows:
    """A table as one daemon reads it; only the operators' table changes."""

    def __init__(
        self, store: _ChangingStore, caller: str, index: int, table: str
    ) -> None:
        self.store = store
        self.caller = caller
        self.index = index
        self.table = table

    async def read(self) -> Result[StoreRows, StoreError]:
        """Return all rows."""
        return await self._answer(0, 0)

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Return the rows above a revision as soon as there are any."""
        return await self._answer(after, wait)

    async def _answer(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        store = self.store
        clock = store.clock
        gives_up_at = clock.now() + _time_limit(wait)
        await clock.sleep(_LATENCY)
        if store.is_lost(self.index):
            await anyio.sleep_forever()
        is_served = self._is_served()
        store.calls.append(StoreCall(clock.now(), self.caller, is_served))
        if is_served and not self._has_change(after):
            await self._hold(wait)
            if self.table == OPERATORS and store.plan.loses_reports:
                return Ok(StoreRows((), after))
        if store.is_lost(self.index):
            await anyio.sleep_forever()
        if not self._is_served():
            return await self._refuse(gives_up_at)
        if not self._has_change(after):
            return Ok(StoreRows((), max(after, 1)))
        row = StoreRow(CONFIGURATION_KEY, store.version, str(store.version))
        return Ok(StoreRows((row,), store.version))

    def _has_change(self, after: int) -> bool:
        return self.table == OPERATORS and self.store.version > after

    async def _refuse(
        self, gives_up_at: Millis
    ) -> Result[StoreRows, StoreError]:
        """Refuse a call, or leave it without an answer until the caller gives up."""
        store = self.store
        if self.caller in store.cut and store.plan.is_cut_silent:
            await store.clock.sleep(gives_up_at - store.clock.now())
        return Error(StoreError(StoreFault.REFUSED, 'refused'))

    def _is_served(self) -> bool:
        is_cut = self.caller in self.store.cut
        return not is_cut and not self.store.is_refused(self.index)

    async def _hold(self, wait: Millis) -> None:
        """Wait for a change, but end early once the daemon is refused."""
        store = self.store
        clock = store.clock
        ends_at = clock.now() + wait
        starts_at = store.plan.starts_at
        if clock.now() < starts_at < ends_at and store.plan.refused_one_in:
            ends_at = starts_at + 1
        call = _OpenCall(self.caller, self.table, anyio.Event())
        store.open_calls.append(call)
        with anyio.move_on_after(seconds_of(max(ends_at - clock.now(), 0))):
            await call.is_over.wait()
        store.open_calls.remove(call)


def _time_limit(wait: Millis) -> Millis:
    """Return after what time a caller gives up a call."""
    return wait + _WAIT_SLACK if wait else _TIMEOUT


class _PartitionedFleet(ReadingFleet):
    """A fleet that is partitioned for some time."""

    def __init__(self, plan: PartitionPlan) -> None:
        super().__init__(plan.daemons, plan.domains, plan.seed)
        self.plan = plan
        self.indices = {
            address: index for index, address in enumerate(self.addresses)
        }

    def source(self, caller: str, table: str) -> RowSource:
        """Return the rows of a table for one daemon."""
        return _TableRows(self.store, caller, self.indices[caller], table)

    def is_linked(self, near: str, far: str) -> bool:
        """Return whether bytes of one daemon reach another one."""
        plan = self.plan
        if any(self.store.is_lost(self.indices[end]) for end in (near, far)):
            return False
        if not plan.starts_at <= self.clock.now() < plan.ends_at:
            return True
        receiver = self.indices[far]
        first_alone = plan.daemons - plan.grouped - plan.isolated
        if first_alone - plan.deaf <= receiver < first_alone:
            return False
        return self._group_of(self.indices[near]) == self._group_of(receiver)

    async def run(self) -> PartitionFigures:
        """Run until the plan's end."""
        plan = self.plan
        self.store = _ChangingStore(plan, self.clock)
        self.learned: dict[str, list[Millis]] = {}
        async with anyio.create_task_group() as tasks:
            self.start_all(tasks)
            for address, fleet in self.fleets.items():
                self.learned[address] = []
                fleet.catalogue.listeners.append(
                    _Recorder(self, address).record
                )
            if plan.cut_readers or plan.cuts_all:
                tasks.start_soon(self._cut_readers)
            for at in plan.changes_at:
                await self.clock.sleep(at - self.clock.now())
                self.store.write()
            await self.clock.sleep(plan.stops_at - self.clock.now())
            tasks.cancel_scope.cancel()
        return PartitionFigures(
            tuple(self.store.calls),
            tuple(
                self._delays(number, changed_at)
                for number, changed_at in enumerate(plan.changes_at)
            ),
            self.indices,
            frozenset(map(self.indices.__getitem__, self.store.cut)),
        )

    async def _cut_readers(self) -> None:
        await self.clock.sleep(self.plan.cut_at - self.clock.now())
        alive = [
            address
            for address, index in self.indices.items()
            if not self.store.is_lost(index)
        ]
        self.store.cut_readers(alive)

    def _delays(self, number: int, changed_at: Millis) -> dict[int, Millis]:
        return {
            self.indices[address]: times[number] - changed_at
            for address, times in self.learned.items()
            if len(times) > number
        }

    def _group_of(self, index: int) -> int:
        """Return the partition of a daemon; 0 is that of the main group."""
        plan = self.plan
        first_grouped = plan.daemons - plan.grouped
        if index >= first_grouped:
            return 1 + (index - first_grouped) % plan.groups
        if index >= first_grouped - plan.isolated:
            return 1 + plan.groups + index
        return _MAIN_GROUP


class _Recorder:
    """Records when a daemon has learned of each version."""

    def __init__(self, fleet: _PartitionedFleet, address: str) -> None:
        self.fleet = fleet
        self.address = address

    def record(self) -> None:
        """Record the time of all versions that are known now."""
        times = self.fleet.learned[self.address]
        known = self.fleet.fleets[self.address].catalogue.revision - 1
        now = self.fleet.clock.now()
        times.extend(now for _ in range(len(times), known))
