"""Demo of two users' services, a drained upstream and a retired daemon."""

import pathlib
import signal
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import defopt
from cowslippond_core import Clock, Millis, seconds_of
from rich.console import Console
from rich.table import Table

from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    UpstreamPlan,
)
from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._audit import Audit, audit
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import Mix, Phase, plan_calls
from cowslippond_standins.load._report import Report, percentiles_of

_EXAMPLES = pathlib.Path(__file__).parents[4] / 'examples'
_RUN_DURATION: Millis = 15_000
_DRAIN_AT: Millis = 4000
_RETIRE_AT: Millis = 7000
# Runs that start on the drained upstream after this time are failures.
_DRAIN_GRACE: Millis = 3000
_VM_LIST_LAG: Millis = 1500
_RETIRE_TIMEOUT: Millis = 20_000
_IN_FORCE_TIMEOUT: Millis = 15_000
_POLL_INTERVAL: Millis = 100
_RATE = 200
_ORDER_SHARE = 0.8
_REPEAT_SHARE = 0.3
_REPEAT_AFTER: Millis = 1500
_CALLER_FAILURES = (_outcomes.UNKNOWN, _outcomes.FAILED)

_DOMAINS = ('reykjavik', 'kopavogur', 'keflavik')
_MIXES = (
    Mix('shop.example', '/prints', weight=7, sizes=(256, 4096, 100_000)),
    Mix(
        'shop.example',
        '/orders/status',
        '/orders',
        weight=4,
        order_share=_ORDER_SHARE,
        repeat_share=_REPEAT_SHARE,
        repeat_after_ms=_REPEAT_AFTER,
        caller_header='x-caller',
    ),
    Mix('dealers.example', '/parts', weight=6, sizes=(0, 512, 20_000)),
    Mix(
        'dealers.example',
        '/bookings',
        '/bookings',
        weight=3,
        order_share=_ORDER_SHARE,
        repeat_share=_REPEAT_SHARE,
        repeat_after_ms=_REPEAT_AFTER,
        caller_header='x-dealer-clerk',
    ),
)
_SERVICES = (
    'shop-catalogue',
    'shop-checkout',
    'dealers-parts',
    'dealers-booking',
)


class DemoRun(NamedTuple):
    """Results of a run of the demo."""

    report: Report
    audit: Audit
    late_runs: int
    exit_code: int
    counters: dict[str, int]

    def failures(self) -> list[str]:
        """Return a message for each failed check."""
        failures = []
        if not self.audit.is_clean():
            failures.append(
                f'the ledgers and the callers disagree: {self.audit}'
            )
        for outcome in _CALLER_FAILURES:
            count = self.report.outcomes[outcome]
            if count:
                failures.append(f'{count} calls ended as {outcome}')
        if self.late_runs:
            failures.append(f'{self.late_runs} runs on the drained upstream')
        if self.exit_code:
            failures.append(f'the retired daemon ended with {self.exit_code}')
        return failures


async def start_deployment(
    deployment: Deployment, documents: Sequence[pathlib.Path]
) -> Address:
    """Start upstreams, daemons and balancer, and put documents in force."""
    await deployment.platform.control('set_lag', lag_ms=_VM_LIST_LAG)
    for index, service in enumerate(_SERVICES):
        domains = (_DOMAINS[index % 3], _DOMAINS[(index + 1) % 3])
        plan = UpstreamPlan(service, seed=index)
        await deployment.add_upstreams(plan, domains, queue=8)
    for domain in _DOMAINS:
        await deployment.add_daemon(domain)
    balancer = await deployment.add_balancer()
    for path in documents:
        code, output = await deployment.apply(path)
        print(output.strip())
        if code:
            sys.exit(f'{path} was not accepted')
    for daemon in deployment.daemons:
        await deployment.wait_serving(daemon)
    await _wait_in_force(deployment)
    return balancer


async def _wait_in_force(deployment: Deployment) -> None:
    with anyio.fail_after(seconds_of(_IN_FORCE_TIMEOUT)):
        for daemon in deployment.daemons:
            while not await _has_all_services(daemon):
                await deployment.processes.clock.sleep(_POLL_INTERVAL)


