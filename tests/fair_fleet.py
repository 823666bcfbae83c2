"""Daemons with workspaces in simulated time.

The placing code is the real one; gossip reaches each daemon after a delay.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import CallAnswer, CallRefusal, RefusalReason
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core.dispatch import DEMAND_TABLE, SharedDemand
from cowslippond_core.workspaces import CallAccess, KeyRegistry, Workspace
from cowslippond_standins.model import Load
from cowslippond_standins.model._simulation import _Daemon, _Simulation
from cowslippond_standins.model._virtual_time import backend_options

# The calls of the first seconds are not counted: rows have to arrive.
START_MS = 3000


class Callers(NamedTuple):
    """The callers of one workspace.

    ``rate`` is in calls per second, ``daemons`` are the numbers of the daemons
    that they are connected to.
    """

    rate: float
    daemons: range
    quota: float = 0


class FairFleet(_Simulation):
    """Runs the calls of workspaces, and counts those answered in time."""

    def __init__(
        self,
        load: Load,
        callers: Mapping[str, Callers],
        gossip_ms: float | None = 900,
    ) -> None:
        super().__init__(load)
        self.callers = callers
        self.gossip_ms = gossip_ms
        self.workspaces = {
            name: Workspace(name, 1, one.quota) for name, one in callers.items()
        }
        self.calls: Counter[str] = Counter()
        self.timely: Counter[str] = Counter()
        self.reasons: defaultdict[str, Counter[RefusalReason]] = defaultdict(
            Counter
        )
        self.tables: list[GossipTable] = []
        self.most_rows = 0
        self.daemons: list[_Daemon] = []

    def start(self) -> 'FairFleet':
        anyio.run(self.run, backend_options=backend_options())
        return self

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._make_machines(tasks)
            self.daemons = self._make_daemons(tasks)
            self._share_demand(tasks)
            for name in self.callers:
                tasks.start_soon(self._send, name, tasks)
            await self.clock.sleep(self.load.seconds * 1000)
            tasks.cancel_scope.cancel()

    def share_of(self, *names: str) -> float:
        """Return the share of calls that were answered in time."""
        calls = sum(self.calls[name] for name in names)
        return sum(self.timely[name] for name in names) / calls

    def _share_demand(self, tasks: TaskGroup) -> None:
        self.tables = [
            GossipTable(DEMAND_TABLE, self.clock) for _ in self.daemons
        ]
        for number, daemon in enumerate(self.daemons):
            table = self.tables[number]
            shared = SharedDemand(
                table,
                str(number),
                partial(iter, (daemon.service,)),
                self._list_workspaces,
                daemon.ctx.count_daemons,
                self.clock,
            )
            if self.gossip_ms is None:
                continue
            table.listeners.append(partial(self._forward, number, tasks))
            tasks.start_soon(shared.run)

    def _list_workspaces(self) -> Mapping[str, Workspace]:
        return self.workspaces

    def _forward(self, number: int, tasks: TaskGroup, row: GossipRow) -> None:
        if row.key.endswith(f'\n{number}'):
            tasks.start_soon(self._deliver, row)

    async def _deliver(self, row: GossipRow) -> None:
        await self.clock.sleep(self.gossip_ms or 0)
        for table in self.tables:
            table.merge(row)
        self.most_rows = max(self.most_rows, len(self.tables[0].rows()))

    async def _send(self, name: str, tasks: TaskGroup) -> None:
        callers = self.callers[name]
        while True:
            daemon = self.daemons[self.rng.choice(callers.daemons)]
            tasks.start_soon(self._call_as, name, daemon)
            await anyio.sleep(self.rng.expovariate(callers.rate))

    async def _call_as(self, name: str, daemon: _Daemon) -> None:
        arrived_at = self.clock.now()
        access = CallAccess(self.workspaces[name], b'', KeyRegistry())
        reply = await daemon.serve(arrived_at, access)
        if arrived_at < START_MS:
            return
        self.calls[name] += 1
        took = self.clock.now() - arrived_at
        if isinstance(reply, CallRefusal):
            self.reasons[name][reply.reason] += 1
        if isinstance(reply, CallAnswer) and took <= self.load.objective:
            self.timely[name] += 1
