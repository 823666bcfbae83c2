"""What a daemon keeps for each service while calls are dispatched."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import ServiceFacts
from cowslippond_core._upstreams import UpstreamSet
from cowslippond_core.dispatch._budget import FleetRetryBudget
from cowslippond_core.dispatch._load_prober import LoadProber
from cowslippond_core.placing import Placer, ServiceTimeEstimator


class FleetBounds(NamedTuple):
    """Bounds that all daemons keep together.

    ``retry_share`` and ``retry_floor`` bound the repeated sends of a service
    within ``retry_window`` milliseconds. ``reading_rate`` is the most readings
    of one upstream a second.
    """

    retry_share: float
    retry_floor: float
    retry_window: Millis
    reading_rate: float


class Service:
    """The upstreams of one service and what decides about its calls.

    :param facts: from the configuration in force.
    """

    def __init__(
        self,
        facts: ServiceFacts,
        upstreams: UpstreamSet,
        reader: LoadProber,
        pace: ServiceTimeEstimator,
        placer: Placer,
        budget: FleetRetryBudget,
    ) -> None:
        self.facts = facts
        self.upstreams = upstreams
        self.prober = reader
        self.estimator = pace
        self.placer = placer
        self.budget = budget
