"""The daemon that serves a whole configuration from the platform's store."""

import logging
import random
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import (
    BeaconSender,
    Clock,
    DispatchContext,
    LeavingSource,
    Metric,
    Millis,
    OperatorRows,
    Quarantine,
    SendingHooks,
    Services,
    StopLimit,
    run_restarting,
    seconds_of,
    share_quarantine,
)
from cowslippond_core.dispatch import (
    FAILURE_TABLE,
    RelayPeers,
    SharedFailures,
)
from expression import Result

from cowslippond_daemon._admin import Admin
from cowslippond_daemon._call_keys import CallKeys
from cowslippond_daemon._caller_server import CallerServer
from cowslippond_daemon._edge import Edge
from cowslippond_daemon._evacuation_effects import EvacuationEffects
from cowslippond_daemon._fleet_bounds import (
    apply_warm_up_settings,
    make_bounds,
)
from cowslippond_daemon._fleet_calls import FleetRouter
from cowslippond_daemon._fleet_parts import build_fleet_parts
from cowslippond_daemon._node_settings import NodeSettings
from cowslippond_daemon._platform_adapter import PlatformAdapter
from cowslippond_daemon._reload import SettingsReloader
from cowslippond_daemon._retirement import (
    DaemonState,
    RetirementPlan,
    wait_for_stop,
)
from cowslippond_daemon._servers import DaemonServer, make_server
from cowslippond_daemon._store_watches import (
    StoreSources,
    WatchedTable,
    start_watches,
)

_logger = logging.getLogger(__name__)

_UPDATE_INTERVAL: Millis = 200

# The front balancer stops sending after two failed checks, one second apart.
_BALANCER_LAG: Millis = 2500

# The part of the shutdown time that is reserved for closing connections and for
# the exit of the process. The platform excuses calls that are cut in this part.
_CLOSE_SHARE = 1 / 6

# The part of the rest in which new calls are taken at most. A call that is taken
# later would hardly end in time.
_TAKING_SHARE = 0.5

# Within the part at the end, the limit for connections whose callers do not
# respond.
_CLOSE_TIMEOUT: Millis = 300

# How long aborted connections take to close.
_ABORT_TIME: Millis = 10

# The idle timeout of the connections of the other servers.
_INITIAL_IDLE_SECONDS = 30


