"""Routing policies by name, for benchmarks.

Operators cannot select them; no setting refers to them.
"""

from collections.abc import Callable
from types import MappingProxyType

from expression import Error, Ok, Result

from cowslippond_core._clock import Clock
from cowslippond_core._prequal import ProbePool
from cowslippond_core._routing import (
    LeastInFlight,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)

_PROBES_PER_CALL = 0.3

_POLICIES = MappingProxyType[str, Callable[[Clock], object]](
    {
        'least_in_flight': lambda _: LeastInFlight(),
        'prequal': lambda clock: ProbePool(clock, _PROBES_PER_CALL),
        'random': lambda _: RandomChoice(),
        'round_robin': lambda _: RoundRobin(),
        'two_choices': lambda _: TwoChoices(),
    }
)


def make_policy(name: str, clock: Clock) -> Result[object, str]:
    """Return the routing policy with a name, for use by :class:`Sender`.

    :param name: name of the policy, such as ``two_choices``.
    :param clock: the clock of the process.
    :return: the policy, or an error that lists the valid names.
    """
    make = _POLICIES.get(name)
    if make is None:
        names = ', '.join(_POLICIES)
        return Error(
            f'unknown routing policy {name!r}; expected one of {names}'
        )
    return Ok(make(clock))
