"""Measure the cost of a claimed order to the table and the daemon.

Run as ``python -m cowslippond_standins.claim_cost``. The stand-in of the
platform runs in a separate process. Orders are claimed and recorded with one
order in flight, with several in flight, and with the writes of several orders
grouped in one transaction.
"""

import contextlib
import pathlib
import tempfile
import time
from collections import deque
from collections.abc import AsyncGenerator, Sequence
from typing import NamedTuple

import anyio
import defopt
from cowslippond_core import (
    CallAnswer,
    CallIdentity,
    CallRefusal,
    CallRequest,
    CallResult,
    ClaimBacklog,
    ClaimFlow,
    Claims,
    Clock,
    DynamoTable,
    ItemKey,
    Millis,
    Put,
    S3ObjectStore,
    Table,
    TableError,
)
from cowslippond_core._table import Attributes
from expression import Result
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table as Printed

from cowslippond_standins.harness._platform import PlatformHandle
from cowslippond_standins.harness._processes import Processes

_TIMEOUT: Millis = 5000
_DEADLINE: Millis = 60_000
_MICROS_PER_SECOND = 1_000_000
_MICROS_PER_MILLI = 1000
_MILLIS_PER_SECOND = 1000
_HISTOGRAM_DIGITS = 3
_BODY = b'{"receipt": "4711", "total": "2500 ISK"}'
_P50 = 50
_P99 = 99
_MAX_CONCURRENT_GROUPS = 2
_SEVERAL_IN_FLIGHT = 16
_MANY_IN_FLIGHT = 64
_SMALL_GROUP = 8
_LARGE_GROUP = 25
_OK_STATUS = 200


class WriteMode(NamedTuple):
    """How the writes of orders are issued.

    ``in_flight`` is the number of concurrent orders, and ``group_size`` the
    maximum number of writes in a transaction; 1 disables grouping.
    """

    name: str
    in_flight: int
    group_size: int


class Cost(NamedTuple):
    """The measured cost of one write mode.

    ``cpu_us`` is the CPU time of this process and ``writes`` the number of
    write requests to the table, both per order. A transaction is one request.
    """

    mode: WriteMode
    orders_per_second: float
    p50_ms: Millis
    p99_ms: Millis
    cpu_us: float
    writes: float


WRITE_MODES = (
    WriteMode('one at a time', 1, 1),
    WriteMode('several in flight', _SEVERAL_IN_FLIGHT, 1),
    WriteMode('many in flight', _MANY_IN_FLIGHT, 1),
    WriteMode('many in flight, small groups', _MANY_IN_FLIGHT, _SMALL_GROUP),
    WriteMode('many in flight, large groups', _MANY_IN_FLIGHT, _LARGE_GROUP),
)


class _PendingWrite:
    def __init__(self, put: Put) -> None:
        self.put = put
        self.done = anyio.Event()
        self.outcome: Result[None, TableError] | None = None


