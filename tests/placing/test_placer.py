"""Assigning upstreams to calls that arrive together, in simulated time."""

import random
from collections import Counter

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import (
    Millis,
    RefusalReason,
    Upstream,
    UpstreamSet,
    Vm,
    VmState,
)
from cowslippond_core.placing import (
    FleetView,
    PendingCall,
    Placer,
    ProbeLimiter,
    ServiceTimeEstimator,
)
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80')
SLOTS = 2
WORK_MS = 400
CALLS = 9
CONNECTIONS = 100
NOT_LEAVING = ()


class SlowProbes:
    """Probes that are answered after a delay, as on a busy machine."""

    reports_load = True

    def __init__(self, clock: VirtualClock, delay: Millis) -> None:
        self.clock = clock
        self.delay = delay

    async def probe(self, upstream: Upstream) -> bool:
        """Report nothing in the end."""
        await self.clock.sleep(self.delay)
        return False


def make_placer(tasks: TaskGroup, clock: VirtualClock, seed: int = 1) -> Placer:
    upstreams = UpstreamSet(tasks, clock, CONNECTIONS)
    upstreams.update(
        Vm(address, '1', 'north', VmState.LIVE, 's', address, '', slots=SLOTS)
        for address in ADDRESSES
    )
    return Placer(
        upstreams,
        SlowProbes(clock, 500),
        ServiceTimeEstimator(WORK_MS / 2),
        ProbeLimiter(1000),
        FleetView('north', lambda: 1, NOT_LEAVING.__contains__),
        clock,
        tasks,
        random.Random(seed),
    )


class _Callers:
    """Calls that arrive together and occupy their upstreams for a while."""

    def __init__(self, clock: VirtualClock, placer: Placer) -> None:
        self.clock = clock
        self.placer = placer
        self.most: Counter[str] = Counter()

    async def run(self, name: str) -> None:
        now = self.clock.now()
        grant = await self.placer.acquire(
            PendingCall(name, now, now + 600, now + 4000, 1, frozenset())
        )
        if isinstance(grant, RefusalReason):
            return
        upstream = grant.upstream
        upstream.in_flight += 1
        self.most[upstream.address] = max(
            self.most[upstream.address], upstream.in_flight
        )
        await self.clock.sleep(WORK_MS)
        upstream.in_flight -= 1
        self.placer.notify_capacity_change()


async def run_calls() -> Counter[str]:
    """Return the most calls that each upstream had at a time."""
    clock = VirtualClock()
    async with anyio.create_task_group() as tasks:
        callers = _Callers(clock, make_placer(tasks, clock))
        async with anyio.create_task_group() as calls:
            for number in range(CALLS):
                calls.start_soon(callers.run, str(number))
        tasks.cancel_scope.cancel()
    return callers.most


async def choose_first(seed: int) -> str:
    """Return the address that the first call of a daemon gets."""
    clock = VirtualClock()
    async with anyio.create_task_group() as tasks:
        placer = make_placer(tasks, clock, seed)
        grant = await placer.acquire(
            PendingCall('first', 0, 600, 4000, 1, frozenset())
        )
        tasks.cancel_scope.cancel()
    assert not isinstance(grant, RefusalReason)
    return grant.upstream.address


class TestUnknownLoad:
    def test_upstream_without_a_reading_gets_one_call_at_a_time(self) -> None:
        """Eight of nine calls went to the upstream with the lowest address.

        It dropped two of them, and their callers got no answer.
        """
        most = anyio.run(run_calls, backend_options=backend_options())
        assert most == dict.fromkeys(ADDRESSES, 1)

    def test_daemons_that_start_together_begin_with_different_upstreams(
        self,
    ) -> None:
        """All began with the lowest address after a loss of power."""
        first = Counter(
            anyio.run(choose_first, seed, backend_options=backend_options())
            for seed in range(30)
        )
        assert set(first) == set(ADDRESSES)
        assert max(first.values()) < 20


class TestRestrictedUpstreams:
    def test_call_waits_while_upstreams_have_no_free_connection(self) -> None:
        """It was refused at once, as if rate limits held it back for ever."""
        assert anyio.run(wait_without_connections) == 0


async def wait_without_connections() -> Millis:
    """Return the wait for limits while no connection to any upstream is free."""
    clock = VirtualClock()
    async with anyio.create_task_group() as tasks:
        placer = make_placer(tasks, clock)
        placer.upstreams.limit_connections(0)
        wait = placer.selector.acceptance_wait(frozenset(), 0, clock.now())
        tasks.cancel_scope.cancel()
    return wait
