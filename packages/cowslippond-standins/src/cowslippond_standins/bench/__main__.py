"""Run the benchmark: each scenario under each policy, interleaved."""

import pathlib
import signal
import tempfile
from collections.abc import Sequence

import anyio
import defopt
import orjson
from rich.console import Console

from cowslippond_standins.bench import _plots
from cowslippond_standins.bench._blocks import Block, measure
from cowslippond_standins.bench._fleet import Fleet, FleetPlan
from cowslippond_standins.bench._policies import VARIANTS, PolicyVariant
from cowslippond_standins.bench._rows import (
    Row,
    compare_policies,
    format_ratio,
    format_row,
    make_table,
)
from cowslippond_standins.bench._scenarios import SCENARIOS, Scenario
from cowslippond_standins.harness._deployment import Deployment

_MILLIS_PER_SECOND = 1000
_DEFAULT_SEEDS = 2
_DEFAULT_SECONDS = 4
_TABLE_WIDTH = 140
_BUILD = pathlib.Path('build')


def plan_blocks(
    scenarios: Sequence[Scenario],
    variants: Sequence[PolicyVariant],
    seeds: int,
    seconds: float,
) -> list[Block]:
    """Return the blocks to measure, in order.

    The order of the policies rotates with the seed and the scenario, so that
    no policy is always measured first.
    """
    blocks = []
    for seed in range(1, seeds + 1):
        for index, scenario in enumerate(scenarios):
            first = (seed + index) % len(variants)
            for variant in (*variants[first:], *variants[:first]):
                duration = seconds * _MILLIS_PER_SECOND
                blocks.append(Block(scenario, variant, seed, duration))
    return blocks


async def _measure_all(plan: FleetPlan, blocks: Sequence[Block]) -> list[Row]:
    rows = []
    with tempfile.TemporaryDirectory(prefix='cowslippond-') as folder:
        async with Deployment(pathlib.Path(folder)) as deployment:
            fleet = Fleet(deployment, plan)
            await fleet.start()
            for block in blocks:
                row = await measure(fleet, block)
                rows.append(row)
                print(format_row(row), flush=True)
    return rows


def _report(rows: Sequence[Row], plan: FleetPlan, out: pathlib.Path) -> None:
    comparisons = compare_policies(rows)
    Console(width=_TABLE_WIDTH).print(make_table(rows))
    print('\n'.join(format_ratio(ratio) for ratio in comparisons))
    out.mkdir(parents=True, exist_ok=True)
    report = {
        'fleet': plan._asdict(),
        'rows': [row._asdict() for row in rows],
        'ratios': [ratio._asdict() for ratio in comparisons],
    }
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2)
    (out / 'bench.json').write_bytes(text)
    _plots.plot_p99(rows, out / 'bench-p99.png')
    for scenario in dict.fromkeys(row.scenario for row in rows):
        path = out / f'bench-{scenario}.png'
        _plots.plot_curves(rows, scenario, path)


def main(
    *,
    seeds: int = _DEFAULT_SEEDS,
    seconds: float = _DEFAULT_SECONDS,
    scenarios: list[str] | None = None,
    policies: list[str] | None = None,
    upstreams: int = 7,
    daemons: int = 6,
    stretch: float = 3,
    out: pathlib.Path = _BUILD,
) -> None:
    """Compare routing policies with real processes on this machine.

    :param seeds: the number of seeds for each scenario and policy.
    :param seconds: the length of a block.
    :param scenarios: names of the scenarios; all of them by default.
    :param policies: names of the policies; all of them by default.
    :param upstreams: the number of upstreams, each with 2 slots.
    :param daemons: the number of daemons.
    :param stretch: a factor that multiplies all times of the upstreams. Above
        1, calls are fewer and longer, so that this machine is not the
        bottleneck.
    :param out: the directory for ``bench.json`` and the plots.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    selected = [
        scenario
        for scenario in SCENARIOS
        if not scenarios or scenario.name in scenarios
    ]
    plan = FleetPlan(upstreams, 2, daemons, stretch)
    variants = [
        variant
        for variant in VARIANTS
        if not policies or variant.name in policies
    ]
    blocks = plan_blocks(selected, variants, seeds, seconds)
    rows = anyio.run(
        _measure_all, plan, blocks, backend_options={'use_uvloop': True}
    )
    _report(rows, plan, out)


if __name__ == '__main__':
    defopt.run(main)
