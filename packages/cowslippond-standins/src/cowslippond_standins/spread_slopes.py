"""Measure the cost of spreading changes to daemons, and how long it takes.

``python -m cowslippond_standins.spread_slopes`` runs fleets of several sizes in
a few processes over the loopback interface. It prints a row for each size and
the slopes of the costs, and writes ``build/spread_slopes.json``. The platform's
table is a fake whose changes follow a schedule, so that the cost of a real
table is not measured.
"""

import multiprocessing
import pathlib
import random
import socket
import statistics
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio
import defopt
import orjson

from cowslippond_standins._spread_fleet import (
    LEAVING_MARKS,
    FleetFigures,
    FleetPart,
    FleetPlan,
)

_FIRST_PORT = 21_000
_LAST_PORT = 29_000
_KILOBYTE = 1024
_PERCENT = 100
_PERCENTILES = 100
_P50 = 50
_P99 = 99

# Size of the fleet in the sweeps over services and changes.
_DAEMONS = 20
_NANOS_PER_MILLI = 1_000_000
_OUTPUT = pathlib.Path('build/spread_slopes.json')


class Row(NamedTuple):
    """The cost per daemon in a fleet of one size.

    ``core_share`` is in per cent of one core. ``kb_per_second`` counts both
    directions, and ``most_kb_per_second`` is that of the busiest daemon.
    ``reads_per_second`` are the table reads of the whole fleet. ``known`` is
    the lowest number of daemons that a daemon knew at the end, and
    ``marks_known`` the mean fraction of daemons that learnt that an upstream
    was marked as leaving. Delays and ages are in milliseconds.
    """

    sweep: str
    daemons: int
    services: int
    changes_per_second: float
    core_share: float
    kb_per_second: float
    most_kb_per_second: float
    rounds_per_second: float
    reads_per_second: float
    memory_mb: float
    failures: int
    known: int
    marks_known: float
    mark_delay_max: float
    delay_p50: float
    delay_p99: float
    delay_max: float
    confirmed_age_max: float
    domain_age_max: float


def run_slopes(
    *,
    processes: int = 4,
    warm_up_s: float = 10,
    measured_s: float = 10,
    only: str = '',
) -> None:
    """Measure all sizes and print a row for each, and the slopes.

    :param processes: the number of processes that run the daemons of a fleet.
    :param warm_up_s: the time before the measurement starts, in seconds.
    :param measured_s: the length of the measurement, in seconds.
    :param only: the only sweep to run: peers, services or changes.
    """
    base = FleetPlan(
        daemons=_DAEMONS,
        services=10,
        changes_per_second=0,
        warm_up_s=warm_up_s,
        measured_s=measured_s,
        processes=processes,
        base_port=0,
        starts_at=0,
    )
    rows = []
    for sweep, plan in _plans(base):
        if only and sweep != only:
            continue
        port = _find_free_ports(plan.daemons)
        row = _measure(sweep, plan._replace(base_port=port))
        rows.append(row)
        print(_format(row), flush=True)
    _print_slopes(rows)
    _OUTPUT.parent.mkdir(exist_ok=True)
    _OUTPUT.write_bytes(orjson.dumps([row._asdict() for row in rows]))


def _plans(base: FleetPlan) -> list[tuple[str, FleetPlan]]:
    peers = [
        ('peers', base._replace(daemons=daemons))
        for daemons in (10, 20, 40, 80, 160)
    ]
    services = [
        ('services', base._replace(services=services))
        for services in (10, 75, 150, 300)
    ]
    changes = [
        ('changes', base._replace(changes_per_second=changes))
        for changes in (0.25, 0.5, 1, 2)
    ]
    return [*peers, *services, *changes]