async def _has_all_services(daemon: DaemonHandle) -> bool:
    status = await daemon.status()
    return set(_SERVICES) <= set(status['versions'])


async def run_maintenance(
    deployment: Deployment, exit_codes: list[int]
) -> None:
    """Drain one upstream and retire one daemon under load."""
    clock = Clock()
    await clock.sleep(_DRAIN_AT)
    upstream = deployment.upstreams[0]
    print(f'draining {upstream.vm}')
    await upstream.change(draining=True)
    await deployment.platform.set_state(upstream.vm, 'leaving')
    await clock.sleep(_RETIRE_AT - _DRAIN_AT)
    daemon = deployment.daemons[0]
    print(f'retiring {daemon.vm}')
    exit_codes.append(await deployment.retire(daemon, _RETIRE_TIMEOUT))
    print(f'{daemon.vm} has ended')


async def run_under_load(
    deployment: Deployment, balancer: Address, seed: int
) -> DemoRun:
    """Send calls during the maintenance and audit their outcomes."""
    calls = plan_calls([Phase(_RUN_DURATION, _RATE)], _MIXES, seed)
    generator = LoadGenerator([balancer], seed)
    start_time = Clock().now()
    exit_codes: list[int] = []
    async with anyio.create_task_group() as group:
        group.start_soon(run_maintenance, deployment, exit_codes)
        report = await generator.run(calls)
    drained = await deployment.upstreams[0].ledger()
    limit = start_time + _DRAIN_AT + _DRAIN_GRACE
    late = [run for run in drained['runs'] if run['started'] > limit]
    return DemoRun(
        report=report,
        audit=audit(report.records, await deployment.runs()),
        late_runs=len(late),
        exit_code=exit_codes[0],
        counters=dict(deployment.statsd.counters),
    )


def make_table(demo_run: DemoRun) -> Table:
    """Return a table with the results of a run."""
    table = Table('figure', 'value', title='cowslippond at work')
    latency = percentiles_of(demo_run.report.latency())
    rows: dict[str, float] = {
        'calls': len(demo_run.report.records),
        'p50 in ms': round(latency['p50'], 1),
        'p99 in ms': round(latency['p99'], 1),
    }
    for outcome, count in sorted(demo_run.report.outcomes.items()):
        rows[f'outcome {outcome}'] = count
    for name, count in sorted(demo_run.counters.items()):
        counter = name.removeprefix('cowslippond.')
        if counter.startswith(('refusals.', 'retries.')):
            rows[counter] = count
    rows['orders sent'] = demo_run.audit.orders_sent
    rows['orders run'] = demo_run.audit.orders_run
    rows['runs of an order beyond its first'] = len(demo_run.audit.duplicated)
    rows['calls cut'] = demo_run.audit.cut
    for label, number in rows.items():
        table.add_row(label, str(number))
    return table


async def run_demo(documents: Sequence[pathlib.Path], seed: int) -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory(prefix='cowslippond-') as folder:
        async with Deployment(pathlib.Path(folder)) as deployment:
            balancer = await start_deployment(deployment, documents)
            demo_run = await run_under_load(deployment, balancer, seed)
    Console().print(make_table(demo_run))
    failures = demo_run.failures()
    for failure in failures:
        print(f'FAILED: {failure}')
    return 1 if failures else 0


def main(*, examples: pathlib.Path = _EXAMPLES, seed: int = 1) -> None:
    """Run a deployment on this machine, send calls and check the outcomes.

    :param examples: directory of service documents.
    :param seed: seed of the call schedule.
    """
    for stop in (signal.SIGINT, signal.SIGTERM):
        signal.signal(stop, signal.default_int_handler)
    documents = sorted(examples.glob('*/*.jsonc'))
    sys.exit(
        anyio.run(
            run_demo, documents, seed, backend_options={'use_uvloop': True}
        )
    )


if __name__ == '__main__':
    defopt.run(main)
