"""Routing policies by name, for measurements; none of them is a setting."""

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
    """Return the routing policy of a name, for :class:`Sender`.

    :param name: such as ``two_choices``.
    :param clock: of the process.
    :return: the policy, or which names there are.
    """
    make = _POLICIES.get(name)
    if make is None:
        names = ', '.join(_POLICIES)
        return Error(f'no routing policy {name!r}; there are {names}')
    return Ok(make(clock))
