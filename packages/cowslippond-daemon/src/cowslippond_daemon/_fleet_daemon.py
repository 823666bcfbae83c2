"""The daemon that serves a whole configuration from the platform's store."""

import logging
import random
import uuid
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import (
    STORE_LOST_TABLE,
    UPSTREAM_LOG,
    Clock,
    Configuration,
    ConfigurationLog,
    Dialect,
    DispatchContext,
    Fleet,
    FleetBounds,
    FleetSettings,
    JsonCodec,
    LeavingSource,
    Metric,
    Metrics,
    Millis,
    Quarantine,
    ReaderRole,
    RowSource,
    SendingHooks,
    Services,
    StoreWatch,
    UpstreamRegistry,
    Vm,
    run_restarting,
    seconds_of,
    share_quarantine,
)
from cowslippond_core.dispatch import (
    FAILURE_TABLE,
    RATE_LIMIT_TABLE,
    RelayPeers,
    SharedFailures,
    SharedRateLimits,
)
from expression import Result

from cowslippond_daemon._admin import Admin
from cowslippond_daemon._caller_server import CallerServer
from cowslippond_daemon._edge import Edge
from cowslippond_daemon._fleet_calls import FleetRouter
from cowslippond_daemon._node_settings import NodeSettings
from cowslippond_daemon._reload import SettingsReloader
from cowslippond_daemon._retirement import (
    DaemonState,
    RetirementPlan,
    wait_for_stop,
)
from cowslippond_daemon._servers import DaemonServer, make_server

_logger = logging.getLogger(__name__)

_UPDATE_INTERVAL: Millis = 200

# Daemons that start together know the size of the fleet after this time. Until
# then, each assumes that it is not smaller than a common deployment.
_DISCOVERY_TIME: Millis = 2000
_ASSUMED_DAEMONS = 24

# All daemons that the platform starts belong to one fleet, whichever address
# each of them uses for the store.
_FLEET_NAME = 'platform'

# Enough to distinguish two starts of a daemon. Kept short because each
# heartbeat carries it.
_INCARNATION_DIGITS = 8

# The front balancer stops sending after two failed checks, one second apart.
_BALANCER_LAG: Millis = 2500

# The part of the shutdown time that is reserved for closing connections.
_CLOSE_MARGIN: Millis = 700

# Within that margin, the limit for connections whose callers do not respond.
_CLOSE_TIMEOUT: Millis = 300

# How long aborted connections take to close.
_ABORT_TIME: Millis = 10

# The idle timeout of the connections of the other servers.
_INITIAL_IDLE_SECONDS = 30


class StoreSources(NamedTuple):
    """The tables of the store that the daemons read."""

    configuration: RowSource
    upstreams: RowSource


