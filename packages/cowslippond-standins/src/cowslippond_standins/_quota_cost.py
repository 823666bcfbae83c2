"""Measures the time that the decision about a quota adds to a call."""

import itertools
import random
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import uvloop
from cowslippond_core import Clock, Metrics, Millis
from cowslippond_core.quotas import QuotaBounds, QuotaDatagrams, QuotaLimiter
from cowslippond_core.workspaces import Workspace
from rich.console import Console
from rich.table import Table

_HOST = '127.0.0.1'
_WINDOW: Millis = 5000
_BOUNDS = QuotaBounds(_WINDOW, overshoot=0.1, slack=4)
_P99 = 0.99
_MICROS_PER_MILLI = 1000
_SETTLE_SECONDS = 3
_MANY = 1_000_000
_PLENTY = 'plenty'
_FLOODED = 'flooded'


def measure_quota_cost(calls: int, ports: tuple[int, int]) -> None:
    """Print the microseconds of decisions of each kind.

    The owner and the daemon that asks it run in this process, so that a round
    trip contains the work of both.

    :param calls: the number of calls of each kind.
    :param ports: two free ports.
    """
    uvloop.run(_measure(calls, ports))


async def _measure(calls: int, ports: tuple[int, int]) -> None:
    owner, asking = [await _open(f'{_HOST}:{port}') for port in ports]
    # A list without the daemon that asks leaves the other one as the owner.
    for limiter in (owner, asking):
        limiter.update({owner.own_address: 'a'}, 1)
    await anyio.sleep(_SETTLE_SECONDS)
    table = Table('microseconds', 'p50', 'p99')
    # Different workspaces: nothing is asked for ahead of need.
    names = itertools.cycle([f'w{number}' for number in range(calls)])
    add_row = partial(_add_row, table, calls)
    await add_row('no limit', partial(owner.take, 'unknown'))
    await add_row('token of the own share', partial(owner.take, _PLENTY))
    await add_row('refusal', partial(owner.take, _FLOODED))
    await add_row('token of another daemon', lambda: asking.take(next(names)))
    Console().print(table)
    for limiter in (owner, asking):
        limiter.datagrams.close()


class _Limiter(QuotaLimiter):
    """A limiter with its port."""

    datagrams: QuotaDatagrams


async def _open(address: str) -> _Limiter:
    datagrams = QuotaDatagrams(Metrics(''))
    await datagrams.open(address)
    limiter = _Limiter(
        address,
        'a',
        _find_workspace,
        _BOUNDS,
        datagrams.send,
        Clock(),
        random.Random(1),
        Metrics(''),
    )
    limiter.datagrams = datagrams
    datagrams.receive = limiter.receive
    return limiter


def _find_workspace(name: str) -> Workspace | None:
    if name == _PLENTY or name.startswith('w'):
        return Workspace(name, 0, _MANY, _MANY)
    return Workspace(name, 0, 1, 1) if name == _FLOODED else None


async def _add_row(
    table: Table,
    calls: int,
    kind: str,
    take: Callable[[], Awaitable[object]],
) -> None:
    clock = Clock()
    times = []
    for _ in range(calls):
        started_at = clock.now()
        await take()
        times.append((clock.now() - started_at) * _MICROS_PER_MILLI)
    times.sort()
    quantiles = (times[calls // 2], times[int(calls * _P99)])
    table.add_row(kind, *[f'{quantile:.1f}' for quantile in quantiles])
