"""Many daemons that call one upstream which turns cold, in virtual time."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from cowslippond_core import Millis, SharedRateLimits, Upstream, Vm, VmState
from cowslippond_core._connections import Connections
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._warm_up import WARMTH_MAX_AGE, WarmUp, WarmUpPolicy
from cowslippond_core.dispatch._shared_rate_limits import RATE_LIMIT_TABLE
from fakes import FakeClock

RATE = 3.9
WARM_UP: Millis = 3000
BOUND = RATE * 1.5 + 8
TICK: Millis = 500
ROUND: Millis = 300

# The shares of calls that are sent without asking, and of slow answers.
UNASKED_SHARE = 0.2
SLOW_SHARE = 0.01


class Fault(NamedTuple):
    """A daemon does nothing for ``duration``, and may lose what it knew."""

    at: Millis
    daemon: int
    duration: Millis
    is_restart: bool


class SimulatedDaemon:
    """The limits of one daemon and its view of the upstream."""

    def __init__(self, fleet: 'ColdFleet', index: int) -> None:
        self.fleet = fleet
        self.index = index
        self.known: Sequence[int] = fleet.lists[index]
        self.paused_until: Millis = 0
        self.start()

    def start(self) -> None:
        """Begin without any knowledge."""
        fleet = self.fleet
        vm = Vm('i-1', '1', 'north', VmState.LIVE, 's', '10.9.0.1:80')
        connections = Connections(vm.address, None, fleet.clock, 8)
        self.upstream = Upstream(vm, connections)
        self.state = WarmUp(WarmUpPolicy(RATE, WARM_UP))
        self.upstream.load_state.warm_up = self.state
        self.table = GossipTable(RATE_LIMIT_TABLE, fleet.clock)
        self.limits = SharedRateLimits(
            self.table,
            f'10.0.0.{self.index}:1',
            lambda: [f'10.0.0.{other}:1' for other in self.known],
            lambda: fleet.counts[self.index],
            fleet.clock,
            fleet.rng,
        )
        # The scenarios are shorter than the time until a list is certain.
        if fleet.is_certain:
            self.limits.warm_ups.certain_at = fleet.clock.now()
        self.limits.update([self.upstream])

    def call(self) -> None:
        """Ask the upstream, and place the call once it has answered."""
        if self.upstream.load_state.wait(0, self.fleet.clock.now()) > 0:
            self.fleet.refused += 1
            return
        draw = self.fleet.rng.random()
        if draw < UNASKED_SHARE:
            # Another call's answer told the load, so none is asked for.
            self.place()
            return
        sent_at = self.fleet.clock.now()
        remaining = self.fleet.remaining()
        delay = self.fleet.rng.uniform(0.5, 20)
        if draw > 1 - SLOW_SHARE:
            delay = 140
        self.fleet.plan(
            delay, functools.partial(self.receive, remaining, sent_at)
        )

    def receive(self, remaining: Millis, sent_at: Millis) -> None:
        """Apply an answer, after a pause if the daemon is paused."""
        now = self.fleet.clock.now()
        if self.paused_until > now:
            later = functools.partial(self.receive, remaining, sent_at)
            self.fleet.plan(self.paused_until - now, later)
            return
        self.limits.warm_ups.record_reading(self.upstream, remaining, sent_at)
        self.place()

    def place(self) -> None:
        """Send a call if the warm-up allows it."""
        now = self.fleet.clock.now()
        if not self.state.admits(now, WARMTH_MAX_AGE):
            self.fleet.refused += 1
            return
        self.upstream.load_state.record_grant(now)
        self.fleet.plan(self.fleet.rng.uniform(0.2, 5), self.fleet.arrive)


class ColdFleet:
    """A fleet in virtual time.

    :param seed: of all random choices.
    :param lists: for each daemon, the indices of the others that it knows.
    :param counts: for each daemon, how many it believes to run.
    :param call_rate: calls for the upstream per second, from all daemons.
    :param cold_spans: when the upstream is cold.
    :param is_certain: whether daemons rely on their lists from the start.
    """

    def __init__(
        self,
        seed: int,
        lists: Sequence[Sequence[int]],
        counts: Sequence[int],
        call_rate: float,
        cold_spans: Iterable[tuple[Millis, Millis]],
        *,
        is_certain: bool,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = FakeClock(1000)
        self.lists = lists
        self.is_certain = is_certain
        self.counts = list(counts)
        self.call_rate = call_rate
        self.cold_spans = tuple(cold_spans)
        self.numbers = itertools.count()
        self.events: list[tuple[Millis, int, Callable[[], None]]] = []
        self.arrivals: list[Millis] = []
        self.refused = 0
        self.daemons = [
            SimulatedDaemon(self, index) for index in range(len(lists))
        ]

    def plan(self, delay: Millis, action: Callable[[], None]) -> None:
        """Run an action later."""
        at = self.clock.now() + delay
        heapq.heappush(self.events, (at, next(self.numbers), action))

    def remaining(self) -> Millis:
        """Return for how much longer the upstream is cold."""
        now = self.clock.now()
        return max(
            (end - now for start, end in self.cold_spans if start <= now < end),
            default=0,
        )

    def arrive(self) -> None:
        """Record a call that reaches the upstream."""
        self.arrivals.append(self.clock.now())

    def run(self, until: Millis, faults: Iterable[Fault] = ()) -> None:
        """Simulate calls, gossip and updates until a time."""
        for fault in faults:
            action = functools.partial(self._break, fault)
            self.plan(fault.at - self.clock.now(), action)
        for daemon in self.daemons:
            self.plan(self.rng.random() * TICK, self._ticker(daemon))
            self.plan(self.rng.random() * ROUND, self._gossiper(daemon))
        self._plan_call()
        while self.events and self.events[0][0] < until:
            at, _, action = heapq.heappop(self.events)
            self.clock.current = at
            action()

    def busiest_second(self, start: Millis, end: Millis) -> int:
        """Return the most calls of any second within a span."""
        times = [at for at in self.arrivals if start <= at < end]
        first = 0
        busiest = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1000:
                first += 1
            busiest = max(busiest, last - first + 1)
        return busiest

    def count(self, start: Millis, end: Millis) -> int:
        """Return the calls within a span."""
        return sum(start <= at < end for at in self.arrivals)

    def _plan_call(self) -> None:
        self.plan(self.rng.expovariate(self.call_rate) * 1000, self._call)

    def _call(self) -> None:
        daemon = self.rng.choice(self.daemons)
        if daemon.paused_until <= self.clock.now():
            daemon.call()
        self._plan_call()

    def _break(self, fault: Fault) -> None:
        daemon = self.daemons[fault.daemon]
        daemon.paused_until = self.clock.now() + fault.duration
        if fault.is_restart:
            daemon.known = ()
            self.counts[fault.daemon] = 1
            daemon.start()

    def _ticker(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        def tick() -> None:
            if daemon.paused_until <= self.clock.now():
                daemon.limits.update([daemon.upstream])
            self.plan(TICK, tick)

        return tick

    def _gossiper(self, daemon: SimulatedDaemon) -> Callable[[], None]:
        def exchange() -> None:
            if daemon.known and daemon.paused_until <= self.clock.now():
                peer = self.daemons[self.rng.choice(daemon.known)]
                for row in daemon.table.rows():
                    peer.table.merge(row)
                for answer in peer.table.rows():
                    daemon.table.merge(answer)
            self.plan(ROUND, exchange)

        return exchange
