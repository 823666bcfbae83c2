"""Runs a simulated load through the real dispatch and placement code."""

import random
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import (
    FAILURE_TABLE,
    AnswerLost,
    AnswerMetadata,
    Call,
    CallAnswer,
    CallRefusal,
    CallRequest,
    DefaultDialect,
    Dispatch,
    DispatchContext,
    Millis,
    Quarantine,
    Route,
    RouteMatch,
    SendingHooks,
    ServiceEntry,
    SharedFailures,
    Upstream,
    UpstreamSet,
    Vm,
    VmState,
    WeightedService,
    seconds_of,
)
from cowslippond_core._attempt import Answered
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._upstreams import LoadReading
from cowslippond_core.dispatch import LoadProber, Service
from cowslippond_core.dispatch._budget import FleetRetryBudget
from cowslippond_core.placing import (
    FleetView,
    Placer,
    ProbeLimiter,
    ServiceTimeEstimator,
)

from cowslippond_standins.model._load import Load, Tally
from cowslippond_standins.model._machine import Machine
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

_MILLIS_PER_SECOND = 1000
_MIN_SERVICE_TIME_RATIO = 0.1
_SERVICE = 's'
_OK_STATUS = 200


def simulate(load: Load) -> Tally:
    """Simulate a load and return the outcomes of its calls."""
    simulation = _Simulation(load)
    anyio.run(simulation.run, backend_options=backend_options())
    return simulation.tally


