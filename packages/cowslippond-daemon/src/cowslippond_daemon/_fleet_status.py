"""The status and the gauges of a fleet daemon, for operators and peers."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from cowslippond_core import (
    Clock,
    ConfigurationLog,
    EvacuationLog,
    Fleet,
    Metric,
    Metrics,
    PeerDatagrams,
    ReaderBeacons,
    ReaderRole,
    Services,
    SharedRateLimits,
    StoreEra,
    UpstreamRegistry,
)

from cowslippond_daemon._edge import Edge
from cowslippond_daemon._node_settings import NodeSettings
from cowslippond_daemon._quotas import DaemonQuotas
from cowslippond_daemon._retirement import DaemonState


class FleetParts(NamedTuple):
    """The parts of a daemon whose state is shown."""

    configuration_log: ConfigurationLog
    upstream_registry: UpstreamRegistry
    evacuations: EvacuationLog
    rate_limits: SharedRateLimits
    quotas: DaemonQuotas
    era: StoreEra
    reader_role: ReaderRole
    beacons: ReaderBeacons
    port: PeerDatagrams
    fleet: Fleet
    metrics: Metrics
    clock: Clock

    def is_ready(self, state: DaemonState) -> bool:
        """Tell whether the daemon serves and knows what it needs for that.

        :param state: whether it starts, serves or leaves.
        """
        if state is not DaemonState.SERVING:
            return False
        return self.configuration_log.may_serve() and bool(
            self.upstream_registry.by_key
        )

    def render_metrics(self) -> str:
        """Update the gauges and return all metrics in Prometheus format."""
        for name, level in (
            (Metric.CONFIGURATION, self.configuration_log.revision),
            (
                Metric.WORKSPACES_KNOWN,
                self.configuration_log.count_workspaces() or 0,
            ),
            (Metric.UPSTREAMS_KNOWN, len(self.upstream_registry.by_key)),
            (Metric.UPSTREAMS_RATE_LIMITED, self.rate_limits.count()),
            (Metric.UPSTREAMS_COLD, len(self.rate_limits.cold_upstreams())),
            (Metric.DOMAINS_EVACUATED, len(self.evacuations.domains)),
            (Metric.STORE_ERA, self.era.store_number() or 0),
            (Metric.STORE_READERS, len(self.reader_role.known_readers())),
            (Metric.DAEMONS_KNOWN, self.fleet.membership.count()),
        ):
            self.metrics.gauge(name, level)
        self.quotas.update_gauges()
        return self.metrics.render()

    def build_status(
        self,
        settings: NodeSettings,
        state: DaemonState,
        edge: Edge,
        services: Services,
    ) -> Mapping[str, Any]:
        """Return the state of the daemon as a JSON-serializable mapping.

        :param settings: the settings of this process.
        :param state: whether it starts, serves or leaves.
        :param edge: takes the calls.
        :param services: the services in use.
        """
        confirmed_at = self.configuration_log.confirmed_at
        confirmed_age = (
            None if confirmed_at is None else self.clock.now() - confirmed_at
        )
        return {
            'vm': settings.vm,
            'state': state,
            'ready': self.is_ready(state),
            'running_calls': edge.active_calls,
            'callers': settings.caller_address,
            'out_of_reach': services.out_of_reach(),
            'configuration': self.configuration_log.revision,
            'workspaces': self.configuration_log.count_workspaces(),
            'confirmed_age': confirmed_age,
            'store_era': self.era.store_number(),
            'store_restores': self.era.changes,
            'store_readers': self.reader_role.known_readers(),
            'daemons': self.fleet.membership.count(),
            'upstreams': len(self.upstream_registry.by_key),
            'cold': self.rate_limits.cold_upstreams(),
            'evacuated': sorted(self.evacuations.domains),
            'evacuations': self.evacuations.revision,
            'quotas': self.quotas.status(),
            # The names are enumeration members, which the encoder refuses.
            'counters': {
                str(name): total for name, total in self.metrics.totals.items()
            },
        }
