"""The load and the faults of each benchmark scenario."""

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
_HANGING: Mapping[str, Any] = MappingProxyType({'hang': True})
_HEALTHY: Mapping[str, Any] = MappingProxyType(
    {'slowdown': 1, 'fail_fast': 'off', 'hang': False}
)
_STEADY: Mapping[str, Any] = MappingProxyType({**_NO_NOISE, **_HEALTHY})
_COLD: Mapping[str, Any] = MappingProxyType({**_STEADY, 'cold_ms': 700})
_NOISY: Mapping[str, Any] = MappingProxyType({**_NOISE, **_HEALTHY})

_QUEUE = 64


class Scenario(NamedTuple):
    """The conditions under which a policy is measured.

    ``load`` is a fraction of the capacity at full speed, and ``steps`` are
    factors that multiply it in equal parts of the block. ``base_behaviour``
    applies to all measured upstreams. ``affected_behaviour`` overrides it for
    the first ``affected_count`` of them, or for the first failure domain if the
    count is zero. ``batch_load`` is the load of a concurrent batch service on
    separate upstreams, as a fraction of their capacity. With ``restarts``, the
    block starts with a cold start of all measured upstreams. ``store_outage``
    is the fault of the platform's table and object store during the block.
    ``queue`` is the number of calls that wait at an upstream before it sheds
    load.
    """

    name: str
    load: float
    base_behaviour: Mapping[str, Any]
    affected_behaviour: Mapping[str, Any] = _HEALTHY
    affected_count: int = 1
    queue: int = 0
    steps: tuple[float, ...] = (1,)
    batch_load: float = 0
    restarts: bool = False
    store_outage: str = 'none'

    def phases(self, duration: float, capacity: float) -> list[Phase]:
        """Return the phases of a block with their call rates.

        :param duration: the length of the block, in milliseconds.
        :param capacity: the capacity of all upstreams, in calls per second.
        """
        span = duration / len(self.steps)
        rate = self.load * capacity
        return [Phase(span, rate * step) for step in self.steps]


_LOW_LOAD = 0.5
_MEDIUM_LOAD = 0.7
_HIGH_LOAD = 0.85
_STEP_BASE_LOAD = 0.6
_OVERLOAD = 1.3
_STEP_FACTORS = (1, _OVERLOAD / _STEP_BASE_LOAD, 1, 1)

SCENARIOS = (
    Scenario('steady-70', _MEDIUM_LOAD, _STEADY),
    Scenario('shifts-50', _LOW_LOAD, _NOISY),
    Scenario('shifts-70', _MEDIUM_LOAD, _NOISY),
    Scenario('shifts-85', _HIGH_LOAD, _NOISY),
    Scenario('shifts-70-queueing', _MEDIUM_LOAD, _NOISY, queue=_QUEUE),
    Scenario('straggler-70', _MEDIUM_LOAD, _NOISY, _STRAGGLER),
    Scenario('beside-batch-70', _MEDIUM_LOAD, _NOISY, batch_load=_OVERLOAD),
    Scenario('step-60-130-60', _STEP_BASE_LOAD, _NOISY, steps=_STEP_FACTORS),
    Scenario('cold-50', _LOW_LOAD, _COLD, restarts=True),
    Scenario('store-outage-70', _MEDIUM_LOAD, _NOISY, store_outage='hang'),
    Scenario('black-hole-70', _MEDIUM_LOAD, _NOISY, _BLACK_HOLE),
    Scenario('domain-gone-50', _LOW_LOAD, _NOISY, _HANGING, affected_count=0),
)
