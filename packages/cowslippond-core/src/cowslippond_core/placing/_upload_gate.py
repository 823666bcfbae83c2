"""Limits how many uploads of a service are under way at once."""

import contextlib
from collections import deque
from collections.abc import Callable

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._reasons import RefusalReason

# An upload holds its connection for as long as its body takes. The rest of the
# connections are left to short calls of the same service.
_CONNECTION_RATIO = 0.5

# Bounds the memory of a daemon: an upload takes about half a megabyte.
_MAX_UPLOADS = 64

# Uploads beyond these are refused, as they hold 64 KB or more while they wait.
_MAX_WAITING = 64

# How soon waiting uploads notice that more connections are allowed.
_RECHECK_INTERVAL: Millis = 200


def upload_limit(connections: int) -> int:
    """Return how many uploads may be under way at once.

    :param connections: the number of connections that this daemon may have to
        all upstreams of the service.
    """
    limit = int(connections * _CONNECTION_RATIO)
    return min(max(limit, 1), _MAX_UPLOADS)


class UploadGate:
    """Admits uploads in their order of arrival.

    Only bodies that are too large to buffer count as uploads here.

    :param count_connections: returns the number of connections that this daemon
        may have to all upstreams of the service.
    :param clock: the clock of deadlines.
    """

    def __init__(
        self, count_connections: Callable[[], int], clock: Clock
    ) -> None:
        self.count_connections = count_connections
        self.clock = clock
        self.running = 0
        self.waiting: deque[anyio.Event] = deque()

    async def enter(self, deadline: Millis) -> RefusalReason | None:
        """Wait until an upload may be sent; return why it is refused, if it is.

        An upload that was admitted must :meth:`leave`.

        :param deadline: clock time in milliseconds, infinite if there is none.
        """
        if not self.waiting and self._has_room():
            self.running += 1
            return None
        if len(self.waiting) >= _MAX_WAITING:
            return RefusalReason.QUEUE_FULL
        turn = anyio.Event()
        self.waiting.append(turn)
        with contextlib.ExitStack() as at_end:
            at_end.callback(self._forget, turn)
            await self._wait(turn, deadline)
            if turn.is_set():
                at_end.pop_all()
                return None
        return RefusalReason.DEADLINE

    async def _wait(self, turn: anyio.Event, deadline: Millis) -> None:
        left = deadline - self.clock.now()
        while left > 0 and not turn.is_set():
            with anyio.move_on_after(seconds_of(min(left, _RECHECK_INTERVAL))):
                await turn.wait()
            self._admit()
            left = deadline - self.clock.now()

    def leave(self) -> None:
        """End an upload, and admit those that wait."""
        self.running -= 1
        self._admit()

    def _has_room(self) -> bool:
        return self.running < upload_limit(self.count_connections())

    def _admit(self) -> None:
        while self.waiting and self._has_room():
            self.running += 1
            self.waiting.popleft().set()

    def _forget(self, turn: anyio.Event) -> None:
        if turn.is_set():
            # The upload was admitted and cancelled in the same moment.
            self.leave()
        else:
            self.waiting.remove(turn)
