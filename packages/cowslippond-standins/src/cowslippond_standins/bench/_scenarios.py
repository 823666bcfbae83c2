"""What the bench does to the upstreams while calls pass."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from cowslippond_standins.load._plan import Phase

_NOISE: Mapping[str, Any] = MappingProxyType(
    {
        'noise_gap_ms': 600,
        'noise_span_ms': 60,
        'noise_slowdown': 6,
        'cold_ms': 0,
    }
)
_NO_NOISE: Mapping[str, Any] = MappingProxyType(
    {'noise_gap_ms': 0, 'cold_ms': 0}
)
_STRAGGLER: Mapping[str, Any] = MappingProxyType({'slowdown': 6})
_BLACK_HOLE: Mapping[str, Any] = MappingProxyType({'fail_fast': 'bare'})
_GONE: Mapping[str, Any] = MappingProxyType({'hang': True})
_HEALTHY: Mapping[str, Any] = MappingProxyType(
    {'slowdown': 1, 'fail_fast': 'off', 'hang': False}
)
_CALM: Mapping[str, Any] = MappingProxyType({**_NO_NOISE, **_HEALTHY})
_COLD: Mapping[str, Any] = MappingProxyType({**_CALM, 'cold_ms': 700})
_SHIFTING: Mapping[str, Any] = MappingProxyType({**_NOISE, **_HEALTHY})

_QUEUE = 64


class Scenario(NamedTuple):
    """One row's surroundings.

    ``load`` is a share of the capacity at full speed. ``everywhere`` is the
    behaviour of all upstreams; ``special`` that of the first ones, as many as
    ``special_count``, or of the first failure domain if that is zero.
    ``batch_load`` is the load of a batch service with upstreams of its own.
    ``restarts`` begins the block with a cold start of all upstreams, and
    ``store_outage`` says how the platform's table and objects fail in it.
    ``queue`` is the number of calls that wait at an upstream before it sheds.
    """

    name: str
    load: float
    everywhere: Mapping[str, Any]
    special: Mapping[str, Any] = _HEALTHY
    special_count: int = 1
    queue: int = 0
    steps: tuple[float, ...] = (1,)
    batch_load: float = 0
    restarts: bool = False
    store_outage: str = 'none'

    def phases(self, duration: float, capacity: float) -> list[Phase]:
        """Return the rates of a block.

        :param duration: of the block, in milliseconds.
        :param capacity: of all upstreams, in calls a second.
        """
        span = duration / len(self.steps)
        rate = self.load * capacity
        return [Phase(span, rate * step) for step in self.steps]


_LOW = 0.5
_MIDDLE = 0.7
_HIGH = 0.85
_STEP = 0.6
_OVERLOAD = 1.3
_STEPS = (1, _OVERLOAD / _STEP, 1, 1)

SCENARIOS = (
    Scenario('steady-70', _MIDDLE, _CALM),
    Scenario('shifts-50', _LOW, _SHIFTING),
    Scenario('shifts-70', _MIDDLE, _SHIFTING),
    Scenario('shifts-85', _HIGH, _SHIFTING),
    Scenario('shifts-70-queueing', _MIDDLE, _SHIFTING, queue=_QUEUE),
    Scenario('straggler-70', _MIDDLE, _SHIFTING, _STRAGGLER),
    Scenario('beside-batch-70', _MIDDLE, _SHIFTING, batch_load=_OVERLOAD),
    Scenario('step-60-130-60', _STEP, _SHIFTING, steps=_STEPS),
    Scenario('cold-50', _LOW, _COLD, restarts=True),
    Scenario('store-outage-70', _MIDDLE, _SHIFTING, store_outage='hang'),
    Scenario('black-hole-70', _MIDDLE, _SHIFTING, _BLACK_HOLE),
    Scenario('domain-gone-50', _LOW, _SHIFTING, _GONE, special_count=0),
)
