"""The loads of two deployments, and a comparison of rules under them."""

import statistics
from collections.abc import Iterator
from types import MappingProxyType
from typing import NamedTuple

from cowslippond_core.placing import DEFAULT_RULES, OverloadRules

from cowslippond_standins.model._load import Kind, Load, Outcome, Tally
from cowslippond_standins.model._simulation import simulate

_FIRST_SECOND = 2

# Each load is that of one service: services share no upstreams.
_SEARCH = Load(
    rate=291,
    seconds=8,
    objective=824,
    deadline=4089,
    service_time=352,
    initial_service_time=350,
    machines=(31, 30, 30),
    daemons=(46, 45, 45),
    slots=6,
    queue=0,
    sheds=True,
    probe_rate=42,
    priority=0,
    caller_spread=10,
    impatient_ratio=1 / 3,
    patient_retries=1,
)
_BROWSE = Load(
    rate=221,
    seconds=8,
    objective=682,
    deadline=5000,
    service_time=190,
    initial_service_time=190,
    machines=(38, 38, 37),
    daemons=(19, 19, 18),
    queue=1,
    sheds=True,
    caller_spread=10,
    shift_ratio=0.55,
)

LOADS = MappingProxyType(
    {
        'gateway': (
            _SEARCH,
            _SEARCH._replace(
                rate=95,
                objective=1229,
                deadline=5042,
                service_time=466,
                initial_service_time=470,
                machines=(13, 13, 13),
                priority=1,
            ),
            _SEARCH._replace(
                rate=76,
                objective=4042,
                deadline=10_045,
                service_time=887,
                initial_service_time=890,
                machines=(20, 20, 20),
                priority=2,
            ),
        ),
        'records': (
            _BROWSE,
            _BROWSE._replace(
                rate=79.5,
                objective=891,
                service_time=250,
                initial_service_time=250,
                machines=(18, 18, 17),
            ),
            _BROWSE._replace(
                rate=27.8,
                objective=1734,
                service_time=220,
                initial_service_time=220,
                machines=(9, 9, 9),
                further_kinds=(Kind(24.3, 579, 5000, 150),),
            ),
        ),
    }
)

RULES = MappingProxyType(
    {
        'none': OverloadRules(full_ratio=-1, refuses_late=False),
        'crowded slots stay free': OverloadRules(
            keeps_crowded_free=True, full_ratio=-1, refuses_late=False
        ),
        'short waits': OverloadRules(refuses_late=False),
        'short waits, late refused': DEFAULT_RULES,
        'overload from half': OverloadRules(full_ratio=0.5),
        'with crowded slots free': OverloadRules(keeps_crowded_free=True),
    }
)


class RuleFigures(NamedTuple):
    """What a service achieves under one set of rules.

    ``goodput`` is in calls per second. The fractions of calls are of those of
    all callers, of patient ones and of those that retry at once.
    ``refusal_delay`` is the 95 % quantile as a fraction of the objective, and
    ``beside_idle`` the fraction of refusals while a usable machine was idle.
    """

    rules: str
    goodput: float
    timely: float
    late: float
    patient: float
    impatient: float
    refusal_delay: float
    beside_idle: float


def shrink(load: Load, factor: int) -> Load:
    """Return a load with fewer machines, daemons and calls."""
    return load._replace(
        rate=load.rate / factor,
        further_kinds=tuple(
            kind._replace(rate=kind.rate / factor)
            for kind in load.further_kinds
        ),
        machines=_shrink_counts(load.machines, factor),
        daemons=_shrink_counts(load.daemons, factor),
    )


def compare_rules(load: Load, seeds: int) -> Iterator[RuleFigures]:
    """Simulate a load under each set of rules."""
    for name, rules in RULES.items():
        tallies = [
            simulate(load._replace(rules=rules, seed=seed))
            for seed in range(seeds)
        ]
        yield _summarize(name, load, tallies)


def goodput(load: Load, tally: Tally) -> float:
    """Return the calls per second answered in time, once all have started."""
    seconds = range(_FIRST_SECOND, int(load.seconds))
    return sum(tally.timely[second] for second in seconds) / len(seconds)


def _summarize(name: str, load: Load, tallies: list[Tally]) -> RuleFigures:
    delays = [delay for tally in tallies for delay in tally.refusal_delays]
    beside_idle = sum(tally.refusals_beside_idle for tally in tallies)
    patient = [tally.outcomes - tally.impatient for tally in tallies]
    counted = Outcome.IN_OBJECTIVE
    return RuleFigures(
        name,
        statistics.mean(goodput(load, tally) for tally in tallies),
        statistics.mean(tally.fraction(counted) for tally in tallies),
        statistics.mean(tally.fraction(Outcome.LATE) for tally in tallies),
        statistics.mean(one[counted] / one.total() for one in patient),
        statistics.mean(
            tally.impatient[counted] / max(tally.impatient.total(), 1)
            for tally in tallies
        ),
        sorted(delays)[len(delays) * 95 // 100] if delays else 0,
        beside_idle / max(len(delays), 1),
    )


def _shrink_counts(counts: tuple[int, ...], factor: int) -> tuple[int, ...]:
    return tuple(max(round(count / factor), 1) for count in counts)
