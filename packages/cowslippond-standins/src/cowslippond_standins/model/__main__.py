"""Print what callers get under some loads: ``python -m cowslippond_standins.model``."""

import statistics

import defopt

from cowslippond_standins.model import Load, Outcome, play

_SHOP = Load(rate=100, seconds=20, objective=200, deadline=1200)
_STOCK = Load(
    rate=36,
    seconds=20,
    objective=400,
    deadline=2500,
    work=150,
    first_guess=140,
    domains=(5, 4, 3),
)
_P99 = 0.99


def _show(name: str, load: Load, seeds: int) -> None:
    tallies = [play(load._replace(seed=seed)) for seed in range(seeds)]
    figures = [
        (outcome.value, statistics.mean(one.share(outcome) for one in tallies))
        for outcome in Outcome
    ]
    calls = sum(tally.outcomes.total() for tally in tallies)
    sends = sum(tally.sends for tally in tallies)
    readings = sum(tally.readings for tally in tallies)
    p99 = statistics.mean(tally.quantile(_P99) for tally in tallies)
    machine_seconds = sum(load.domains) * load.seconds * seeds
    figures += [
        ('p99', p99),
        ('readings/s', readings / machine_seconds),
        ('far', sum(tally.far for tally in tallies) / sends),
        ('again', sends / calls - 1),
    ]
    text = '  '.join(f'{label} {round(figure, 3)}' for label, figure in figures)
    print(name, text)


def main(*, seeds: int = 3) -> None:
    """Play the loads of a shop.

    :param seeds: how many runs of each load are averaged.
    """
    for rate in (60, 100, 125, 140, 170):
        _show(f'catalogue {rate}/s', _SHOP._replace(rate=rate), seeds)
    for rate in (36, 50, 65):
        _show(f'stock {rate}/s', _STOCK._replace(rate=rate), seeds)
    _show('two hang half', _SHOP._replace(hanging=2), seeds)
    _show('two slow', _SHOP._replace(slow=2), seeds)


if __name__ == '__main__':
    defopt.run(main)
