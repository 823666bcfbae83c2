"""The daemons of a fleet that one process runs, for ``spread_slopes``."""

import random
import resource
import time
from functools import partial
from typing import NamedTuple

import anyio
from cowslippond_core import (
    AcceptedDocument,
    Catalogue,
    Clock,
    GossipRow,
    ItemKey,
    LeavingSource,
    Metric,
    Metrics,
    Millis,
    Put,
    Spread,
    SpreadSettings,
    TableError,
)
from cowslippond_core._catalogue_layout import (
    CHANGES,
    DOCUMENTS,
    HEAD,
    CatalogueRow,
    change_key,
    document_key,
    encode_row,
)
from cowslippond_core._table import Attributes
from expression import Ok, Result

_MILLIS_PER_SECOND = 1000
_DOMAINS = 14
_SEEDS = 3
_MARK_INTERVAL_S = 0.5

#: Number of upstreams that are marked as leaving during the measurement.
LEAVING_MARKS = 6
_NANOS_PER_MILLI = 1_000_000
_PADDING_CHARS = 2000


class FleetPlan(NamedTuple):
    """The size of a fleet and the schedule of its measurement.

    The changes cycle through all services. ``warm_up_s`` and ``measured_s`` are
    in seconds. ``starts_at`` is the start of the warm-up, in milliseconds since
    the Unix epoch.
    """

    daemons: int
    services: int
    changes_per_second: float
    warm_up_s: float
    measured_s: float
    processes: int
    base_port: int
    starts_at: int


class FleetFigures(NamedTuple):
    """The measurements of one process, summed over its daemons.

    ``wall_s`` and ``cpu_s`` are in seconds, and ``memory_kb`` is the peak
    memory of the process. ``max_daemon_bytes`` is the traffic of the busiest
    daemon. ``known`` is the lowest number of daemons that a daemon knew at the
    end. ``mark_delays`` are the times from the marking of an upstream as
    leaving until a daemon learnt of it, and ``delays`` those from the
    acceptance of a change until it was in force. ``confirmed_ages`` are the
    ages of the last confirmation of each daemon's catalogue, and
    ``domain_ages`` those of its least recent contact with a failure domain.
    Delays and ages are in milliseconds.
    """

    daemons: int
    wall_s: float
    cpu_s: float
    bytes_moved: int
    max_daemon_bytes: int
    rounds: int
    failures: int
    reads: int
    memory_kb: int
    known: int
    mark_delays: list[Millis]
    delays: list[Millis]
    confirmed_ages: list[Millis]
    domain_ages: list[Millis]


class ScheduledTable:
    """A fake table whose content is a function of the time.

    All processes of a fleet thus see the same changes without sharing state.

    :param plan: the number of services and the rate of changes.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan

    def head(self) -> int:
        """Return the current revision."""
        changed_s = self._since_warm_up_s()
        changes = int(changed_s * self.plan.changes_per_second)
        return self.plan.services + changes

    def accepted_at(self, revision: int) -> Millis:
        """Return when a change was accepted, in ms since the Unix epoch.

        :param revision: the revision that the change made.
        """
        index = revision - self.plan.services
        after_s = self.plan.warm_up_s + index / self.plan.changes_per_second
        return self.plan.starts_at + after_s * _MILLIS_PER_SECOND

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the head item; all other items are missing."""
        if key == HEAD:
            return Ok({'revision': self.head()})
        return Ok(None)

    async def put(self, put: Put) -> Result[None, TableError]:
        """Ignore the write; changes follow the schedule."""
        return Ok(None)

    async def transact(self, puts: object) -> Result[None, TableError]:
        """Ignore the write; changes follow the schedule."""
        return Ok(None)

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        """Return changes after a revision, or documents after a service."""
        if partition == CHANGES:
            first = int(after) + 1
            revisions = range(first, min(first + limit, self.head() + 1))
            return Ok([_change_row(self.plan, rev) for rev in revisions])
        rows = [
            (document_key(accepted.service), _encode(accepted))
            for accepted in self._newest_documents()
            if partition == DOCUMENTS and accepted.service > after
        ]
        return Ok(sorted(rows, key=_row_key)[:limit])

    def _newest_documents(self) -> list[AcceptedDocument]:
        head = self.head()
        first = max(head - self.plan.services, 0) + 1
        return [
            _make_document(self.plan, rev) for rev in range(first, head + 1)
        ]

    def _since_warm_up_s(self) -> float:
        now = time.time_ns() / _NANOS_PER_MILLI
        elapsed = (now - self.plan.starts_at) / _MILLIS_PER_SECOND
        return max(elapsed - self.plan.warm_up_s, 0)


