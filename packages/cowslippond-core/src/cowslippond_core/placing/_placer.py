"""Finds an upstream for each call by reading loads when a call needs them."""

import contextlib
import random
from itertools import repeat
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core.placing._candidates import Candidates, Fleet
from cowslippond_core.placing._pending_call import Grant, PendingCall
from cowslippond_core.placing._probe_limiter import ProbeLimiter
from cowslippond_core.placing._queue import CallQueue
from cowslippond_core.placing._service_time import ServiceTimeEstimator
from cowslippond_core.placing._slowdown import expected_slowdown

# Readings in one round, for one waiting call and for each further one. More use
# up the ration near capacity; of three machines, a quarter of which is slow and
# half of which are busy, one is free and fast in three of four cases.
_ROUND_READS = 3
_MORE_READS = 1
_MOST_READS = 8

# With more near upstreams than a round reads at most, two rounds read near ones
# before one reads far ones: bytes between failure domains are dear.
_NEAR_ROUNDS = 2

# The pause between two rounds that found nothing, in milliseconds; slots become
# free about every 10 ms in a service of a dozen upstreams.
_FIRST_PAUSE: Millis = 8
_LONGEST_PAUSE: Millis = 40
_PAUSE_GROWTH = 1.5

# A round waits this long for readings beyond the usual time of its upstreams,
# in milliseconds.
_READ_SLACK: Millis = 4
_LONGEST_ROUND: Millis = 60


class LoadSource(Protocol):
    """Takes readings; ``tells_load`` is unset where upstreams tell none."""

    reports_load: bool

    async def probe(self, upstream: Upstream) -> bool:
        """Note the load of an upstream there; return whether it was told."""


class _Waiter:
    def __init__(self, ask: PendingCall) -> None:
        self.ask = ask
        self.settled = anyio.Event()
        self.outcome: Grant | RefusalReason | None = None

    def settle(self, outcome: Grant | RefusalReason) -> None:
        self.outcome = outcome
        self.settled.set()