class FleetDaemon:
    """One load balancer process of a fleet.

    :param settings: the settings of this process.
    :param read_settings: reads the settings again for a reload.
    :param open_sources: opens the tables of the store; the task group runs the
        tasks that read from its connections.
    :param adapter: the formats of the platform.
    """

    def __init__(
        self,
        settings: NodeSettings,
        read_settings: Callable[[], Result[NodeSettings, str]],
        open_sources: Callable[[TaskGroup, Clock], StoreSources],
        adapter: PlatformAdapter,
    ) -> None:
        self.settings = settings
        self.read_settings = read_settings
        self.open_sources = open_sources
        self.adapter = adapter
        self.clock = Clock()
        self.rng = random.Random()
        self.state = DaemonState.STARTING
        self.stop_requested = anyio.Event()
        self.stop = StopLimit()
        self.parts = build_fleet_parts(settings, adapter, self.clock, self.rng)
        self.metrics = self.parts.metrics
        self.fleet = self.parts.fleet

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for_stop, self.stop_requested.set)
            await tasks.start(self.fleet.run)
            services = self._start_components(tasks)
            SettingsReloader(
                self.settings,
                self.read_settings,
                partial(self._apply_settings, services),
                self.clock,
            ).start(tasks)
            await self._serve(tasks, services)
            tasks.cancel_scope.cancel()

    def _start_components(self, tasks: TaskGroup) -> Services:
        quarantine = Quarantine(self.clock)
        # Crash reports spread by gossip only, without pushing: the platform
        # allows 3 s for them, and opening connections to many peers would delay
        # this daemon's calls.
        share_quarantine(quarantine, self.fleet.gossip_table('quarantine'))
        ctx = DispatchContext(
            self.clock,
            self.adapter.dialect,
            SendingHooks(
                is_leaving=self.fleet.leaving.is_leaving,
                mark_leaving=lambda address, _: self.fleet.leaving.mark(
                    address, LeavingSource.ANSWER
                ),
                count_retry=self.metrics.count_retry,
                quarantine=quarantine,
                record_rate_limit=self.parts.rate_limits.record_answer,
                record_warm_up=self.parts.rate_limits.warm_ups.record_reading,
            ),
            self.fleet.size.estimate,
            self.rng,
            record_duration=self.metrics.timing,
            relays=RelayPeers(
                self.fleet.membership.serving_daemons,
                self.settings.failure_domain,
                partial(self.metrics.count, Metric.CALLS_RELAYED),
                tasks,
                self.clock,
                self.rng,
                self.parts.configuration_log.keys.is_required,
            ),
            evacuated=self.parts.evacuations.domains,
            stop=self.stop,
        )
        services = Services(
            ctx,
            make_bounds(self.settings),
            self.settings.failure_domain,
            tasks,
        )
        self.parts.upstream_registry.watchers.append(
            partial(self._update_upstreams, services)
        )
        EvacuationEffects(
            self.parts.evacuations, services, self.parts.rate_limits
        )
        sources = self.open_sources(tasks, self.clock)
        operator_rows = OperatorRows(
            self.parts.evacuations.apply_rows,
            self.parts.configuration_log.apply_rows,
        )
        registry = self.parts.upstream_registry
        start_watches(
            tasks,
            (
                WatchedTable(
                    'operators', sources.operators, operator_rows.apply
                ),
                WatchedTable(
                    'upstreams', sources.upstreams, registry.apply_rows
                ),
            ),
            self.parts.reader_role,
            self.clock,
            self.rng,
            is_first_start=self.settings.is_first_start,
        )
        sender = BeaconSender(
            self.parts.reader_role, self.parts.beacons, self.clock
        )
        tasks.start_soon(sender.open_port, self.parts.port)
        tasks.start_soon(run_restarting, self.clock, sender.run)
        tasks.start_soon(
            run_restarting, self.clock, self._update_periodically, services
        )
        shared_failures = SharedFailures(
            self.fleet.gossip_table(FAILURE_TABLE),
            self.fleet.gossip.address,
            services.upstreams,
            self.clock,
        )
        tasks.start_soon(run_restarting, self.clock, shared_failures.run)
        tasks.start_soon(
            run_restarting,
            self.clock,
            self.parts.rate_limits.run,
            services.upstreams,
        )
        tasks.start_soon(run_restarting, self.clock, self.parts.quotas.run)
        return services

    def _apply_settings(
        self, services: Services, settings: NodeSettings
    ) -> None:
        """Apply changed settings; addresses take effect on the next start."""
        self.settings = settings
        self.fleet.membership.seeds = settings.seeds
        services.update_bounds(make_bounds(settings))
        apply_warm_up_settings(self.parts.rate_limits.warm_ups, settings)
        self.parts.quotas.apply_settings(settings)

    def _update_upstreams(self, services: Services) -> None:
        vms = self.parts.upstream_registry.vms()
        self.fleet.leaving.apply_list(vms)
        services.update_vms(vms)

    async def _update_periodically(self, services: Services) -> None:
        while True:
            await self.clock.sleep(_UPDATE_INTERVAL)
            self.parts.upstream_registry.apply_pending_removals()
            self.parts.evacuations.apply_pending_removals()
            services.update_daemons()

    async def _serve(self, tasks: TaskGroup, services: Services) -> None:
        settings = self.settings
        router = FleetRouter(
            self.parts.configuration_log,
            services,
            services.ctx,
            self.metrics,
            CallKeys(
                self.parts.configuration_log.keys, self.adapter.credentials
            ),
            self.parts.quotas.gate,
        )
        callers = CallerServer(
            router,
            settings.caller_address,
            self.adapter.encode_retry_after,
            self.metrics,
        )
        self.parts.configuration_log.listeners.append(
            lambda: self._apply_limits(callers)
        )
        # First, as a daemon that is ready must accept callers.
        tasks.start_soon(callers.server.serve)
        admin = Admin(
            self._is_ready,
            partial(self._status, callers.edge, services),
            self.adapter.ready_path,
            self.parts.render_metrics,
        )
        for address in (settings.ready_address, settings.metrics_address):
            if address:
                server = make_server(admin, address, _INITIAL_IDLE_SECONDS)
                tasks.start_soon(server.serve)
        self.state = DaemonState.SERVING
        _logger.info(
            'started',
            extra={
                'vm': settings.vm,
                'failure_domain': settings.failure_domain,
                'callers': settings.caller_address,
            },
        )
        await self.stop_requested.wait()
        await self._retire(callers.edge, callers.server)

    def _apply_limits(self, callers: CallerServer) -> None:
        """Apply the limits of the configuration in force."""
        configuration = self.parts.configuration_log.current
        if configuration is not None:
            callers.apply_limits(configuration.limits)

    async def _retire(self, edge: Edge, callers: DaemonServer) -> None:
        self.state = DaemonState.LEAVING
        self.fleet.announce_leaving()
        limit = self.settings.stop_timeout * (1 - _CLOSE_SHARE)
        plan = RetirementPlan(
            self.clock,
            min(_BALANCER_LAG, limit * _TAKING_SHARE),
            limit,
            closes_idle=True,
            stop=self.stop,
        )
        await plan.retire(edge, callers, _has_no_pending_work)
        with anyio.move_on_after(seconds_of(_CLOSE_TIMEOUT)):
            await callers.ended.wait()
        # Otherwise a call would seem lost by its upstream when the connections
        # to upstreams are closed.
        callers.abort_all()
        await self.clock.sleep(_ABORT_TIME)
        _logger.info(
            'stopped',
            extra={
                'vm': self.settings.vm,
                'open': len(callers.server_state.connections),
            },
        )

    def _is_ready(self) -> bool:
        return self.parts.is_ready(self.state)

    def _status(self, edge: Edge, services: Services) -> Mapping[str, Any]:
        return self.parts.build_status(
            self.settings, self.state, edge, services
        )


def _has_no_pending_work() -> bool:
    return False
