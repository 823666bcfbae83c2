"""Measure the cost of services and upstreams to an idle daemon.

``python -m cowslippond_standins.daemon_slopes`` starts a daemon with each of
four numbers of services and sends a call to every service, so that the daemon
sets it up. It prints the daemon's memory and its CPU use while it receives no
calls, and the slope of each per upstream.
"""

import ipaddress
import os
import pathlib
import tempfile
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import anyio
import defopt
import httpcore
import numpy as np
from cowslippond_core import Millis, seconds_of
from rich.console import Console
from rich.table import Table

from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import DaemonHandle

_SIZES = (10, 75, 150, 300)
_UPSTREAMS = 10
_DOMAINS = 14
_SETTLE_TIME: Millis = 6000
_MEASURED_TIME: Millis = 8000
_KIBIBYTE = 1024
_PERCENT = 100
_USER_TICKS = 13
_SYSTEM_TICKS = 14
_DOCUMENT = """{{
  "service": "service-{index}",
  "match": [{{"host": "s{index}.example", "path_prefix": "/"}}],
  "upstreams": {{"slots": 2, "max_connections": 250, "mean_service_ms": 8}},
  "deadline": {{"default_ms": 200, "ceiling_ms": 2000}},
  "retirement": {{"drain_ms": 5000}},
}}"""


class Row(NamedTuple):
    """The cost of one number of services.

    ``core_share`` is the CPU use in per cent of a core.
    """

    services: int
    upstreams: int
    memory_mb: float
    core_share: float


def measure(*, sizes: tuple[int, ...] = _SIZES) -> None:
    """Print the cost of each size and the slopes.

    :param sizes: the numbers of services; each service has ten upstreams.
    """
    rows = [anyio.run(_measure_size, size) for size in sizes]
    table = Table(*Row._fields)
    for size in rows:
        table.add_row(*(f'{figure:.2f}' for figure in size))
    Console().print(table)
    _print_slope('MB of memory', rows, [row.memory_mb for row in rows])
    _print_slope('% of a core', rows, [found.core_share for found in rows])


def _print_slope(
    unit: str, rows: Sequence[Row], costs: Sequence[float]
) -> None:
    slope, base = np.polyfit([row.upstreams for row in rows], costs, 1)
    print(f'{base:.2f} + {slope:.5f} for each upstream, in {unit}')


async def _measure_size(services: int) -> Row:
    with tempfile.TemporaryDirectory(prefix='cowslippond-') as folder:
        async with Deployment(pathlib.Path(folder)) as deployment:
            daemon = await _start(deployment, services)
            await _call_each(daemon, services)
            await anyio.sleep(seconds_of(_SETTLE_TIME))
            before = _cpu_seconds(daemon)
            await anyio.sleep(seconds_of(_MEASURED_TIME))
            spent = _cpu_seconds(daemon) - before
            return Row(
                services,
                services * _UPSTREAMS,
                _resident_mb(daemon),
                spent / seconds_of(_MEASURED_TIME) * _PERCENT,
            )


async def _start(deployment: Deployment, services: int) -> DaemonHandle:
    entries = [_vm_entry(index) for index in range(services * _UPSTREAMS)]
    await deployment.platform.control('set_vms', vms=entries)
    for index in range(services):
        await deployment.accept(_DOCUMENT.format(index=index))
    daemon = await deployment.add_daemon('domain-0')
    await deployment.wait_serving(daemon)
    return daemon


def _vm_entry(index: int) -> Mapping[str, Any]:
    """Return the VM list entry of an upstream that does not listen."""
    service = index // _UPSTREAMS
    domain = index % _DOMAINS
    address = ipaddress.ip_address('127.1.0.0') + index
    return {
        'targets': [f'{address}:1'],
        'labels': {
            'vm': f'vm-{index}',
            'incarnation': '1',
            'failure_domain': f'domain-{domain}',
            'state': 'live',
            'service': f'service-{service}',
        },
    }


async def _call_each(daemon: DaemonHandle, services: int) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        for index in range(services):
            await pool.request(
                'GET',
                f'http://{daemon.caller_address}/',
                headers={'Host': f's{index}.example'},
            )


def _cpu_seconds(daemon: DaemonHandle) -> float:
    pid = daemon.child.popen.pid
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rsplit(')', 1)[1].split()
    ticks = int(fields[_USER_TICKS - 2]) + int(fields[_SYSTEM_TICKS - 2])
    return ticks / os.sysconf('SC_CLK_TCK')


def _resident_mb(daemon: DaemonHandle) -> float:
    pid = daemon.child.popen.pid
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    resident = int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')
    return resident / _KIBIBYTE**2


if __name__ == '__main__':
    defopt.run(measure)
