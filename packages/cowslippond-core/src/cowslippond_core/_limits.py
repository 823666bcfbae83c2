"""Admission control: concurrency limit, queue and refusals."""

from collections import deque

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._document import LimitPolicy
from cowslippond_core._reasons import RefusalReason

_DECREASE_FACTOR = 0.8
_INCREASE_STEP = 0.5
_MIN_DECREASE_INTERVAL: Millis = 50
_DECREASE_ROUNDS = 4
_HOLD_TIME_WEIGHT = 0.1


class Limiter:
    """Limits the running and queued calls of one service in this process.

    The limit on running calls adapts as in TCP congestion avoidance (AIMD): it
    is multiplied by a factor below 1 while the upstreams have no free slot, and
    grows additively with successful answers while it is fully used.

    ``min_limit`` is the lower bound of the limit, and ``usable_ratio`` the
    fraction of it that may be used now. ``hold_time`` is the moving average of
    how long a call runs, in milliseconds.

    :param policy: the maximum limit and queue length from the service's
        document.
    :param clock: the clock of deadlines.
    """

    def __init__(self, policy: LimitPolicy, clock: Clock) -> None:
        self.policy = policy
        self.clock = clock
        self.limit = float(policy.concurrency)
        self.min_limit: float = 1
        self.usable_ratio: float = 1
        self.running = 0
        self.hold_time: Millis = 0
        self.decreased_at: Millis = 0
        self.waiting: deque[anyio.Event] = deque()

    async def admit(
        self, deadline: Millis, fastest: Millis
    ) -> RefusalReason | None:
        """Wait until the call may run; return the reason if it is refused.

        A call that cannot meet its deadline is refused at once.

        :param deadline: of the call, on the clock, in milliseconds.
        :param fastest: the shortest time in which a call is answered, in
            milliseconds.
        """
        slack = deadline - self.clock.now() - fastest
        if slack <= 0 or self._expected_wait() > slack:
            return RefusalReason.DEADLINE
        if self._has_capacity():
            self.running += 1
            return None
        if len(self.waiting) >= self.policy.queue:
            return RefusalReason.QUEUE_FULL
        return await self._wait_in_queue(deadline - fastest)

    def release(self) -> None:
        """Count a running call as ended, and admit queued calls."""
        self.running -= 1
        while self.waiting and self._has_capacity():
            self.running += 1
            self.waiting.popleft().set()

    def replace_policy(self, policy: LimitPolicy) -> None:
        """Apply the limits of a newer document."""
        self.policy = policy
        self.limit = float(policy.concurrency)

    def record_full(self) -> None:
        """Decrease the limit because no upstream has a free slot.

        The limit decreases at most once per few call durations.
        """
        now = self.clock.now()
        interval = max(
            self.hold_time * _DECREASE_ROUNDS, _MIN_DECREASE_INTERVAL
        )
        if now - self.decreased_at < interval:
            return
        self.decreased_at = now
        used = min(self.limit, self.running)
        self.limit = max(used * _DECREASE_FACTOR, self.min_limit)

    def record_answer(self, hold_time: Millis) -> None:
        """Increase the limit if it is fully used.

        :param hold_time: how long the answered call ran, in milliseconds.
        """
        self.hold_time += _HOLD_TIME_WEIGHT * (hold_time - self.hold_time)
        if self.running + 1 >= self.limit:
            raised = self.limit + _INCREASE_STEP / self.limit
            self.limit = min(raised, float(self.policy.concurrency))

    def _has_capacity(self) -> bool:
        return self.running < max(self.limit * self.usable_ratio, 1)

    def _expected_wait(self) -> Millis:
        if self._has_capacity():
            return 0
        rounds = (len(self.waiting) + 1) / max(
            self.limit * self.usable_ratio, 1
        )
        return rounds * self.hold_time

    async def _wait_in_queue(self, until: Millis) -> RefusalReason | None:
        admitted = anyio.Event()
        self.waiting.append(admitted)
        try:
            with anyio.move_on_after(seconds_of(until - self.clock.now())):
                await admitted.wait()
        except BaseException:
            self._withdraw(admitted)
            raise
        if admitted.is_set():
            return None
        self._withdraw(admitted)
        return RefusalReason.DEADLINE

    def _withdraw(self, admitted: anyio.Event) -> None:
        if admitted.is_set():
            self.release()
            return
        self.waiting.remove(admitted)
