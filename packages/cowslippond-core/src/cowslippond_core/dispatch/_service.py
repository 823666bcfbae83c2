"""The state that a daemon keeps for each service."""

import math
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import ServiceEntry
from cowslippond_core._upstreams import UpstreamSet
from cowslippond_core.dispatch._budget import FleetRetryBudget
from cowslippond_core.dispatch._load_prober import LoadProber
from cowslippond_core.placing import Placer, ServiceTimeEstimator, UploadGate


class FleetBounds(NamedTuple):
    """Limits that apply to all daemons together.

    ``retry_ratio`` (a fraction of the calls) and ``min_retries`` (additional
    sends) limit the retries and hedges of a service within ``retry_window``
    milliseconds. ``probe_rate`` is the maximum number of load probes per
    upstream per second.
    """

    retry_ratio: float
    min_retries: float
    retry_window: Millis
    probe_rate: float


class Service:
    """The upstreams of one service and the parts that dispatch its calls.

    ``uploads`` limits how many bodies are streamed at once.

    :param entry: the service's entry in the configuration in force.
    :param upstreams: the upstreams of the service.
    :param prober: probes them for their load.
    :param estimator: estimates the service time and the wait for a slot.
    :param placer: assigns upstreams to calls.
    :param budget: limits retries and hedges.
    """

    def __init__(
        self,
        entry: ServiceEntry,
        upstreams: UpstreamSet,
        prober: LoadProber,
        estimator: ServiceTimeEstimator,
        placer: Placer,
        budget: FleetRetryBudget,
    ) -> None:
        self.entry = entry
        self.upstreams = upstreams
        self.prober = prober
        self.estimator = estimator
        self.placer = placer
        self.budget = budget
        self.uploads = UploadGate(upstreams.count_allowed, placer.clock)

    def lacks_share(self, now: Millis) -> bool:
        """Tell whether this daemon may send no call to any upstream.

        Other daemons then hold the parts of the rates of all upstreams, which
        are cold.
        """
        if self.entry.warm_up_rate <= 0:
            return False
        wait = self.placer.selector.acceptance_wait(frozenset(), 0, now)
        return math.isinf(wait)
