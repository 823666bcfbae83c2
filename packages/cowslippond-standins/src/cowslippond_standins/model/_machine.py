"""A simulated machine that shares its processor with other tenants."""

import contextlib
import random
from collections import deque

import anyio
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins.model._load import Load

# Tolerance for rounding errors: a call with less work remaining is done.
_MIN_REMAINING: Millis = 0.001


class Machine:
    """Runs calls concurrently, slower under contention or noise.

    ``hidden_slowness`` slows calls down without appearing in load reports.

    :param load: the parameters of the machine.
    :param rng: draws the noise and the calls that hang.
    :param clock: the simulated clock.
    """

    def __init__(self, load: Load, rng: random.Random, clock: Clock) -> None:
        self.load = load
        self.rng = rng
        self.clock = clock
        self.running = 0
        self.waiters: deque[anyio.Event] = deque()
        self.slowness: float = 1
        self.hidden_slowness: float = 1
        self.hang_probability: float = 0
        self.dropped = 0
        self.changed = anyio.Event()

    async def vary_speed(self) -> None:
        """Draw a new speed at each noise interval until cancelled.

        The first interval starts at a random time, so that machines do not
        change speed together.
        """
        interval = self.load.noise_interval
        await self.clock.sleep(self.rng.uniform(0, interval))
        while True:
            is_slow = self.rng.random() < self.load.noise_probability
            self.slowness = self.load.noise_slowdown if is_slow else 1
            self._notify_changed()
            await self.clock.sleep(interval)

    async def run(self, service_time: Millis) -> None:
        """Run a call.

        A call that hangs or finds the queue full never returns; it ends when
        it is cancelled.

        :param service_time: the time that it takes on an idle machine.
        """
        if self.rng.random() < self.hang_probability:
            await anyio.sleep_forever()
        if self.running >= self.load.slots:
            await self._wait_for_slot()
        self.running += 1
        self._notify_changed()
        with contextlib.ExitStack() as slot:
            slot.callback(self._release_slot)
            await self._execute(
                service_time * self.hidden_slowness * self.slowness
            )

    def _release_slot(self) -> None:
        self.running -= 1
        self._notify_changed()
        if self.waiters:
            self.waiters.popleft().set()

    async def _wait_for_slot(self) -> None:
        if len(self.waiters) >= self.load.queue:
            self.dropped += 1
            await anyio.sleep_forever()
        slot_freed = anyio.Event()
        self.waiters.append(slot_freed)
        try:
            await slot_freed.wait()
        except BaseException:
            if slot_freed in self.waiters:
                self.waiters.remove(slot_freed)
            raise

    async def _execute(self, remaining: Millis) -> None:
        while True:
            slowdown = self._contention()
            started_at = self.clock.now()
            changed = self.changed
            with anyio.move_on_after(seconds_of(remaining * slowdown)):
                await changed.wait()
            remaining -= (self.clock.now() - started_at) / slowdown
            if remaining < _MIN_REMAINING:
                return

    def _contention(self) -> float:
        load = self.load
        is_crowded = self.running > load.slots * load.contention_threshold
        return load.contention_slowdown if is_crowded else 1

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
