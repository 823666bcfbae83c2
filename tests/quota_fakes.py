"""A fleet of quota limiters in virtual time, with a network that has faults."""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import anyio
from cowslippond_core import Metrics, Millis, seconds_of
from cowslippond_core.quotas import (
    QuotaBounds,
    QuotaLimiter,
    QuotaMessage,
    QuotaRefusal,
)
from cowslippond_core.workspaces import Workspace
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

BOUNDS = QuotaBounds(window=5000, overshoot=0.1, slack=20)
DOMAINS = ('north', 'east', 'south', 'west')
LATENCY: Millis = 0.4
UPDATE_INTERVAL: Millis = 200


def workspace(name: str, rate: float, burst: float | None = None) -> Workspace:
    return Workspace(name, 0, rate, rate if burst is None else burst)


def unequal_workspaces(count: int = 85, total: float = 460) -> dict[str, float]:
    """Return the usual calls per second of workspaces, by name."""
    weights = [1 / (rank + 1) ** 1.1 for rank in range(count)]
    return {
        f'w{rank}': total * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }


class FakeDaemon:
    """A daemon's limiter, its process state and its list of daemons."""

    def __init__(self, fleet: 'FakeFleet', address: str, domain: str) -> None:
        self.fleet = fleet
        self.address = address
        self.domain = domain
        self.listed: set[str] | None = None
        self.leaving: tuple[str, ...] = ()
        self.supposed_size = 0
        self.workspaces: Mapping[str, Workspace] = fleet.workspaces
        self.is_running = True
        self.resumed = anyio.Event()
        self.resumed.set()
        self.inbox: list[tuple[str, QuotaMessage]] = []
        self.start()

    def start(self) -> None:
        """Start a new process, which knows nothing of an earlier one."""
        self.is_running = True
        self.limiter = QuotaLimiter(
            self.address,
            self.domain,
            lambda name: self.workspaces.get(name),
            BOUNDS,
            partial(self.fleet.send, self.address),
            self.fleet.clock,
            self.fleet.rng,
            Metrics(''),
        )

    def update(self) -> None:
        """Apply the list of daemons, as the daemon does from time to time."""
        known = self.fleet.daemons if self.listed is None else self.listed
        domains = {
            address: self.fleet.daemons[address].domain
            for address in (self.address, *known)
        }
        size = max(len(domains), self.supposed_size)
        self.limiter.update(domains, size, self.leaving)

    async def pause(self, seconds: float) -> None:
        """Stop for a time, as by SIGSTOP."""
        self.resumed = anyio.Event()
        await anyio.sleep(seconds)
        self.resumed.set()
        for sender, message in self.inbox:
            self.limiter.receive(sender, message)
        self.inbox.clear()


class FakeFleet:
    """Daemons with callers, and a count of all calls that were let through."""

    def __init__(self, limits: Iterable[Workspace], seed: int) -> None:
        self.workspaces = {one.name: one for one in limits}
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.daemons: dict[str, FakeDaemon] = {}
        self.loss: float = 0
        self.is_cut: Callable[[str, str], bool] = lambda sender, to: False
        self.runs: dict[str, list[Millis]] = {}
        self.refusals: dict[str, list[Millis]] = {}
        self.waits: list[Millis] = []
        self.datagrams = 0

    def add(self, count: int) -> None:
        for _ in range(count):
            number = len(self.daemons)
            address = f'10.0.0.{number}:7000'
            domain = DOMAINS[number % len(DOMAINS)]
            self.daemons[address] = FakeDaemon(self, address, domain)

    def owners(self, name: str) -> tuple[str, ...]:
        first = next(iter(self.daemons.values()))
        rate = self.workspaces[name].rate
        return first.limiter.ownership.daemons.owners(name, rate)

    def send(self, sender: str, to: str, message: QuotaMessage) -> None:
        self.datagrams += 1
        daemon = self.daemons[to]
        is_lost = self.rng.random() < self.loss or self.is_cut(sender, to)
        if is_lost or not self.daemons[sender].is_running:
            return
        delay = seconds_of(LATENCY * self.rng.uniform(0.5, 1.5))
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, daemon, sender, message)

    def _deliver(
        self, daemon: FakeDaemon, sender: str, message: QuotaMessage
    ) -> None:
        if not daemon.is_running:
            return
        if daemon.resumed.is_set():
            daemon.limiter.receive(sender, message)
            return
        # A paused process finds its messages when it runs again.
        daemon.inbox.append((sender, message))

    async def run(self, seconds: float) -> None:
        """Update the lists of the daemons for a time."""
        ends_at = self.clock.now() + seconds * 1000
        while self.clock.now() < ends_at:
            for daemon in self.daemons.values():
                if daemon.is_running and daemon.resumed.is_set():
                    daemon.update()
            await self.clock.sleep(UPDATE_INTERVAL)

    async def call(self, address: str, name: str) -> None:
        daemon = self.daemons[address]
        arrived_at = self.clock.now()
        await daemon.resumed.wait()
        decision = await daemon.limiter.take(name)
        await daemon.resumed.wait()
        if not daemon.is_running:
            return
        now = self.clock.now()
        outcome = (
            self.refusals if isinstance(decision, QuotaRefusal) else self.runs
        )
        outcome.setdefault(name, []).append(now)
        self.waits.append(now - arrived_at)

    async def send_calls(
        self,
        name: str,
        rate: float,
        seconds: float,
        addresses: Iterable[str] | None = None,
    ) -> None:
        """Send calls at random times to random daemons that run."""
        ends_at = self.clock.now() + seconds * 1000
        fixed = None if addresses is None else list(addresses)
        async with anyio.create_task_group() as tasks:
            await self.clock.sleep(self.rng.expovariate(rate) * 1000)
            while self.clock.now() < ends_at:
                address = self.rng.choice(fixed or list(self.daemons))
                if self.daemons[address].is_running:
                    tasks.start_soon(self.call, address, name)
                await self.clock.sleep(self.rng.expovariate(rate) * 1000)

    def busiest_window(self, name: str, since: Millis = 0) -> int:
        """Return the most calls of a workspace within a window."""
        times = [at for at in self.runs.get(name, []) if at >= since]
        busiest = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - BOUNDS.window:
                first += 1
            busiest = max(busiest, last - first + 1)
        return busiest

    def admitted_share(self, names: Iterable[str], since: Millis = 0) -> float:
        runs = _count(self.runs, names, since)
        refusals = _count(self.refusals, names, since)
        return runs / max(runs + refusals, 1)

    def assert_bounds(self) -> None:
        """Check the bound of every workspace over every window."""
        for name, limit in self.workspaces.items():
            busiest = self.busiest_window(name)
            assert busiest <= allowed(limit), (name, busiest, allowed(limit))


def allowed(limit: Workspace) -> float:
    calls = limit.rate * seconds_of(BOUNDS.window) + limit.burst
    return calls * (1 + BOUNDS.overshoot) + BOUNDS.slack


def _count(
    times: Mapping[str, list[Millis]], names: Iterable[str], since: Millis
) -> int:
    return sum(at >= since for name in names for at in times.get(name, []))


def run_virtual(scenario: Callable[[], object]) -> None:
    """Run an asynchronous scenario in virtual time."""
    anyio.run(scenario, backend_options=backend_options())  # type: ignore[arg-type]