class PlatformAdapter(NamedTuple):
    """The formats of the platform: decoders, encoders and paths."""

    dialect: Dialect
    decode_configuration: Callable[[str], Result[Configuration, str]]
    decode_upstream: Callable[[str, str], Vm | None]
    encode_retry_after: Callable[[Millis], bytes]
    ready_path: str


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
        self.metrics = Metrics('')
        self.state = DaemonState.STARTING
        self.stop_requested = anyio.Event()
        self.started_at = self.clock.now()
        self.configuration_log = ConfigurationLog(
            self.clock, adapter.decode_configuration
        )
        self.upstream_registry = UpstreamRegistry(
            self.clock, adapter.decode_upstream
        )
        self.fleet = Fleet(
            FleetSettings(
                fleet=_FLEET_NAME,
                peer_address=settings.peer_address,
                admin_address=settings.ready_address,
                failure_domain=settings.failure_domain,
                incarnation=uuid.uuid4().hex[:_INCARNATION_DIGITS],
                seeds=settings.seeds,
                codec=JsonCodec(),
            ),
            self.clock,
            self.configuration_log,
            self.metrics,
            self.rng,
            {UPSTREAM_LOG: self.upstream_registry},
            (STORE_LOST_TABLE, RATE_LIMIT_TABLE),
            (FAILURE_TABLE,),
        )
        self.rate_limits = SharedRateLimits(
            self.fleet.gossip_table(RATE_LIMIT_TABLE),
            settings.peer_address,
            self.fleet.membership.serving_addresses,
            self._count_daemons,
            self.clock,
            self.rng,
        )

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
                record_rate_limit=self.rate_limits.record_answer,
            ),
            self._count_daemons,
            self.rng,
            record_duration=self.metrics.timing,
            relays=RelayPeers(
                self.fleet.membership.serving_daemons,
                self.settings.failure_domain,
                partial(self.metrics.count, Metric.CALLS_RELAYED),
                tasks,
                self.clock,
                self.rng,
            ),
        )
        services = Services(
            ctx,
            _make_bounds(self.settings),
            self.settings.failure_domain,
            tasks,
        )
        self.upstream_registry.watchers.append(
            partial(self._update_upstreams, services)
        )
        sources = self.open_sources(tasks, self.clock)
        role = ReaderRole(
            self.fleet.membership,
            self.configuration_log,
            self.fleet.gossip_table(STORE_LOST_TABLE),
            self.clock,
        )
        for name, source, apply_changes in (
            (
                'configuration',
                sources.configuration,
                self.configuration_log.apply_rows,
            ),
            ('upstreams', sources.upstreams, self.upstream_registry.apply_rows),
        ):
            watch = StoreWatch(
                name,
                source,
                role,
                apply_changes,
                self.clock,
                self.rng,
                is_first_start=self.settings.is_first_start,
            )
            tasks.start_soon(run_restarting, self.clock, watch.run)
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
            run_restarting, self.clock, self.rate_limits.run, services.upstreams
        )
        return services

    def _count_daemons(self) -> int:
        """Return how many daemons share the fleet-wide bounds.

        A daemon that has just started has not discovered the others yet.
        """
        daemon_count = self.fleet.size.estimate()
        if self.clock.now() - self.started_at < _DISCOVERY_TIME:
            return max(daemon_count, _ASSUMED_DAEMONS)
        return daemon_count

    def _apply_settings(
        self, services: Services, settings: NodeSettings
    ) -> None:
        """Apply changed settings; addresses take effect on the next start."""
        self.settings = settings
        self.fleet.membership.seeds = settings.seeds
        services.update_bounds(_make_bounds(settings))

    def _update_upstreams(self, services: Services) -> None:
        vms = self.upstream_registry.vms()
        self.fleet.leaving.apply_list(vms)
        services.update_vms(vms)

    async def _update_periodically(self, services: Services) -> None:
        while True:
            await self.clock.sleep(_UPDATE_INTERVAL)
            self.upstream_registry.apply_pending_removals()
            services.update_daemons()

    async def _serve(self, tasks: TaskGroup, services: Services) -> None:
        settings = self.settings
        router = FleetRouter(
            self.configuration_log, services, services.ctx, self.metrics
        )
        callers = CallerServer(
            router,
            settings.caller_address,
            self.adapter.encode_retry_after,
            self.metrics,
        )
        self.configuration_log.listeners.append(
            lambda: self._apply_limits(callers)
        )
        # First, as a daemon that is ready must accept callers.
        tasks.start_soon(callers.server.serve)
        admin = Admin(
            self._is_ready,
            partial(self._status, callers.edge, services),
            self.adapter.ready_path,
            self._render_metrics,
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
        configuration = self.configuration_log.current
        if configuration is not None:
            callers.apply_limits(configuration.limits)

    async def _retire(self, edge: Edge, callers: DaemonServer) -> None:
        self.state = DaemonState.LEAVING
        self.fleet.announce_leaving()
        limit = self.settings.stop_timeout - _CLOSE_MARGIN
        plan = RetirementPlan(
            self.clock,
            min(_BALANCER_LAG, limit),
            limit,
            closes_idle=True,
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
        if self.state is not DaemonState.SERVING:
            return False
        return self.configuration_log.current is not None and bool(
            self.upstream_registry.by_key
        )

    def _render_metrics(self) -> str:
        self.metrics.gauge(
            Metric.CONFIGURATION, self.configuration_log.revision
        )
        self.metrics.gauge(
            Metric.UPSTREAMS_KNOWN, len(self.upstream_registry.by_key)
        )
        self.metrics.gauge(
            Metric.UPSTREAMS_RATE_LIMITED, self.rate_limits.count()
        )
        self.metrics.gauge(Metric.DAEMONS_KNOWN, self.fleet.membership.count())
        return self.metrics.render()

    def _status(self, edge: Edge, services: Services) -> Mapping[str, Any]:
        now = self.clock.now()
        confirmed_at = self.configuration_log.confirmed_at
        return {
            'vm': self.settings.vm,
            'state': self.state,
            'ready': self._is_ready(),
            'running_calls': edge.active_calls,
            'callers': self.settings.caller_address,
            'out_of_reach': services.out_of_reach(),
            'configuration': self.configuration_log.revision,
            'confirmed_age': None
            if confirmed_at is None
            else now - confirmed_at,
            'daemons': self.fleet.membership.count(),
            'upstreams': len(self.upstream_registry.by_key),
            # The names are enumeration members, which the encoder refuses.
            'counters': {
                str(name): total for name, total in self.metrics.totals.items()
            },
        }


def _make_bounds(settings: NodeSettings) -> FleetBounds:
    return FleetBounds(
        settings.retry_ratio,
        settings.min_retries,
        settings.retry_window,
        settings.probe_rate,
    )


def _has_no_pending_work() -> bool:
    return False