class _Simulation:
    """The machines, daemons and callers of one simulation."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.rng = random.Random(load.seed)
        self.clock = VirtualClock()
        self.tally = Tally()
        self.machines: dict[str, Machine] = {}
        self.vms: list[Vm] = []
        self.route = Route(
            name='route',
            match=RouteMatch('model.example', '/'),
            is_idempotent=load.is_idempotent,
            timeout=load.deadline,
            objective=load.objective,
            max_sends=load.max_sends,
            priority=1,
            parts=(WeightedService(_SERVICE, 1),),
        )

    async def run(self) -> None:
        load = self.load
        ends_at = load.seconds * _MILLIS_PER_SECOND
        async with anyio.create_task_group() as tasks:
            self._make_machines(tasks)
            daemons = self._make_daemons(tasks)
            if load.gossip_delay:
                _share_failures(daemons, load.gossip_delay, tasks)
            async with anyio.create_task_group() as calls:
                for _ in range(load.returning):
                    calls.start_soon(self._return, self.rng.choice(daemons))
                while self.clock.now() < ends_at:
                    calls.start_soon(self._call, self.rng.choice(daemons))
                    await anyio.sleep(self.rng.expovariate(load.rate))
            tasks.cancel_scope.cancel()
        self.tally.dropped = sum(
            machine.dropped for machine in self.machines.values()
        )

    def _make_machines(self, tasks: TaskGroup) -> None:
        for domain, count in enumerate(self.load.machines):
            for _ in range(count):
                self._make_machine(str(domain), tasks)

    def _make_machine(self, domain: str, tasks: TaskGroup) -> None:
        number = len(self.vms)
        name = f'm{number}'
        rng = random.Random(self.rng.random())
        machine = Machine(self.load, rng, self.clock)
        if number < self.load.hanging:
            machine.hang_probability = self.load.hang_probability
        elif number < self.load.hanging + self.load.slow:
            machine.hidden_slowness = self.load.hidden_slowdown
        self.machines[name] = machine
        vm = Vm(name, '1', domain, VmState.LIVE, _SERVICE, name)
        self.vms.append(vm._replace(slots=self.load.slots))
        tasks.start_soon(machine.vary_speed)

    def _make_daemons(self, tasks: TaskGroup) -> list['_Daemon']:
        return [
            _Daemon(self, str(domain), tasks)
            for domain, count in enumerate(self.load.daemons)
            for _ in range(count)
        ]

    async def _return(self, daemon: '_Daemon') -> None:
        await self.clock.sleep(self.rng.random() * self.load.return_time)
        await self._call(daemon)

    async def _call(self, daemon: '_Daemon') -> None:
        arrived_at = self.clock.now()
        reply = await daemon.serve(arrived_at)
        latency = self.clock.now() - arrived_at
        if isinstance(reply, CallAnswer):
            self.tally.record_answer(latency, self.load.objective)
            return
        self.tally.record_failure(latency, reply.outcome)

    def draw_service_time(self) -> Millis:
        """Draw the time that a call takes on an idle machine."""
        load = self.load
        drawn = self.rng.gauss(
            load.service_time, load.service_time * load.service_time_deviation
        )
        return max(drawn, load.service_time * _MIN_SERVICE_TIME_RATIO)


class _Daemon:
    """A daemon that runs the real dispatch against simulated machines."""

    def __init__(
        self, simulation: _Simulation, domain: str, tasks: TaskGroup
    ) -> None:
        self.simulation = simulation
        self.domain = domain
        self.clock = simulation.clock
        self.tasks = tasks
        self.reports_load = True
        self.ctx = self._make_context()
        self.service = self._make_service()

    async def probe(self, upstream: Upstream) -> bool:
        """Update the load reading of a simulated machine."""
        round_trip = self.round_trip(upstream)
        probed_at = self.clock.now()
        await self.clock.sleep(round_trip / 2)
        machine = self.simulation.machines[upstream.vm.name]
        running, waiting = machine.running, len(machine.waiters)
        slowness = machine.slowness
        await self.clock.sleep(round_trip / 2)
        self.simulation.tally.probes += 1
        upstream.load_state.probe_time = round_trip
        upstream.load_state.reading = LoadReading(
            probed_at,
            self.clock.now(),
            running,
            waiting,
            self.simulation.load.slots,
            slowness,
            is_healthy=True,
        )
        return True

    async def serve(self, arrived_at: Millis) -> CallAnswer | CallRefusal:
        """Dispatch a call and return its response."""
        load = self.simulation.load
        request = CallRequest(
            request_id='',
            method=b'GET',
            target=b'/',
            headers=(),
            body=b'',
            rest=None,
            is_idempotent=load.is_idempotent,
            deadline=arrived_at + load.deadline,
            attempt=0,
            fingerprint='',
        )
        call = Call(request, self.simulation.route, arrived_at)
        return await Dispatch(self.ctx, self.service, call).run()

    def round_trip(self, upstream: Upstream) -> Millis:
        """Return the network round-trip time to an upstream."""
        load = self.simulation.load
        is_local = upstream.failure_domain == self.domain
        return load.local_round_trip if is_local else load.remote_round_trip

    def _make_context(self) -> DispatchContext:
        return DispatchContext(
            self.clock,
            DefaultDialect(),
            SendingHooks(
                is_leaving=_never,
                mark_leaving=_ignore,
                count_retry=lambda reason: self.simulation.tally.retries.update(
                    (reason,)
                ),
                quarantine=Quarantine(self.clock),
            ),
            partial(sum, self.simulation.load.daemons),
            random.Random(self.simulation.rng.random()),
            partial(_SimulatedAttempt, self),
        )

    def _make_service(self) -> Service:
        load = self.simulation.load
        upstreams = UpstreamSet(self.tasks, self.clock, load.slots * 8)
        upstreams.update(self.simulation.vms)
        estimator = ServiceTimeEstimator(load.initial_service_time)
        placer = Placer(
            upstreams,
            self,
            estimator,
            ProbeLimiter(load.probe_rate),
            FleetView(self.domain, self.ctx.count_daemons, _never),
            self.clock,
            self.tasks,
            self.ctx.rng,
        )
        budget = FleetRetryBudget(
            self.clock,
            load.retry_ratio,
            load.retry_floor,
            load.retry_window,
        )
        budget.set_daemon_count(self.ctx.count_daemons())
        prober = LoadProber(self.clock, self.ctx.dialect, '/')
        return Service(
            ServiceEntry(_SERVICE, '/', load.slots * 8),
            upstreams,
            prober,
            estimator,
            placer,
            budget,
        )


class _SimulatedAttempt:
    """An attempt at a simulated machine, without a network connection."""

    def __init__(
        self,
        daemon: _Daemon,
        upstream: Upstream,
        request: CallRequest,
        number: int,
        clock: VirtualClock,
        **_: Any,
    ) -> None:
        self.daemon = daemon
        self.upstream = upstream
        self.request = request
        self.clock = clock
        self.sent_at = clock.now()
        self.connection = None
        self.answer_metadata = AnswerMetadata()
        self.scope = anyio.CancelScope()
        self.done = anyio.Event()
        self.is_started = False
        self.is_reused = True
        self.is_ended = False
        upstream.in_flight += 1

    async def start(self) -> None:
        """Send the call unless it has been sent."""
        if self.is_started:
            return
        self.is_started = True
        tally = self.daemon.simulation.tally
        tally.sends += 1
        tally.remote_sends += self.upstream.failure_domain != self.daemon.domain
        self.daemon.tasks.start_soon(self._run)

    async def wait_buffered(
        self, until: Millis
    ) -> Answered | AnswerLost | None:
        """Wait for the answer until a time on the clock."""
        remaining = max(until - self.clock.now(), 0)
        with anyio.move_on_after(remaining / _MILLIS_PER_SECOND):
            await self.done.wait()
        if not self.done.is_set():
            return None
        self.end()
        if self.scope.cancel_called:
            return AnswerLost(ExchangeFault.CLOSED)
        answer: Any = CallAnswer(_OK_STATUS, (), self)  # type: ignore[arg-type]
        return Answered(answer, self)  # type: ignore[arg-type]

    def limit_answer(self, until: Millis) -> None:
        """Do nothing, as simulated answers are complete."""

    def end(self) -> None:
        """End the attempt and cancel its call if it is still running."""
        if self.is_ended:
            return
        self.is_ended = True
        self.upstream.in_flight -= 1
        if not self.done.is_set():
            self.scope.cancel()

    async def _run(self) -> None:
        simulation = self.daemon.simulation
        round_trip = self.daemon.round_trip(self.upstream)
        with self.scope:
            await self.clock.sleep(round_trip / 2)
            machine = simulation.machines[self.upstream.vm.name]
            await machine.run(simulation.draw_service_time())
            await self.clock.sleep(round_trip / 2)
        self.done.set()


def _share_failures(
    daemons: list[_Daemon], delay: Millis, tasks: TaskGroup
) -> None:
    """Send the failure reports of each daemon to all daemons, with a delay.

    Rows that a daemon received from others are not forwarded again.
    """
    tables = [GossipTable(FAILURE_TABLE, one.clock) for one in daemons]
    for number, (daemon, table) in enumerate(zip(daemons, tables, strict=True)):
        upstreams = daemon.service.upstreams.by_address
        shared = SharedFailures(
            table, str(number), upstreams.values, daemon.clock
        )
        table.listeners.append(
            partial(_forward, tables, f' {number}', delay, tasks)
        )
        tasks.start_soon(shared.run)


def _forward(
    tables: list[GossipTable],
    sender_suffix: str,
    delay: Millis,
    tasks: TaskGroup,
    row: GossipRow,
) -> None:
    """Deliver a row to all daemons if its writer has the given key suffix."""
    if row.key.endswith(sender_suffix):
        tasks.start_soon(_deliver, tables, delay, row)


async def _deliver(
    tables: list[GossipTable], delay: Millis, row: GossipRow
) -> None:
    await anyio.sleep(seconds_of(delay))
    for table in tables:
        table.merge(row)


def _never(_: str) -> bool:
    return False


def _ignore(*_: str) -> None:
    """Do nothing: simulated machines never leave."""