class FleetPart:
    """The daemons of one process.

    :param plan: the plan of the whole fleet.
    :param part: the index of this process, from 0.
    """

    def __init__(self, plan: FleetPlan, part: int) -> None:
        self.plan = plan
        self.table = ScheduledTable(plan)
        self.clock = Clock()
        self.part = part
        self.delays: list[Millis] = []
        self.mark_delays: list[Millis] = []
        indices = range(part, plan.daemons, plan.processes)
        self.spreads = [self._make_spread(index) for index in indices]
        self.bytes_before: list[int] = []
        self.last_revisions: dict[int, int] = {}

    async def measure(self) -> FleetFigures:
        """Run the daemons, wait for the end of the warm-up, and measure."""
        async with anyio.create_task_group() as tasks:
            for spread in self.spreads:
                await tasks.start(spread.run)
            await anyio.sleep(self._remaining_warm_up())
            before = self._totals()
            self.bytes_before = [_bytes_of(one) for one in self.spreads]
            if self.part == 0:
                tasks.start_soon(self._mark_leaving)
            started_at = time.perf_counter()
            cpu_before = time.process_time()
            await anyio.sleep(self.plan.measured_s)
            cpu_s = time.process_time() - cpu_before
            wall_s = time.perf_counter() - started_at
            figures = self._figures(before, wall_s, cpu_s)
            tasks.cancel_scope.cancel()
        return figures

    async def _mark_leaving(self) -> None:
        for index in range(LEAVING_MARKS):
            address = f'10.0.0.1:{index}'
            self.spreads[0].leaving.mark(address, LeavingSource.ANSWER)
            await anyio.sleep(_MARK_INTERVAL_S)

    def _record_mark(self, row: GossipRow) -> None:
        self.mark_delays.append(self.clock.wall() - row.stamp)

    def _record_change(self, catalogue: Catalogue) -> None:
        now = self.clock.wall()
        first = (
            max(self.last_revisions.get(id(catalogue), 0), self.plan.services)
            + 1
        )
        for revision in range(first, catalogue.revision + 1):
            self.delays.append(now - self.table.accepted_at(revision))
        self.last_revisions[id(catalogue)] = catalogue.revision

    def _remaining_warm_up(self) -> float:
        elapsed = self.clock.wall() - self.plan.starts_at
        return max(self.plan.warm_up_s - elapsed / _MILLIS_PER_SECOND, 0)

    def _totals(self) -> dict[Metric, int]:
        metrics = (
            Metric.GOSSIP_BYTES_SENT,
            Metric.GOSSIP_BYTES_RECEIVED,
            Metric.GOSSIP_EXCHANGES,
            Metric.GOSSIP_FAILURES,
            Metric.STORE_READS,
        )
        return {
            metric: sum(
                spread.metrics.totals[metric] for spread in self.spreads
            )
            for metric in metrics
        }

    def _figures(
        self, before: dict[Metric, int], wall_s: float, cpu_s: float
    ) -> FleetFigures:
        after = self._totals()
        deltas = {metric: after[metric] - before[metric] for metric in after}
        sent = deltas[Metric.GOSSIP_BYTES_SENT]
        statuses = [spread.status() for spread in self.spreads]
        return FleetFigures(
            daemons=len(self.spreads),
            wall_s=wall_s,
            cpu_s=cpu_s,
            bytes_moved=sent + deltas[Metric.GOSSIP_BYTES_RECEIVED],
            max_daemon_bytes=max(
                _bytes_of(spread) - self.bytes_before[index]
                for index, spread in enumerate(self.spreads)
            ),
            rounds=deltas[Metric.GOSSIP_EXCHANGES],
            failures=deltas[Metric.GOSSIP_FAILURES],
            reads=deltas[Metric.STORE_READS],
            memory_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            known=min(len(status.daemons) for status in statuses),
            mark_delays=self.mark_delays,
            delays=self.delays,
            confirmed_ages=[
                status.confirmed_age
                for status in statuses
                if status.confirmed_age is not None
            ],
            domain_ages=[
                max(status.domain_ages.values()) for status in statuses
            ],
        )

    def _make_spread(self, index: int) -> Spread:
        plan = self.plan
        settings = SpreadSettings(
            fleet='spread-slopes',
            peer_address=_address(plan, index),
            admin_address=_address(plan, index),
            failure_domain=_domain(index),
            incarnation=str(index),
            seeds=tuple(_address(plan, seed) for seed in range(_SEEDS)),
            vm_list_url='',
        )
        catalogue = Catalogue(self.clock)
        catalogue.listeners.append(partial(self._record_change, catalogue))
        spread = Spread(
            settings,
            self.table,
            self.clock,
            catalogue,
            Metrics(''),
            random.Random(index),
        )
        spread.tables['leaving'].listeners.append(self._record_mark)
        return spread


def _bytes_of(spread: Spread) -> int:
    totals = spread.metrics.totals
    received = totals[Metric.GOSSIP_BYTES_RECEIVED]
    return totals[Metric.GOSSIP_BYTES_SENT] + received


def _address(plan: FleetPlan, index: int) -> str:
    port = plan.base_port + index
    return f'127.0.0.1:{port}'


def _domain(index: int) -> str:
    number = index % _DOMAINS
    return f'failure-domain-{number}'


def _make_document(plan: FleetPlan, revision: int) -> AcceptedDocument:
    earlier_versions, index = divmod(revision - 1, plan.services)
    service = f's{index}'
    comment = '-' * _PADDING_CHARS
    text = (
        f'// {comment}\n{{"service": "{service}",'
        f'"match": [{{"host": "*", "path_prefix": "/{service}"}}],'
        '"upstreams": {"slots": 2, "mean_service_ms": 8}}'
    )
    return AcceptedDocument(
        service, earlier_versions + 1, revision, text, 'bench', 0
    )


def _encode(accepted: AcceptedDocument) -> Attributes:
    return encode_row(CatalogueRow(accepted, 'token'))


def _change_row(plan: FleetPlan, revision: int) -> tuple[ItemKey, Attributes]:
    return change_key(revision), _encode(_make_document(plan, revision))


def _row_key(row: tuple[ItemKey, Attributes]) -> ItemKey:
    return row[0]
