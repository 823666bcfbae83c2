"""Measurements of the benchmark and the comparison of the policies."""

import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from rich.table import Table

from cowslippond_standins.bench._policies import SHIPPED

_DIGITS = 1
_SHARE_DIGITS = 3
_NAME_WIDTH = 20
_POLICY_WIDTH = 12


class Row(NamedTuple):
    """The measurements of one block.

    Latencies are in milliseconds. Calls that were not answered count with the
    caller's timeout, except in ``p99_answered``, which excludes them. ``rate``
    is in calls per second. ``goodput`` is the fraction of calls answered in
    each load step, and ``batch_answered`` the calls per second that the
    concurrent batch service answered. ``measuring_share`` is the rate of probes
    as a fraction of the capacity, and ``wasted_share`` the fraction of the
    upstreams' slot time spent on runs whose answer was not used.
    ``daemon_cpu`` is the mean CPU use of a daemon as a fraction of a core, and
    ``daemon_megabytes`` the resident memory of the largest daemon.
    """

    scenario: str
    policy: str
    seed: int
    rate: float
    calls: int
    p50: float
    p90: float
    p99: float
    p999: float
    p99_answered: float
    outcomes: dict[str, int]
    reasons: dict[str, int]
    retries: dict[str, int]
    goodput: list[float]
    batch_answered: float
    probes_per_call: float
    measuring_share: float
    wasted_share: float
    daemon_cpu: float
    daemon_megabytes: float


class Ratio(NamedTuple):
    """The p99 of the shipped policy divided by that of the best baseline.

    The best baseline is the policy with the lowest median p99. The quotient is
    computed for each seed.
    """

    scenario: str
    best_baseline: str
    median: float
    lowest: float
    highest: float


def compare_policies(rows: Sequence[Row]) -> list[Ratio]:
    """Compare the shipped policy with the best baseline in each scenario."""
    comparisons = []
    for scenario in dict.fromkeys(row.scenario for row in rows):
        in_scenario = [row for row in rows if row.scenario == scenario]
        ratio = _compare_in_scenario(scenario, in_scenario)
        if ratio is not None:
            comparisons.append(ratio)
    return comparisons


def format_row(row: Row) -> str:
    """Format the main figures of a row as one line."""
    answered = row.outcomes.get('answered', 0)
    parts = (
        row.scenario.ljust(_NAME_WIDTH),
        row.policy.ljust(_POLICY_WIDTH),
        f'seed {row.seed}',
        f'p50 {row.p50:.1f} ms',
        f'p99 {row.p99:.1f} ms',
        f'{answered} of {row.calls} answered',
    )
    return ' '.join(parts)


def format_ratio(ratio: Ratio) -> str:
    """Format a comparison as one line."""
    return (
        f'{ratio.scenario}: p99 of shipped / {ratio.best_baseline} = '
        f'{ratio.median:.2f} ({ratio.lowest:.2f} to {ratio.highest:.2f})'
    )


def median_p99(rows: Iterable[Row], policy: str) -> float:
    """Return the median p99 of a policy over the seeds."""
    latencies = [row.p99 for row in rows if row.policy == policy]
    return statistics.median(latencies) if latencies else float('inf')


def make_table(rows: Sequence[Row]) -> Table:
    """Return a table of the medians over the seeds."""
    columns = (
        'scenario',
        'policy',
        'p50',
        'p90',
        'p99',
        'p99.9',
        'p99 of answered',
        'answered',
        'retries/call',
        'wasted',
        'measuring',
        'cpu',
        'MB',
    )
    table = Table(*columns, title='medians over the seeds, latencies in ms')
    for key in dict.fromkeys((row.scenario, row.policy) for row in rows):
        group = [row for row in rows if (row.scenario, row.policy) == key]
        table.add_row(*key, *_medians(group))
    return table


def _medians(group: Sequence[Row]) -> list[str]:
    figures = [
        [row.p50 for row in group],
        [row.p90 for row in group],
        [row.p99 for row in group],
        [row.p999 for row in group],
        [row.p99_answered for row in group],
    ]
    shares = [
        [row.outcomes.get('answered', 0) / row.calls for row in group],
        [sum(row.retries.values()) / row.calls for row in group],
        [row.wasted_share for row in group],
        [row.measuring_share for row in group],
        [row.daemon_cpu for row in group],
    ]
    memory = [row.daemon_megabytes for row in group]
    return [
        *(_format_median(figure, _DIGITS) for figure in figures),
        *(_format_median(share, _SHARE_DIGITS) for share in shares),
        _format_median(memory, _DIGITS),
    ]


def _format_median(figures: Sequence[float], digits: int) -> str:
    return str(round(statistics.median(figures), digits))


def _compare_in_scenario(scenario: str, rows: Sequence[Row]) -> Ratio | None:
    baselines = {row.policy for row in rows} - {SHIPPED}
    shipped = {row.seed: row.p99 for row in rows if row.policy == SHIPPED}
    if not baselines or not shipped:
        return None
    best = min(baselines, key=lambda policy: median_p99(rows, policy))
    quotients = [
        shipped[row.seed] / row.p99
        for row in rows
        if row.policy == best and row.seed in shipped
    ]
    return Ratio(
        scenario,
        best,
        statistics.median(quotients),
        min(quotients),
        max(quotients),
    )
