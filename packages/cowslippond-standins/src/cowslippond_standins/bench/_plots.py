"""Plots of the benchmark."""

import pathlib
from collections.abc import Sequence

import matplotlib as mpl
from matplotlib import pyplot

from cowslippond_standins.bench._rows import Row, median_p99

mpl.use('agg')

_WIDTH_INCHES = 11
_HEIGHT_INCHES = 5
_BAR_GROUP_WIDTH = 0.8
_LABEL_ROTATION_DEGREES = 15


def plot_p99(rows: Sequence[Row], path: pathlib.Path) -> None:
    """Plot the p99 latency of each policy in each scenario."""
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    figure, axes = pyplot.subplots(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
    width = _BAR_GROUP_WIDTH / len(policies)
    for index, policy in enumerate(policies):
        heights = []
        for scenario in scenarios:
            in_scenario = [row for row in rows if row.scenario == scenario]
            heights.append(median_p99(in_scenario, policy))
        positions = [
            position + index * width for position in range(len(scenarios))
        ]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks(
        range(len(scenarios)), scenarios, rotation=_LABEL_ROTATION_DEGREES
    )
    axes.set_yscale('log')
    axes.set_ylabel('p99 in ms, median over the seeds')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_curves(rows: Sequence[Row], scenario: str, path: pathlib.Path) -> None:
    """Plot the latency percentiles of each policy and seed in a scenario."""
    figure, axes = pyplot.subplots(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
    names = ('50', '90', '99', '99.9')
    policies = list(dict.fromkeys(row.policy for row in rows))
    for row in rows:
        if row.scenario != scenario:
            continue
        colour = f'C{policies.index(row.policy)}'
        curve = (row.p50, row.p90, row.p99, row.p999)
        label = f'{row.policy}, seed {row.seed}'
        axes.plot(names, curve, color=colour, marker='o', label=label)
    axes.set_yscale('log')
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency in ms')
    axes.set_title(scenario)
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
