"""Admission of calls: how many run, how many wait, and which are refused."""

from collections import deque

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._document import LimitPolicy
from cowslippond_core._reasons import RefusalReason


class Limiter:
    """Bound the calls of one service that a process holds.

    :param policy: the bounds.
    :param clock: tells how long a call may still wait.
    """

    def __init__(self, policy: LimitPolicy, clock: Clock) -> None:
        self.policy = policy
        self.clock = clock
        self.running = 0
        self.waiting: deque[anyio.Event] = deque()

    async def admit(self, deadline: Millis) -> RefusalReason | None:
        """Wait for a turn; return why there is none.

        :param deadline: of the call, on the clock, in milliseconds.
        """
        if deadline <= self.clock.now():
            return RefusalReason.DEADLINE
        if self.running < self.policy.concurrency:
            self.running += 1
            return None
        if len(self.waiting) >= self.policy.queue:
            return RefusalReason.QUEUE_FULL
        return await self._wait_turn(deadline)

    def release(self) -> None:
        """End a call and let the next one run."""
        self.running -= 1
        while self.waiting and self.running < self.policy.concurrency:
            self.running += 1
            self.waiting.popleft().set()

    async def _wait_turn(self, deadline: Millis) -> RefusalReason | None:
        turn = anyio.Event()
        self.waiting.append(turn)
        span = deadline - self.clock.now()
        try:
            with anyio.move_on_after(seconds_of(span)):
                await turn.wait()
        except BaseException:
            self._leave(turn)
            raise
        if turn.is_set():
            return None
        self._leave(turn)
        return RefusalReason.DEADLINE

    def _leave(self, turn: anyio.Event) -> None:
        if turn.is_set():
            self.release()
            return
        self.waiting.remove(turn)