class GroupedTable:
    """Groups writes that arrive while others are in flight in one transaction.

    If a group fails, its writes are repeated one by one, so that each gets its
    individual result.

    :param table: the table to write to.
    :param group_size: the maximum number of writes in a transaction.
    """

    def __init__(self, table: Table, group_size: int) -> None:
        self.table = table
        self.group_size = group_size
        self.pending: deque[_PendingWrite] = deque()
        self.active_writers = 0

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the latest state of an item."""
        return await self.table.get(key)

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        """Return items of a partition."""
        return await self.table.query(partition, after, limit)

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        """Write all items, or none."""
        return await self.table.transact(puts)

    async def put(self, put: Put) -> Result[None, TableError]:
        """Write one item, alone or in a transaction with others."""
        write = _PendingWrite(put)
        self.pending.append(write)
        if self.active_writers < _MAX_CONCURRENT_GROUPS:
            await self._write_pending()
        else:
            await write.done.wait()
        assert write.outcome is not None
        return write.outcome

    async def _write_pending(self) -> None:
        self.active_writers += 1
        while self.pending:
            count = min(self.group_size, len(self.pending))
            await self._write_group(
                [self.pending.popleft() for _ in range(count)]
            )
        self.active_writers -= 1

    async def _write_group(self, group: Sequence[_PendingWrite]) -> None:
        outcome = await self.table.transact([one.put for one in group])
        for write in group:
            write.outcome = outcome
            if outcome.is_error():
                write.outcome = await self.table.put(write.put)
            write.done.set()


class OrderRun:
    """Places orders and records their latencies.

    :param flow: claims, runs and records an order.
    """

    def __init__(self, flow: ClaimFlow, clock: Clock) -> None:
        self.flow = flow
        self.clock = clock
        self.histogram = HdrHistogram(
            1, _MICROS_PER_SECOND * 60, _HISTOGRAM_DIGITS
        )
        self.refused = 0

    async def place(self, names: Sequence[str]) -> None:
        """Place orders sequentially."""
        for name in names:
            started = self.clock.now()
            response = await self.flow.run(
                _request(name, started), CallIdentity('s', 'c', name), _answer
            )
            self.refused += isinstance(response, CallRefusal)
            micros = (self.clock.now() - started) * _MICROS_PER_MILLI
            self.histogram.record_value(int(micros))

    def percentile(self, percent: int) -> Millis:
        """Return a percentile of the latency of an order."""
        micros: int = self.histogram.get_value_at_percentile(percent)
        return micros / _MICROS_PER_MILLI


async def measure(
    mode: WriteMode, platform: PlatformHandle, orders: int
) -> Cost:
    """Measure the cost of a number of orders in one write mode."""
    clock = Clock()
    dynamo = DynamoTable(platform.url, mode.name, _TIMEOUT)
    table: Table = (
        GroupedTable(dynamo, mode.group_size) if mode.group_size > 1 else dynamo
    )
    store = S3ObjectStore(f'{platform.url}/objects', 'claims', _TIMEOUT)
    backlog = ClaimBacklog(Claims(table, store, clock, 'claim-cost'), clock)
    run = OrderRun(ClaimFlow(backlog.claims, backlog, clock), clock)
    before = await _count_writes(platform)
    cpu = time.process_time()
    started = clock.now()
    await _place_all(mode, run, orders)
    seconds = (clock.now() - started) / _MILLIS_PER_SECOND
    cpu = time.process_time() - cpu
    await dynamo.close()
    assert not run.refused, f'{run.refused} orders were refused'
    return Cost(
        mode,
        orders / seconds,
        run.percentile(_P50),
        run.percentile(_P99),
        cpu * _MICROS_PER_SECOND / orders,
        (await _count_writes(platform) - before) / orders,
    )


async def _place_all(mode: WriteMode, run: OrderRun, orders: int) -> None:
    backlog = run.flow.backlog
    names = [f'{mode.name}-{number}' for number in range(orders)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backlog.run)
        async with anyio.create_task_group() as workers:
            for worker in range(mode.in_flight):
                workers.start_soon(run.place, names[worker :: mode.in_flight])
        while not backlog.is_idle():
            await run.clock.sleep(1)
        tasks.cancel_scope.cancel()


async def _count_writes(platform: PlatformHandle) -> int:
    counters = await platform.counters()
    writes: int = counters['table'].get('writes', 0)
    return writes


async def _answer(request: CallRequest) -> CallResult:
    return CallAnswer(_OK_STATUS, ((b'content-type', b'text/json'),), _chunks())


async def _chunks() -> AsyncGenerator[bytes, None]:
    yield _BODY


def _request(name: str, now: Millis) -> CallRequest:
    return CallRequest(
        request_id=name,
        method=b'POST',
        target=b'/orders',
        headers=(),
        body=name.encode(),
        rest=None,
        is_idempotent=False,
        deadline=now + _DEADLINE,
        attempt=0,
        fingerprint='',
    )


async def _measure_all(orders: int, delay: Millis) -> list[Cost]:
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(pathlib.Path(folder))
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(processes.kill_all)
            platform = PlatformHandle(processes)
            await platform.start()
            await platform.control('set_faults', part='table', delay_ms=delay)
            return [
                await measure(mode, platform, orders) for mode in WRITE_MODES
            ]


def main(*, orders: int = 2000, delay_ms: float = 0) -> None:
    """Print a table of the costs of all write modes.

    :param orders: the number of orders for each write mode.
    :param delay_ms: a delay that the table adds to each request.
    """
    table = Printed('way', 'orders/s', 'p50 ms', 'p99 ms', 'CPU us', 'writes')
    costs = anyio.run(
        _measure_all,
        orders,
        delay_ms,
        backend_options={'use_uvloop': True},
    )
    for cost in costs:
        table.add_row(
            cost.mode.name,
            f'{cost.orders_per_second:.0f}',
            f'{cost.p50_ms:.1f}',
            f'{cost.p99_ms:.1f}',
            f'{cost.cpu_us:.0f}',
            f'{cost.writes:.2f}',
        )
    Console(width=100).print(table)


if __name__ == '__main__':
    defopt.run(main)
