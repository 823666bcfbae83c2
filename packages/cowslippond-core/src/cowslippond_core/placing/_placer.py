"""Finds an upstream for each call, probing upstreams on demand."""

import contextlib
import math
import random
from collections.abc import Callable
from itertools import repeat
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._isolation import run_contained, run_restarting
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core._warm_up import (
    UNPROBED_WARMTH_MAX_AGE,
    WARMTH_MAX_AGE,
)
from cowslippond_core.placing._limited_waits import LimitedWaits
from cowslippond_core.placing._pending_call import Grant, PendingCall
from cowslippond_core.placing._probe_limiter import ProbeLimiter
from cowslippond_core.placing._queue import CallQueue
from cowslippond_core.placing._selector import (
    FleetView,
    UpstreamSelector,
    are_evacuated,
    may_get_call,
)
from cowslippond_core.placing._service_time import ServiceTimeEstimator
from cowslippond_core.placing._slowdown import expected_slowdown

# Probes per round for the first waiting call and for each further one. More
# would exhaust the probe limit near capacity. If a quarter of the VMs are slow
# and half are busy, one of three is free and fast in three of four cases.
_ROUND_PROBES = 3
_EXTRA_PROBES = 1
_MAX_PROBES = 8

# If there are more local upstreams than one round can probe, two local rounds
# precede each remote one, since traffic between failure domains is expensive.
_LOCAL_ROUNDS = 2

# The delay between two searches, which grows while they place no call. With a
# dozen upstreams, a slot becomes free about every 10 ms.
_INITIAL_DELAY: Millis = 8
_MAX_DELAY: Millis = 40
_DELAY_GROWTH = 1.5

# A round waits for twice the usual probe time of its slowest upstream plus this
# slack, up to a maximum.
_PROBE_SLACK: Millis = 4
_MAX_ROUND: Millis = 60


class LoadSource(Protocol):
    """Probes upstreams; ``reports_load`` is false if they report no load."""

    reports_load: bool

    async def probe(self, upstream: Upstream) -> bool:
        """Store an upstream's load; return whether it reported one."""


class _Waiter:
    def __init__(self, call: PendingCall) -> None:
        self.call = call
        self.settled = anyio.Event()
        self.outcome: Grant | RefusalReason | None = None

    def settle(self, outcome: Grant | RefusalReason) -> None:
        self.outcome = outcome
        self.settled.set()


