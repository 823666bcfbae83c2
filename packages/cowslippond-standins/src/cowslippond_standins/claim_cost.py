"""Measure what a claimed order costs the table and the daemon.

Run as ``python -m cowslippond_standins.claim_cost``. The stand-in of the
platform runs as a process of its own; orders are claimed and recorded with one
write at a time, with several in flight, and with the writes of several orders
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
_MEDIAN = 50
_TAIL = 99
_GROUPS = 2
_SEVERAL = 16
_MANY = 64
_SMALL_GROUP = 8
_LARGE_GROUP = 25
_OK_STATUS = 200


class Way(NamedTuple):
    """How the orders are written.

    ``group`` is the most writes in one transaction; 1 is a write by itself.
    """

    name: str
    in_flight: int
    group: int


class Cost(NamedTuple):
    """What one way of writing cost."""

    way: Way
    orders_per_second: float
    p50_ms: Millis
    p99_ms: Millis
    cpu_us: float
    requests: float


WAYS = (
    Way('one at a time', 1, 1),
    Way('several in flight', _SEVERAL, 1),
    Way('many in flight', _MANY, 1),
    Way('many in flight, small groups', _MANY, _SMALL_GROUP),
    Way('many in flight, large groups', _MANY, _LARGE_GROUP),
)


class _Waiting:
    def __init__(self, put: Put) -> None:
        self.put = put
        self.done = anyio.Event()
        self.written: Result[None, TableError] | None = None


class GroupedTable:
    """Writes that arrive while others are under way go in one transaction.

    A group that fails is written again one by one, which tells each its own
    result.

    :param table: where the groups go.
    :param size: the most writes in a group.
    """

    def __init__(self, table: Table, size: int) -> None:
        self.table = table
        self.size = size
        self.waiting: deque[_Waiting] = deque()
        self.flights = 0

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the newest state of an item."""
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
        """Write one item, alone or together with others."""
        mine = _Waiting(put)
        self.waiting.append(mine)
        if self.flights < _GROUPS:
            await self._fly()
        else:
            await mine.done.wait()
        assert mine.written is not None
        return mine.written

    async def _fly(self) -> None:
        self.flights += 1
        while self.waiting:
            count = min(self.size, len(self.waiting))
            await self._write([self.waiting.popleft() for _ in range(count)])
        self.flights -= 1

    async def _write(self, group: Sequence[_Waiting]) -> None:
        written = await self.table.transact([one.put for one in group])
        for one in group:
            one.written = written
            if written.is_error():
                one.written = await self.table.put(one.put)
            one.done.set()


class OrderRun:
    """Places orders in one way and measures them.

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
        """Place orders one after another."""
        for name in names:
            started = self.clock.now()
            end = await self.flow.run(
                _request(name, started), CallIdentity('s', 'c', name), _answer
            )
            self.refused += isinstance(end, CallRefusal)
            waited = (self.clock.now() - started) * _MICROS_PER_MILLI
            self.histogram.record_value(int(waited))

    def percentile(self, share: int) -> Millis:
        """Return a percentile of the time for an order, in milliseconds."""
        micros: int = self.histogram.get_value_at_percentile(share)
        return micros / _MICROS_PER_MILLI


async def measure(way: Way, platform: PlatformHandle, orders: int) -> Cost:
    """Return what a number of orders cost, written in one way."""
    clock = Clock()
    dynamo = DynamoTable(platform.url, way.name, _TIMEOUT)
    table: Table = GroupedTable(dynamo, way.group) if way.group > 1 else dynamo
    store = S3ObjectStore(f'{platform.url}/objects', 'claims', _TIMEOUT)
    backlog = ClaimBacklog(Claims(table, store, clock, 'claim-cost'), clock)
    run = OrderRun(ClaimFlow(backlog.claims, backlog, clock), clock)
    before = await _requests(platform)
    cpu = time.process_time()
    started = clock.now()
    await _place_all(way, run, orders)
    seconds = (clock.now() - started) / _MILLIS_PER_SECOND
    cpu = time.process_time() - cpu
    await dynamo.close()
    assert not run.refused, f'{run.refused} orders were refused'
    return Cost(
        way,
        orders / seconds,
        run.percentile(_MEDIAN),
        run.percentile(_TAIL),
        cpu * _MICROS_PER_SECOND / orders,
        (await _requests(platform) - before) / orders,
    )


async def _place_all(way: Way, run: OrderRun, orders: int) -> None:
    backlog = run.flow.backlog
    names = [f'{way.name}-{number}' for number in range(orders)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backlog.run)
        async with anyio.create_task_group() as tills:
            for till in range(way.in_flight):
                tills.start_soon(run.place, names[till :: way.in_flight])
        while not backlog.is_idle():
            await run.clock.sleep(1)
        tasks.cancel_scope.cancel()


async def _requests(platform: PlatformHandle) -> int:
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
        with contextlib.ExitStack() as at_end:
            at_end.callback(processes.kill_all)
            platform = PlatformHandle(processes)
            await platform.start()
            await platform.control('set_faults', part='table', delay_ms=delay)
            return [await measure(way, platform, orders) for way in WAYS]


def main(*, orders: int = 2000, delay_ms: float = 0) -> None:
    """Print a table of the ways to write claims and records.

    :param orders: number of orders for each way.
    :param delay_ms: added to each request by the table, in milliseconds.
    """
    printed = Printed('way', 'orders/s', 'p50 ms', 'p99 ms', 'CPU us', 'writes')
    costs = anyio.run(
        _measure_all,
        orders,
        delay_ms,
        backend_options={'use_uvloop': True},
    )
    for cost in costs:
        printed.add_row(
            cost.way.name,
            f'{cost.orders_per_second:.0f}',
            f'{cost.p50_ms:.1f}',
            f'{cost.p99_ms:.1f}',
            f'{cost.cpu_us:.0f}',
            f'{cost.requests:.2f}',
        )
    Console(width=100).print(printed)


if __name__ == '__main__':
    defopt.run(main)
