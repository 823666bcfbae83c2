"""Connection pool of this process for one upstream."""

from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskGroup
from expression import Error, Ok, Result

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._connection import Connection
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._isolation import run_contained

_SILENT_CALL_THRESHOLD = 3
_TRACKED_BREAKS = 2

#: Maximum wait for a new connection.
CONNECT_TIMEOUT: Millis = 250

# Idle connections are closed after this fraction of the idle timeout that the
# other end states, so that a call is not sent while the other end closes the
# connection.
_IDLE_TIMEOUT_FRACTION = 0.7

#: How long a connection may stay idle if the other end states no timeout.
DEFAULT_IDLE_TIMEOUT: Millis = 4000


class Connections:
    """Opens, reuses and closes the connections to one upstream.

    :param address: ``host:port`` of the upstream.
    :param tasks: task group that runs the reading task of each connection.
    :param clock: used to measure idle times.
    :param limit: maximum number of connections that this process may open.
    :param connect_timeout: maximum wait for a new connection, in milliseconds.
    """

    def __init__(
        self,
        address: str,
        tasks: TaskGroup,
        clock: Clock,
        limit: int,
        connect_timeout: Millis = CONNECT_TIMEOUT,
    ) -> None:
        self.address = address
        self.tasks = tasks
        self.clock = clock
        self.limit = limit
        self.connect_timeout = connect_timeout
        self.open: set[Connection] = set()
        self.idle: list[Connection] = []
        self.opening_count = 0
        self.break_times: deque[Millis] = deque(maxlen=_TRACKED_BREAKS)
        self.is_retired = False
        self.idle_timeout: Millis = DEFAULT_IDLE_TIMEOUT
        self.consecutive_silent_calls = 0
        self.first_silent_at: Millis = 0

    def has_room(self) -> bool:
        """Return whether one more call can get a connection."""
        busy = len(self.open) - len(self.idle)
        return busy + self.opening_count < self.limit

    async def acquire(self, *, is_fresh: bool) -> Result[Connection, str]:
        """Return a connection for one call, or the error.

        :param is_fresh: whether the connection must not have carried a call
            before.
        """
        if not is_fresh:
            await anyio.lowlevel.checkpoint()
            reused = self._acquire_idle()
            if reused is not None:
                return Ok(reused)
        self._make_room()
        return await self._connect()

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after its call has ended."""
        if connection.calls > 1:
            self.consecutive_silent_calls = 0
        self._end_silent_calls(connection.opened_at)
        if connection.is_suspect or self.is_retired:
            connection.close()
        if connection.is_closed:
            return
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        oldest = connection.idle_since - self.idle_timeout
        while self.idle[0].idle_since < oldest:
            self.idle.pop(0).close()

    def end_call(self, connection: Connection) -> None:
        """End the call on a connection, and return it to the pool if usable."""
        if connection.end_call():
            self.release(connection)

    def record_silent_call(
        self, connection: Connection, sent_at: Millis
    ) -> None:
        """Record a call that was abandoned before any byte of its answer.

        Several such calls in a row on reused connections suggest that a device
        between the two ends has lost the state of all these connections.

        :param sent_at: clock time in milliseconds when the call was sent.
        """
        has_answered = connection.received_at >= sent_at or connection.is_closed
        if has_answered or connection.calls < 2:
            return
        if self.consecutive_silent_calls == 0:
            self.first_silent_at = sent_at
        self.consecutive_silent_calls += 1
        if self.consecutive_silent_calls >= _SILENT_CALL_THRESHOLD:
            self.suspect_silent_since(self.first_silent_at)

    def suspect_silent_since(self, since: Millis) -> None:
        """Mark connections that have received nothing since ``since`` suspect.

        Idle ones are closed at once, busy ones when their call has ended.

        :param since: clock time in milliseconds.
        """
        self.consecutive_silent_calls = 0
        for connection in self.open:
            if connection.received_at < since:
                connection.is_suspect = True
        self._close_idle(_is_suspect)

    def _end_silent_calls(self, opened_at: Millis) -> None:
        """End the calls on suspect connections after a newer one has answered.

        A single silent call may only be slow. Several of them, while a
        connection that was opened later works, show that the older connections
        are dead.

        :param opened_at: clock time in milliseconds when the newer connection
            was opened.
        """
        silent = [
            connection
            for connection in self.open
            if connection.is_suspect and connection.is_silent_since(opened_at)
        ]
        if len(silent) < _SILENT_CALL_THRESHOLD:
            return
        for connection in silent:
            connection.close(ExchangeFault.SILENT)

    def retire(self) -> None:
        """Close idle connections now and busy ones when their call ends."""
        self.is_retired = True
        self._close_idle(_always)

    def update_idle_timeout(self, idle_timeout: Millis) -> None:
        """Adopt the idle timeout that the other end has stated.

        :param idle_timeout: in milliseconds.
        """
        self.idle_timeout = idle_timeout * _IDLE_TIMEOUT_FRACTION

    def _acquire_idle(self) -> Connection | None:
        oldest = self.clock.now() - self.idle_timeout
        while self.idle:
            connection = self.idle.pop()
            if connection.is_closed:
                continue
            if (
                connection.idle_since >= oldest
                and connection.has_no_pending_input()
            ):
                return connection
            connection.close()
        return None

    def _make_room(self) -> None:
        if self.idle and len(self.open) + self.opening_count >= self.limit:
            self.idle.pop(0).close()

    async def _connect(self) -> Result[Connection, str]:
        self.opening_count += 1
        try:
            stream = await _open_stream(self.address, self.connect_timeout)
        except (OSError, TimeoutError) as error:
            return Error(repr(error))
        finally:
            self.opening_count -= 1
        try:
            connection = Connection(stream, self.clock)
        except (AttributeError, OSError):
            # The other end reset the connection at once. The event loop has
            # released the socket, and anyio fails when it accesses it.
            await anyio.aclose_forcefully(stream)
            return Error('connection was reset while it was being opened')
        self.open.add(connection)
        self.tasks.start_soon(run_contained, connection.run, self._remove)
        return Ok(connection)

    def were_all_closed(self, since: Millis) -> bool:
        """Return whether the other end has closed several connections at once.

        True if at least two connections broke and no connection that was
        opened earlier is still open.

        :param since: clock time in milliseconds of the first break.
        """
        if sum(at >= since for at in self.break_times) < 2:
            return False
        return all(one.opened_at >= since for one in self.open)

    def _remove(self, connection: Connection) -> None:
        if not connection.is_closed_locally:
            self.break_times.append(self.clock.now())
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def _close_idle(self, should_close: Callable[[Connection], bool]) -> None:
        still_idle = []
        for connection in self.idle:
            if should_close(connection):
                connection.close()
                continue
            still_idle.append(connection)
        self.idle = still_idle


def _is_suspect(connection: Connection) -> bool:
    return connection.is_suspect


def _always(_: Connection) -> bool:
    return True


async def _open_stream(address: str, timeout: Millis) -> SocketStream:
    host, _, port = address.rpartition(':')
    with anyio.fail_after(seconds_of(timeout)):
        return await anyio.connect_tcp(host.strip('[]'), int(port))
