"""Simulate typical loads, or how fleets join, and print the figures.

Run as ``python -m cowslippond_standins.model``.
"""

import statistics

import defopt
from cowslippond_core import Millis

from cowslippond_standins.model import (
    JoiningPlan,
    Load,
    Outcome,
    simulate,
    simulate_joining,
    simulate_reader_loss,
)

_SHOP = Load(rate=100, seconds=20, objective=200, deadline=1200)
_STOCK = Load(
    rate=36,
    seconds=20,
    objective=400,
    deadline=2500,
    service_time=150,
    initial_service_time=140,
    machines=(5, 4, 3),
)
_P99 = 0.99


def _print_figures(name: str, load: Load, seeds: int) -> None:
    tallies = [simulate(load._replace(seed=seed)) for seed in range(seeds)]
    figures = [
        (
            outcome.value,
            statistics.mean(one.fraction(outcome) for one in tallies),
        )
        for outcome in Outcome
    ]
    calls = sum(tally.outcomes.total() for tally in tallies)
    sends = sum(tally.sends for tally in tallies)
    probes = sum(tally.probes for tally in tallies)
    p99 = statistics.mean(tally.quantile(_P99) for tally in tallies)
    machine_seconds = sum(load.machines) * load.seconds * seeds
    figures += [
        ('p99', p99),
        ('readings/s', probes / machine_seconds),
        ('far', sum(tally.remote_sends for tally in tallies) / sends),
        ('again', sends / calls - 1),
    ]
    text = '  '.join(f'{label} {round(figure, 3)}' for label, figure in figures)
    print(name, text)


def _print_joining(daemons: int, seeds: int) -> None:
    for seed in range(seeds):
        figures = simulate_joining(JoiningPlan(daemons, seed=seed))
        print(
            f'{daemons} daemons, seed {seed}:',
            f'size known after {round(figures.size_known_after)} ms,',
            f'list after {round(figures.informed_after)} ms,',
            f'{round(figures.mean_kilobytes)} KB a daemon,',
            f'{round(figures.most_kilobytes)} KB on the busiest',
        )


def _print_losses(daemons: int, seeds: int) -> None:
    latest: Millis = 0
    for seed in range(seeds):
        figures = simulate_reader_loss(daemons, seed)
        latest = max(latest, figures.latest)
        print(
            f'{daemons} daemons, seed {seed}: {figures.lost} lost,',
            f'{round(figures.offset)} ms after the change;',
            f'known everywhere after {round(figures.latest)} ms,',
            f'at {figures.missing} never;',
            f'{figures.calm_calls} calls/s before,',
            f'{figures.calls} calls in the 2 s after the loss',
        )
    print(f'{daemons} daemons: known everywhere after {round(latest)} ms')


def main(
    *,
    seeds: int = 3,
    daemons: list[int] | None = None,
    losses: list[int] | None = None,
) -> None:
    """Simulate the loads of a shop, or fleets that start or lose their readers.

    :param seeds: the number of runs of each load or fleet.
    :param daemons: the sizes of fleets that start all at once, to simulate
        instead of the loads.
    :param losses: the sizes of fleets that lose the daemons that read the
        store, to simulate instead of the loads.
    """
    for size in daemons or ():
        _print_joining(size, seeds)
    for size in losses or ():
        _print_losses(size, seeds)
    if daemons or losses:
        return
    for rate in (60, 100, 125, 140, 170):
        _print_figures(f'catalogue {rate}/s', _SHOP._replace(rate=rate), seeds)
    for rate in (36, 50, 65):
        _print_figures(f'stock {rate}/s', _STOCK._replace(rate=rate), seeds)
    _print_figures('two hang half', _SHOP._replace(hanging=2), seeds)
    _print_figures('two slow', _SHOP._replace(slow=2), seeds)


if __name__ == '__main__':
    defopt.run(main)
