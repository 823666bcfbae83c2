"""The services in use, kept up to date with configuration and VM list."""

from collections.abc import Collection, Iterable, Iterator
from functools import partial

from anyio.abc import TaskGroup

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import ServiceEntry
from cowslippond_core._reach import ServiceReach
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core._vm import Vm
from cowslippond_core._warm_up import WarmUpPolicy
from cowslippond_core.dispatch._budget import FleetRetryBudget
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._load_prober import LoadProber
from cowslippond_core.dispatch._reach_watch import ReachWatch
from cowslippond_core.dispatch._service import FleetBounds, Service
from cowslippond_core.placing import Placer, ProbeLimiter, ServiceTimeEstimator
from cowslippond_core.placing._selector import FleetView

# The initial estimate of the service time, as a fraction of the route's
# objective.
_SERVICE_TIME_RATIO = 0.35

# The minimum connection limit per upstream: one for a call and one for probes.
_MIN_CONNECTIONS = 2


class Services:
    """Creates the state of each service when it is first needed.

    :param ctx: dependencies that all dispatches share.
    :param bounds: limits that apply to all daemons together.
    :param failure_domain: the failure domain of this daemon.
    :param tasks: runs connections and probes.
    """

    def __init__(
        self,
        ctx: DispatchContext,
        bounds: FleetBounds,
        failure_domain: str,
        tasks: TaskGroup,
    ) -> None:
        self.ctx = ctx
        self.bounds = bounds
        self.failure_domain = failure_domain
        self.tasks = tasks
        self.by_name: dict[str, Service] = {}
        self.vms: tuple[Vm, ...] = ()
        self.reach_watch: ReachWatch | None = None
        if ctx.relays is not None:
            self.reach_watch = ReachWatch(
                ctx.relays,
                self.by_name.values,
                ctx.count_daemons,
                tasks,
                ctx.clock,
                ctx.rng,
            )

    def get(self, entry: ServiceEntry, objective: Millis) -> Service:
        """Return the state of a service, creating it if necessary.

        :param entry: the service's entry in the configuration in force.
        :param objective: the objective of a route to it, in milliseconds, from
            which the service time is first estimated.
        """
        service = self.by_name.get(entry.name)
        if service is None:
            service = self._make(entry, objective * _SERVICE_TIME_RATIO)
            self.by_name[entry.name] = service
            self._update(service)
        elif service.entry != entry:
            service.entry = entry
            service.prober.path = entry.health_path
            service.upstreams.set_warm_up(_warm_up_policy(entry))
        return service

    def upstreams(self) -> Iterator[Upstream]:
        """Yield the upstreams of all services in use."""
        for service in self.by_name.values():
            yield from service.upstreams.by_address.values()

    def upstreams_in(self, domains: Collection[str]) -> list[Upstream]:
        """Return the upstreams in some failure domains."""
        return [
            one for one in self.upstreams() if one.failure_domain in domains
        ]

    def notify_capacity_change(self) -> None:
        """Let waiting calls consider the upstreams again."""
        for service in self.by_name.values():
            service.placer.notify_capacity_change()

    def out_of_reach(self) -> list[str]:
        """Return the services to whose upstreams this daemon sends no calls.

        None is within reach, or other daemons hold the parts of their rates.
        """
        if self.reach_watch is None:
            return []
        return [
            service.entry.name
            for service in (
                *self.reach_watch.services_out_of_reach(),
                *self.reach_watch.services_without_share(),
            )
        ]

    def update_vms(self, vms: Iterable[Vm]) -> None:
        """Apply a new list of upstream VMs."""
        self.vms = tuple(vms)
        for service in self.by_name.values():
            self._update(service)

    def update_bounds(self, bounds: FleetBounds) -> None:
        """Apply new limits to all services."""
        self.bounds = bounds
        for service in self.by_name.values():
            service.placer.probe_limiter.rate = bounds.probe_rate
            service.budget.set_bounds(bounds.retry_ratio, bounds.min_retries)
        self.update_daemons()

    def update_daemons(self) -> None:
        """Divide the limits among the current number of daemons."""
        for service in self.by_name.values():
            daemons = self.ctx.count_daemons()
            service.budget.set_daemon_count(daemons)
            limit = service.entry.max_connections // daemons
            service.upstreams.limit_connections(max(limit, _MIN_CONNECTIONS))

    def _update(self, service: Service) -> None:
        name = service.entry.name
        service.upstreams.update(vm for vm in self.vms if vm.service == name)
        service.placer.notify_capacity_change()

    def _make(self, entry: ServiceEntry, service_time: Millis) -> Service:
        ctx = self.ctx
        daemons = ctx.count_daemons()
        limit = max(entry.max_connections // daemons, _MIN_CONNECTIONS)
        upstreams = UpstreamSet(self.tasks, ctx.clock, limit, entry.name)
        upstreams.set_warm_up(_warm_up_policy(entry))
        upstreams.evacuated = ctx.evacuated
        prober = LoadProber(
            ctx.clock,
            ctx.dialect,
            entry.health_path,
            ctx.hooks,
        )
        estimator = ServiceTimeEstimator(service_time)
        bounds = self.bounds
        placer = Placer(
            upstreams,
            prober,
            estimator,
            ProbeLimiter(bounds.probe_rate),
            FleetView(
                self.failure_domain,
                ctx.count_daemons,
                ctx.hooks.is_leaving,
                ctx.evacuated,
            ),
            ctx.clock,
            self.tasks,
            ctx.rng,
        )
        budget = FleetRetryBudget(
            ctx.clock,
            bounds.retry_ratio,
            bounds.min_retries,
            bounds.retry_window,
        )
        budget.set_daemon_count(daemons)
        if self.reach_watch is not None:
            upstreams.reach.on_cut = self.reach_watch.start
            placer.is_bypassed = partial(
                self._is_bypassed, upstreams.reach, entry.name
            )
        return Service(entry, upstreams, prober, estimator, placer, budget)

    def _is_bypassed(self, reach: ServiceReach, name: str) -> bool:
        relays = self.ctx.relays
        if relays is None or not reach.is_cut(needs_connection=False):
            return False
        return relays.choose(name, set()) is not None


def _warm_up_policy(entry: ServiceEntry) -> WarmUpPolicy | None:
    if entry.warm_up_rate <= 0:
        return None
    return WarmUpPolicy(entry.warm_up_rate, entry.warm_up_time)