class Placer:
    """Assigns upstreams to the calls of one service.

    :param upstreams: the upstreams of the service.
    :param load_source: probes upstreams for their load.
    :param estimator: estimates the service time and the wait for a slot.
    :param probe_limiter: limits the rate of probes.
    :param fleet: information about the daemons.
    :param clock: the clock of all times.
    :param tasks: runs the probes and the search for slots.
    :param rng: chooses the upstreams to probe.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        load_source: LoadSource,
        estimator: ServiceTimeEstimator,
        probe_limiter: ProbeLimiter,
        fleet: FleetView,
        clock: Clock,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.load_source = load_source
        self.estimator = estimator
        self.probe_limiter = probe_limiter
        self.fleet = fleet
        self.clock = clock
        self.tasks = tasks
        self.rng = rng
        self.queue = CallQueue(estimator)
        self.waiters: dict[int, _Waiter] = {}
        self.is_searching = False
        self.is_out_of_probes = False
        self.capacity_changed = anyio.Event()
        # Tells whether calls are to be sent through peers instead.
        self.is_bypassed: Callable[[], bool] = _never
        self.selector = UpstreamSelector(upstreams, fleet, rng)
        self.limited_waits = LimitedWaits(self.queue, self.selector)

    async def acquire(self, call: PendingCall) -> Grant | RefusalReason:
        """Wait for an upstream and return it, or why the call gets none."""
        now = self.clock.now()
        if not self.selector.eligible(call.excluded):
            if are_evacuated(self.upstreams, self.fleet):
                return RefusalReason.EVACUATED
            return RefusalReason.NO_UPSTREAM
        self.selector.update_failure_baseline(now)
        self._update_slots()
        refusal = self.queue.check_admission(call, now)
        if refusal is not None:
            return refusal
        if self.limited_waits.is_refused(call, len(self.queue.pending), now):
            return RefusalReason.RATE_LIMITED
        if not self.queue.pending:
            best = self.selector.best(call, now)
            if best is not None and self.queue.accepts(
                call, best.slowdown, now
            ):
                return self._record_grant(call, best, now)
        return await self._wait(call)

    def notify_capacity_change(self) -> None:
        """Resume the search, since a call ended or the upstreams changed."""
        self.capacity_changed.set()

    def _update_slots(self) -> None:
        upstreams = self.upstreams.by_address.values()
        slots = sum(upstream.vm.slots or 1 for upstream in upstreams)
        in_flight = sum(upstream.in_flight for upstream in upstreams)
        self.estimator.update_slots(
            slots, self.fleet.count_daemons(), in_flight
        )
        self.estimator.is_fully_loaded = not self.selector.is_mostly_free()

    async def _wait(self, call: PendingCall) -> Grant | RefusalReason:
        waiter = _Waiter(call)
        self.queue.add(call)
        self.waiters[id(call)] = waiter
        if not self.is_searching:
            self.is_searching = True
            self.tasks.start_soon(run_restarting, self.clock, self._search)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._remove, call)
            await waiter.settled.wait()
        return waiter.outcome or RefusalReason.DEADLINE

    def _remove(self, call: PendingCall) -> None:
        self.queue.remove(call)
        self.waiters.pop(id(call), None)

    async def _search(self) -> None:
        """Probe upstreams and assign slots as long as calls wait."""
        delay = _INITIAL_DELAY
        while self.queue.pending:
            has_progress = await self._search_once()
            delay = _INITIAL_DELAY if has_progress else delay * _DELAY_GROWTH
            await self._wait_for_change(min(delay, _MAX_DELAY))
        self.is_searching = False

    async def _search_once(self) -> bool:
        waiting = len(self.queue.pending)
        self._expire()
        self.is_out_of_probes = False
        has_many_local = self.selector.count_local() > _MAX_PROBES
        local_rounds = _LOCAL_ROUNDS if has_many_local else 1
        for is_local in (*repeat(True, local_rounds), False):
            if self.queue.pending and self.load_source.reports_load:
                await self._probe_round(is_local)
        self._assign_slots()
        return len(self.queue.pending) < waiting

    async def _wait_for_change(self, delay: Millis) -> None:
        if not self.queue.pending:
            return
        self.capacity_changed = anyio.Event()
        with anyio.move_on_after(seconds_of(delay)):
            await self.capacity_changed.wait()

    def _expire(self) -> None:
        now = self.clock.now()
        if self.is_bypassed():
            for call in tuple(self.queue.pending):
                self._settle(call, RefusalReason.OUT_OF_REACH)
        for obstructed, reason in self.queue.obstructed():
            self._settle(obstructed, reason)
        if are_evacuated(self.upstreams, self.fleet):
            for waiting in tuple(self.queue.pending):
                self._settle(waiting, RefusalReason.EVACUATED)
        for limited in self.limited_waits.refused_calls(now):
            self._settle(limited, RefusalReason.RATE_LIMITED)
        for call in self.queue.expired(now):
            is_late = self.queue.is_late(call, now)
            self._settle(
                call,
                RefusalReason.UPSTREAMS_FULL
                if is_late
                else RefusalReason.DEADLINE,
            )

    def _settle(
        self, call: PendingCall, outcome: Grant | RefusalReason
    ) -> None:
        waiter = self.waiters.get(id(call))
        self._remove(call)
        if waiter is not None:
            waiter.settle(outcome)

    async def _probe_round(self, is_local: bool) -> None:
        now = self.clock.now()
        limit = _ROUND_PROBES + _EXTRA_PROBES * (len(self.queue.pending) - 1)
        targets = self.selector.probe_targets(
            min(limit, _MAX_PROBES), now, is_local=is_local
        )
        allowed = self.probe_limiter.acquire(
            len(targets),
            len(self.upstreams.by_address),
            self.fleet.count_daemons(),
            now,
        )
        self.is_out_of_probes |= allowed < len(targets)
        targets = targets[:allowed]
        if not targets:
            return
        probe_round = _ProbeRound(len(targets))
        for upstream in targets:
            self.tasks.start_soon(
                run_contained, self._probe, upstream, probe_round
            )
        longest = max(one.load_state.probe_time for one in targets)
        span = min(longest * 2 + _PROBE_SLACK, _MAX_ROUND)
        with anyio.move_on_after(seconds_of(span)):
            await probe_round.ended.wait()

    async def _probe(
        self, upstream: Upstream, probe_round: '_ProbeRound'
    ) -> None:
        is_answered = await self.load_source.probe(upstream)
        now = self.clock.now()
        self.selector.record_probe(upstream, now, is_answered=is_answered)
        if is_answered:
            self._offer(upstream, now)
        probe_round.record_end(is_over=not self.queue.pending)

    def _offer(self, upstream: Upstream, now: Millis) -> None:
        slowdown = expected_slowdown(upstream, now)
        if slowdown is None or not may_get_call(upstream, self.fleet, now):
            return
        call = self.queue.match(upstream.address, slowdown, now)
        if call is not None:
            grant = Grant(upstream, slowdown, 0)
            self._settle(call, self._record_grant(call, grant, now))

    def _assign_slots(self) -> None:
        """Assign the best available slots to the calls that accept them."""
        now = self.clock.now()
        for call in self.queue.service_order(now):
            best = self._best_for(call, now)
            if best is None:
                continue
            if self.queue.accepts(call, best.slowdown, now):
                self._settle(call, self._record_grant(call, best, now))

    def _best_for(self, call: PendingCall, now: Millis) -> Grant | None:
        best = self.selector.best(call, now)
        if best is not None:
            return best
        if self._needs_reading(now):
            return None
        # Upstreams that report no load are not probed, so nothing confirms that
        # they are warm.
        max_age = (
            UNPROBED_WARMTH_MAX_AGE if self.is_out_of_probes else WARMTH_MAX_AGE
        )
        if not self.load_source.reports_load:
            max_age = math.inf
        return self.selector.least_recent_idle(call, now, max_age)

    def _needs_reading(self, now: Millis) -> bool:
        """Tell whether to wait for a reading, as a full upstream drops calls.

        There is none to wait for if upstreams report no load or do not answer.
        If the probe limit is exhausted, waiting costs more than a small risk
        that the upstream is full.
        """
        if not self.load_source.reports_load:
            return False
        if self.is_out_of_probes and self.selector.is_mostly_free():
            return False
        return not self.selector.lacks_readings(now)

    def _record_grant(
        self, call: PendingCall, grant: Grant, now: Millis
    ) -> Grant:
        self.queue.record_grant(call)
        grant.upstream.load_state.record_grant(now)
        grant.upstream.chosen_at = now
        return grant


def _never() -> bool:
    return False


class _ProbeRound:
    """The probes of one round that have not ended yet."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.ended = anyio.Event()

    def record_end(self, *, is_over: bool) -> None:
        self.count -= 1
        if is_over or self.count <= 0:
            self.ended.set()
