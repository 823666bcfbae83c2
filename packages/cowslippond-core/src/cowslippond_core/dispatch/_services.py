"""The services of the configuration in force, kept up with the list of VMs."""

from collections.abc import Iterable, Iterator

from anyio.abc import TaskGroup

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import ServiceFacts
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core._vm import Vm
from cowslippond_core.dispatch._budget import FleetRetryBudget
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._load_prober import LoadProber
from cowslippond_core.dispatch._service import FleetBounds, Service
from cowslippond_core.placing import Placer, ProbeLimiter, ServiceTimeEstimator
from cowslippond_core.placing._candidates import Fleet

# The part of a route's objective that its work takes, until calls show it.
_WORK_SHARE = 0.35

# The fewest connections to one upstream, for readings beside a call.
_LEAST_CONNECTIONS = 2


class Services:
    """Makes the state of a service when it is first needed.

    :param ctx: what all calls share.
    :param bounds: what all daemons keep together.
    :param failure_domain: that of this daemon.
    :param tasks: runs connections and readings.
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

    def get(self, facts: ServiceFacts, objective: Millis) -> Service:
        """Return the state of a service.

        :param facts: from the configuration in force.
        :param objective: of a route to it, in milliseconds.
        """
        service = self.by_name.get(facts.name)
        if service is None:
            service = self._make(facts, objective * _WORK_SHARE)
            self.by_name[facts.name] = service
            self._update(service)
        elif service.facts != facts:
            service.facts = facts
            service.prober.path = facts.health_path
        return service

    def upstreams(self) -> Iterator[Upstream]:
        """Yield the upstreams of all services in use."""
        for service in self.by_name.values():
            yield from service.upstreams.by_address.values()

    def update_vms(self, vms: Iterable[Vm]) -> None:
        """Take over the list of upstream VMs."""
        self.vms = tuple(vms)
        for service in self.by_name.values():
            self._update(service)

    def update_bounds(self, bounds: FleetBounds) -> None:
        """Put other bounds in force."""
        self.bounds = bounds
        for service in self.by_name.values():
            service.placer.probe_limiter.rate = bounds.reading_rate
            service.budget.set_bounds(bounds.retry_share, bounds.retry_floor)
        self.update_daemons()

    def update_daemons(self) -> None:
        """Divide bounds anew among the daemons."""
        for service in self.by_name.values():
            daemons = self.ctx.count_daemons()
            service.budget.set_daemon_count(daemons)
            limit = service.facts.max_connections // daemons
            service.upstreams.limit_connections(max(limit, _LEAST_CONNECTIONS))

    def _update(self, service: Service) -> None:
        name = service.facts.name
        service.upstreams.update(vm for vm in self.vms if vm.service == name)
        service.placer.notify_capacity_change()

    def _make(self, facts: ServiceFacts, work: Millis) -> Service:
        ctx = self.ctx
        daemons = ctx.count_daemons()
        limit = max(facts.max_connections // daemons, _LEAST_CONNECTIONS)
        upstreams = UpstreamSet(self.tasks, ctx.clock, limit)
        reader = LoadProber(ctx.clock, ctx.dialect, facts.health_path)
        pace = ServiceTimeEstimator(work)
        bounds = self.bounds
        placer = Placer(
            upstreams,
            reader,
            pace,
            ProbeLimiter(bounds.reading_rate),
            Fleet(self.failure_domain, ctx.count_daemons, ctx.hooks.is_leaving),
            ctx.clock,
            self.tasks,
            ctx.rng,
        )
        budget = FleetRetryBudget(
            ctx.clock,
            bounds.retry_share,
            bounds.retry_floor,
            bounds.retry_window,
        )
        budget.set_daemon_count(daemons)
        return Service(facts, upstreams, reader, pace, placer, budget)