class Placer:
    """Places the calls of one service.

    :param upstreams: of the service.
    :param loads: takes readings.
    :param pace: what is known of the service's speed.
    :param ration: bounds the readings.
    :param fleet: what is known of the daemons.
    :param clock: the clock of all times.
    :param tasks: runs readings and the search for slots.
    :param rng: draws whom to read.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        loads: LoadSource,
        pace: ServiceTimeEstimator,
        ration: ProbeLimiter,
        fleet: Fleet,
        clock: Clock,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.load_source = loads
        self.estimator = pace
        self.probe_limiter = ration
        self.fleet = fleet
        self.clock = clock
        self.tasks = tasks
        self.rng = rng
        self.queue = CallQueue(pace)
        self.waiters: dict[int, _Waiter] = {}
        self.is_seeking = False
        self.changed = anyio.Event()
        self.candidates = Candidates(upstreams, fleet, rng)

    async def acquire(self, ask: PendingCall) -> Grant | RefusalReason:
        """Return an upstream for a call, or why it gets none."""
        now = self.clock.now()
        if not self.candidates.eligible(ask):
            return RefusalReason.NO_UPSTREAM
        self.candidates.update_usual_failures(now)
        self._share_slots()
        refusal = self.queue.check_admission(ask, now)
        if refusal is not None:
            return refusal
        if not self.queue.pending:
            known = self.candidates.best(ask, now)
            if known is not None and self.queue.accepts(
                ask, known.slowdown, now
            ):
                return self._take(known, now)
        return await self._wait(ask)

    def notify_capacity_change(self) -> None:
        """Look for slots again, since a call has ended."""
        self.changed.set()

    def _share_slots(self) -> None:
        upstreams = self.upstreams.by_address.values()
        slots = sum(upstream.vm.slots or 1 for upstream in upstreams)
        self.estimator.update_slots(slots, self.fleet.count_daemons())

    async def _wait(self, ask: PendingCall) -> Grant | RefusalReason:
        waiter = _Waiter(ask)
        self.queue.add(ask)
        self.waiters[id(ask)] = waiter
        if not self.is_seeking:
            self.is_seeking = True
            self.tasks.start_soon(self._seek)
        with contextlib.ExitStack() as at_end:
            at_end.callback(self._forget, ask)
            await waiter.settled.wait()
        return waiter.outcome or RefusalReason.DEADLINE

    def _forget(self, ask: PendingCall) -> None:
        self.queue.remove(ask)
        self.waiters.pop(id(ask), None)

    async def _seek(self) -> None:
        """Read loads and give out slots while calls wait."""
        pause = _FIRST_PAUSE
        while self.queue.pending:
            served = await self._seek_once()
            pause = _FIRST_PAUSE if served else pause * _PAUSE_GROWTH
            await self._rest(min(pause, _LONGEST_PAUSE))
        self.is_seeking = False

    async def _seek_once(self) -> bool:
        waiting = len(self.queue.pending)
        self._expire()
        is_plenty = self.candidates.count_local() > _MOST_READS
        near_rounds = _NEAR_ROUNDS if is_plenty else 1
        for is_near in (*repeat(True, near_rounds), False):
            if self.queue.pending and self.load_source.reports_load:
                await self._read_round(is_near)
        self._settle()
        return len(self.queue.pending) < waiting

    async def _rest(self, pause: Millis) -> None:
        if not self.queue.pending:
            return
        self.changed = anyio.Event()
        with anyio.move_on_after(seconds_of(pause)):
            await self.changed.wait()

    def _expire(self) -> None:
        now = self.clock.now()
        for ask in self.queue.expired(now):
            is_late = self.queue.is_late(ask, now)
            self._give(
                ask,
                RefusalReason.UPSTREAMS_FULL
                if is_late
                else RefusalReason.DEADLINE,
            )

    def _give(self, ask: PendingCall, outcome: Grant | RefusalReason) -> None:
        waiter = self.waiters.get(id(ask))
        self._forget(ask)
        if waiter is not None:
            waiter.settle(outcome)

    async def _read_round(self, is_near: bool) -> None:
        now = self.clock.now()
        wanted = _ROUND_READS + _MORE_READS * (len(self.queue.pending) - 1)
        picked = self.candidates.probe_targets(
            min(wanted, _MOST_READS), now, is_local=is_near
        )
        allowed = self.probe_limiter.acquire(
            len(picked),
            len(self.upstreams.by_address),
            self.fleet.count_daemons(),
            now,
        )
        picked = picked[:allowed]
        if not picked:
            return
        progress = _Round(len(picked))
        for upstream in picked:
            self.tasks.start_soon(self._read, upstream, progress)
        longest = max(one.seen.read_time for one in picked)
        span = min(longest * 2 + _READ_SLACK, _LONGEST_ROUND)
        with anyio.move_on_after(seconds_of(span)):
            await progress.ended.wait()

    async def _read(self, upstream: Upstream, progress: '_Round') -> None:
        is_read = await self.load_source.probe(upstream)
        now = self.clock.now()
        self.candidates.record_probe(upstream, now, is_answered=is_read)
        if is_read:
            self._offer(upstream, now)
        progress.note(is_over=not self.queue.pending)

    def _offer(self, upstream: Upstream, now: Millis) -> None:
        factor = expected_slowdown(upstream, now)
        if factor is None or self.fleet.is_leaving(upstream.address):
            return
        ask = self.queue.match(upstream.address, factor, now)
        if ask is not None:
            self._give(ask, self._take(Grant(upstream, factor, 0), now))

    def _settle(self) -> None:
        """Give the best slots that were found to the calls that take them."""
        now = self.clock.now()
        for ask in self.queue.service_order(now):
            best = self._best_for(ask, now)
            if best is None:
                continue
            if self.queue.accepts(ask, best.slowdown, now):
                self._give(ask, self._take(best, now))

    def _best_for(self, ask: PendingCall, now: Millis) -> Grant | None:
        best = self.candidates.best(ask, now)
        if best is not None:
            return best
        if self.load_source.reports_load and not self.candidates.lacks_readings(
            now
        ):
            # A full upstream swallows calls, so the next reading is awaited.
            return None
        return self.candidates.least_recent_idle(ask, now)

    def _take(self, grant: Grant, now: Millis) -> Grant:
        grant.upstream.seen.granted.append(now)
        grant.upstream.chosen_at = now
        return grant


class _Round:
    """The readings of one round that are still out."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.ended = anyio.Event()

    def note(self, *, is_over: bool) -> None:
        self.count -= 1
        if is_over or self.count <= 0:
            self.ended.set()
