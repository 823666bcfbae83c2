"""Applies the begin and the end of evacuations to the services in use."""

import logging
from collections.abc import Set as AbstractSet

from cowslippond_core import EvacuationLog, Services, SharedRateLimits

_logger = logging.getLogger(__name__)


class EvacuationEffects:
    """What evacuations change besides the choice of upstreams.

    :param log: the evacuations in force.
    :param services: the services in use.
    :param rate_limits: limit the calls to cold upstreams.
    """

    def __init__(
        self,
        log: EvacuationLog,
        services: Services,
        rate_limits: SharedRateLimits,
    ) -> None:
        self.services = services
        self.rate_limits = rate_limits
        log.watchers.append(self.apply)

    def apply(self, begun: AbstractSet[str], ended: AbstractSet[str]) -> None:
        """Apply changed evacuations.

        Upstreams of a domain whose evacuation ends may have turned cold in the
        meantime. Waiting calls learn at once that their upstreams changed.
        """
        known = {vm.failure_domain for vm in self.services.vms}
        for domain in sorted(begun - known):
            _logger.warning(
                'evacuated failure domain has no upstreams',
                extra={'domain': domain},
            )
        returned = self.services.upstreams_in(ended)
        self.rate_limits.warm_ups.presume(returned)
        self.services.notify_capacity_change()
