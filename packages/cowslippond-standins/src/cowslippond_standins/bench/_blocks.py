"""Measure one block: one scenario under one policy with one seed."""

from collections import Counter
from typing import NamedTuple

import anyio
from cowslippond_core import Clock, Millis

from cowslippond_standins.bench import _policies, _usage
from cowslippond_standins.bench._fleet import Fleet
from cowslippond_standins.bench._rows import Row
from cowslippond_standins.bench._scenarios import Scenario
from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import Mix, Phase, plan_calls
from cowslippond_standins.load._report import (
    Report,
    histogram_of,
    percentiles_of,
)

_CALLER_TIMEOUT: Millis = 6000
_BATCH_CALLER_TIMEOUT: Millis = 12_000
_WARM_UP: Millis = 500
_SETTLE_TIME: Millis = 300
_MILLIS_PER_SECOND = 1000
_RETRIES_PREFIX = 'retries.'


class Block(NamedTuple):
    """The parameters of one block."""

    scenario: Scenario
    variant: _policies.PolicyVariant
    seed: int
    duration: Millis


async def measure(fleet: Fleet, block: Block) -> Row:
    """Run a block and return its measurements."""
    clock = Clock()
    fleet.switch_policy(block.variant.routing)
    await fleet.set_behaviour(block.scenario)
    phases = block.scenario.phases(block.duration, fleet.plan.capacity())
    await _send(fleet, block, [Phase(_WARM_UP, phases[0].rate)])
    await clock.sleep(_SETTLE_TIME)
    await fleet.start_scenario(block.scenario)
    retries_before = await _count_retries(fleet)
    cpu_before = [_usage.cpu_time(pid) for pid in fleet.daemon_ids()]
    batch = Report()
    report = await _send_both(fleet, block, phases, batch)
    cpu_after = [_usage.cpu_time(pid) for pid in fleet.daemon_ids()]
    await clock.sleep(_SETTLE_TIME)
    work = _usage.total_work(await fleet.finish_scenario())
    cpu_spent = sum(cpu_after) - sum(cpu_before)
    return _row(
        fleet,
        block,
        report,
        work,
        cpu=cpu_spent / len(cpu_after) / block.duration,
        batch=batch,
        retries=await _count_retries(fleet) - retries_before,
    )


async def _send_both(
    fleet: Fleet, block: Block, phases: list[Phase], batch: Report
) -> Report:
    async with anyio.create_task_group() as group:
        if block.scenario.batch_load:
            group.start_soon(_send_batch, fleet, block, batch)
        report = await _send(fleet, block, phases)
    return report


async def _send(fleet: Fleet, block: Block, phases: list[Phase]) -> Report:
    mix = Mix(block.variant.host(), '/items', mean_work_ms=fleet.plan.mean_ms())
    calls = plan_calls(phases, [mix], block.seed)
    targets = [daemon.caller_address for daemon in fleet.deployment.daemons]
    generator = LoadGenerator(targets, block.seed, _CALLER_TIMEOUT)
    return await generator.run(calls)


async def _send_batch(fleet: Fleet, block: Block, report: Report) -> None:
    mix = Mix(
        f'{_policies.BATCH}.example', '/', mean_work_ms=fleet.plan.mean_ms()
    )
    rate = block.scenario.batch_load * fleet.plan.batch_capacity()
    calls = plan_calls([Phase(block.duration, rate)], [mix], block.seed)
    targets = [daemon.caller_address for daemon in fleet.deployment.daemons]
    generator = LoadGenerator(targets, block.seed, _BATCH_CALLER_TIMEOUT)
    generator.report = report
    await generator.run(calls)


async def _count_retries(fleet: Fleet) -> Counter[str]:
    total: Counter[str] = Counter()
    for daemon in fleet.deployment.daemons:
        status = await daemon.status()
        for name, count in status['counters'].items():
            if name.startswith(_RETRIES_PREFIX):
                total[name.removeprefix(_RETRIES_PREFIX)] += count
    return total


def _row(
    fleet: Fleet,
    block: Block,
    report: Report,
    work: _usage.Work,
    *,
    cpu: float,
    batch: Report,
    retries: Counter[str],
) -> Row:
    latencies = [
        record.elapsed
        if record.outcome == _outcomes.ANSWERED
        else _CALLER_TIMEOUT
        for record in report.records
    ]
    percentiles = percentiles_of(histogram_of(latencies))
    seconds = block.duration / _MILLIS_PER_SECOND
    probe_rate = work.probes / seconds
    pids = fleet.daemon_ids()
    return Row(
        scenario=block.scenario.name,
        policy=block.variant.name,
        seed=block.seed,
        rate=len(latencies) / seconds,
        calls=len(latencies),
        p50=percentiles['p50'],
        p90=percentiles['p90'],
        p99=percentiles['p99'],
        p999=percentiles['p99.9'],
        p99_answered=percentiles_of(report.latency())['p99'],
        outcomes=dict(report.outcomes),
        reasons=dict(report.reasons),
        retries=dict(retries),
        goodput=_goodput(block, report),
        batch_answered=batch.outcomes[_outcomes.ANSWERED] / seconds,
        probes_per_call=work.probes / max(len(latencies), 1),
        measuring_share=probe_rate / fleet.plan.capacity(),
        wasted_share=work.wasted_share(),
        daemon_cpu=cpu,
        daemon_megabytes=max(_usage.resident_memory(pid) for pid in pids),
    )


def _goodput(block: Block, report: Report) -> list[float]:
    steps = len(block.scenario.steps)
    sent: Counter[int] = Counter()
    answered: Counter[int] = Counter()
    for record in report.records:
        step = int(record.call.at * steps / block.duration)
        sent[step] += 1
        answered[step] += record.outcome == _outcomes.ANSWERED
    return [answered[step] / max(sent[step], 1) for step in range(steps)]