def _find_free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive ports without a listener."""
    while True:
        first = random.randrange(_FIRST_PORT, _LAST_PORT)
        if all(_is_free(port) for port in range(first, first + count)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(('127.0.0.1', port)) != 0


def _measure(sweep: str, plan: FleetPlan) -> Row:
    starts_at = time.time_ns() // _NANOS_PER_MILLI
    plan = plan._replace(starts_at=starts_at)
    spawn = multiprocessing.get_context('spawn')
    with spawn.Pool(plan.processes) as pool:
        parts = pool.starmap(
            measure_part, [(plan, part) for part in range(plan.processes)]
        )
    return _summarise(sweep, plan, parts)


def measure_part(plan: FleetPlan, part: int) -> FleetFigures:
    """Run and measure the daemons of one process."""
    fleet = FleetPart(plan, part)
    return anyio.run(fleet.measure, backend_options={'use_uvloop': True})


def _summarise(
    sweep: str, plan: FleetPlan, parts: Sequence[FleetFigures]
) -> Row:
    daemon_seconds = sum(part.wall_s * part.daemons for part in parts)
    wall_s = statistics.fmean(part.wall_s for part in parts)
    delays = sorted(delay for part in parts for delay in part.delays)
    mark_delays = [delay for part in parts for delay in part.mark_delays]
    bytes_moved = sum(part.bytes_moved for part in parts)
    most_bytes = max(part.max_daemon_bytes for part in parts)
    return Row(
        sweep=sweep,
        daemons=plan.daemons,
        services=plan.services,
        changes_per_second=plan.changes_per_second,
        core_share=sum(part.cpu_s for part in parts)
        / daemon_seconds
        * _PERCENT,
        kb_per_second=bytes_moved / daemon_seconds / _KILOBYTE,
        most_kb_per_second=most_bytes / wall_s / _KILOBYTE,
        rounds_per_second=sum(part.rounds for part in parts) / daemon_seconds,
        reads_per_second=sum(part.reads for part in parts) / wall_s,
        memory_mb=max(part.memory_kb for part in parts) / _KILOBYTE,
        failures=sum(part.failures for part in parts),
        known=min(part.known for part in parts),
        marks_known=len(mark_delays) / plan.daemons / LEAVING_MARKS,
        mark_delay_max=max(mark_delays, default=0),
        delay_p50=_percentile(delays, _P50),
        delay_p99=_percentile(delays, _P99),
        delay_max=max(delays, default=0),
        confirmed_age_max=max(max(part.confirmed_ages) for part in parts),
        domain_age_max=max(max(part.domain_ages) for part in parts),
    )


def _percentile(ordered: Sequence[float], percentile: int) -> float:
    if len(ordered) < 2:
        return 0
    return statistics.quantiles(ordered, n=_PERCENTILES)[percentile - 1]


def _format(row: Row) -> str:
    cells = [
        f'{cell:.2f}' if isinstance(cell, float) else str(cell) for cell in row
    ]
    pairs = zip(row._fields, cells, strict=True)
    return ' '.join(f'{name}={cell}' for name, cell in pairs)


def _print_slopes(rows: Sequence[Row]) -> None:
    sizes: dict[str, Callable[[Row], float]] = {
        'peers': lambda row: row.daemons,
        'services': lambda row: row.services,
        'changes': lambda row: row.changes_per_second,
    }
    for sweep, size_of in sizes.items():
        in_sweep = [row for row in rows if row.sweep == sweep]
        if len(in_sweep) < 2:
            continue
        sweep_sizes = [size_of(row) for row in in_sweep]
        core_line = _slope(sweep_sizes, [row.core_share for row in in_sweep])
        traffic_line = _slope(
            sweep_sizes, [row.kb_per_second for row in in_sweep]
        )
        print(f'{sweep}: core % = {core_line}; KB/s = {traffic_line}')


def _slope(sizes: Sequence[float], costs: Sequence[float]) -> str:
    line = statistics.linear_regression(sizes, costs)
    return f'{line.intercept:.3f} + {line.slope:.5f} per unit'


if __name__ == '__main__':
    defopt.run(run_slopes)
