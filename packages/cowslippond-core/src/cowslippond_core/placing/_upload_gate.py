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

# A short call takes turns on the link with each upload that uses it, so more would
# delay short calls on a link of 5 Mbit/s by hundreds of milliseconds.
_MAX_FAST_UPLOADS = 8

# Eight uploads at this speed use half of a link of 5 Mbit/s. Slower ones wait for
# their callers or upstreams, and others may use the link meanwhile.
_FAST_BYTES_PER_MILLI = 40

# The least time over which the speed of an upload is measured. It is measured
# from its start, since bodies move in steps of seconds: an upstream's system takes
# some hundred kilobytes at once and then nothing until it has passed them on.
_MIN_SPAN: Millis = 2000

# Uploads beyond these are refused, as they hold 64 KB or more while they wait.
_MAX_WAITING = 64

# How soon waiting uploads notice that more of them are allowed.
_RECHECK_INTERVAL: Millis = 200


def upload_limit(connections: int) -> int:
    """Return how many uploads may be under way at once.

    :param connections: the number of connections that this daemon may have to
        all upstreams of the service.
    """
    limit = int(connections * _CONNECTION_RATIO)
    return min(max(limit, 1), _MAX_UPLOADS)


class UploadProgress:
    """The speed of one upload.

    :param now: the clock time in milliseconds at which it was admitted.
    """

    def __init__(self, now: Millis) -> None:
        self.started_at = now
        self.passed_bytes = 0

    def is_fast(self, now: Millis) -> bool:
        """Tell whether the upload uses a good part of a slow link."""
        span = now - self.started_at
        if span < _MIN_SPAN:
            return True
        return self.passed_bytes >= _FAST_BYTES_PER_MILLI * span


def _find_none() -> None:
    """Find no obstacle."""


class UploadGate:
    """Admits uploads in their order of arrival.

    Only bodies that are too large to buffer count as uploads here.

    :param count_connections: returns the number of connections that this daemon
        may have to all upstreams of the service.
    :param clock: the clock of deadlines and speeds.
    """

    def __init__(
        self, count_connections: Callable[[], int], clock: Clock
    ) -> None:
        self.count_connections = count_connections
        self.clock = clock
        self.running: set[UploadProgress] = set()
        self.waiting: deque[_Turn] = deque()

    async def enter(
        self,
        deadline: Millis,
        find_obstacle: Callable[[], RefusalReason | None] = _find_none,
    ) -> UploadProgress | RefusalReason:
        """Wait until an upload may be sent, or return why it is refused.

        An upload that was admitted must :meth:`leave`.

        :param deadline: clock time in milliseconds, infinite if there is none.
        :param find_obstacle: returns why the upload must no longer be sent.
        """
        if not self.waiting and self._has_room():
            return self._start()
        if len(self.waiting) >= _MAX_WAITING:
            return RefusalReason.QUEUE_FULL
        turn = _Turn()
        self.waiting.append(turn)
        with contextlib.ExitStack() as at_end:
            at_end.callback(self._forget, turn)
            await self._wait(turn, deadline, find_obstacle)
            if turn.progress is not None:
                at_end.pop_all()
                return turn.progress
        return find_obstacle() or RefusalReason.DEADLINE

    def leave(self, progress: UploadProgress) -> None:
        """End an upload, and admit those that wait."""
        self.running.discard(progress)
        self._admit()

    async def _wait(
        self,
        turn: '_Turn',
        deadline: Millis,
        find_obstacle: Callable[[], RefusalReason | None],
    ) -> None:
        left = deadline - self.clock.now()
        while left > 0 and turn.progress is None:
            if find_obstacle() is not None:
                return
            with anyio.move_on_after(seconds_of(min(left, _RECHECK_INTERVAL))):
                await turn.admitted.wait()
            self._admit()
            left = deadline - self.clock.now()

    def _has_room(self) -> bool:
        if len(self.running) >= upload_limit(self.count_connections()):
            return False
        now = self.clock.now()
        fast = sum(1 for progress in self.running if progress.is_fast(now))
        return fast < _MAX_FAST_UPLOADS

    def _start(self) -> UploadProgress:
        progress = UploadProgress(self.clock.now())
        self.running.add(progress)
        return progress

    def _admit(self) -> None:
        while self.waiting and self._has_room():
            turn = self.waiting.popleft()
            turn.progress = self._start()
            turn.admitted.set()

    def _forget(self, turn: '_Turn') -> None:
        if turn.progress is None:
            self.waiting.remove(turn)
        else:
            # The upload was admitted and cancelled in the same moment.
            self.leave(turn.progress)


class _Turn:
    """An upload that waits to be admitted."""

    def __init__(self) -> None:
        self.admitted = anyio.Event()
        self.progress: UploadProgress | None = None
