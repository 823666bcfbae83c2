"""The connections of this process to one upstream."""

from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskGroup
from expression import Error, Ok, Result

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._connection import Connection
from cowslippond_core._exchange import ExchangeFault

_SILENT_CALLS = 3
_KEPT_BREAKS = 2

#: The longest wait for a new connection, in milliseconds.
CONNECT_TIMEOUT: Millis = 250

# The part of the stated time after which a connection counts as expired, since
# a call must not cross the close.
_EXPIRY_SHARE = 0.7

#: How long a connection may stay idle unless its other end says so, in
#: milliseconds.
IDLE_EXPIRY: Millis = 4000


class Connections:
    """Open, keep and close the connections to one upstream.

    :param address: ``host:port`` of the upstream.
    :param tasks: runs the reading task of each connection.
    :param clock: tells idle times.
    :param limit: the most connections that this process may have open.
    """

    def __init__(
        self, address: str, tasks: TaskGroup, clock: Clock, limit: int
    ) -> None:
        self.address = address
        self.tasks = tasks
        self.clock = clock
        self.limit = limit
        self.open: set[Connection] = set()
        self.idle: list[Connection] = []
        self.opening = 0
        self.broken_at: deque[Millis] = deque(maxlen=_KEPT_BREAKS)
        self.is_retired = False
        self.idle_expiry: Millis = IDLE_EXPIRY
        self.silent_in_row = 0
        self.silent_since: Millis = 0

    def has_room(self) -> bool:
        """Tell whether one more call can have a connection."""
        busy = len(self.open) - len(self.idle)
        return busy + self.opening < self.limit

    async def take(self, *, is_fresh: bool) -> Result[Connection, str]:
        """Return a connection for one call, or why there is none.

        :param is_fresh: whether the connection must not have carried a call.
        """
        if not is_fresh:
            await anyio.lowlevel.checkpoint()
            reused = self._take_idle()
            if reused is not None:
                return Ok(reused)
        self._make_room()
        return await self._connect()

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose call has ended for the next call."""
        if connection.calls > 1:
            self.silent_in_row = 0
        self._end_silent_calls(connection.opened_at)
        if connection.is_suspect or self.is_retired:
            connection.close()
        if connection.is_closed:
            return
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        oldest = connection.idle_since - self.idle_expiry
        while self.idle[0].idle_since < oldest:
            self.idle.pop(0).close()

    def end_call(self, connection: Connection) -> None:
        """End the call on a connection, and keep it if another may follow."""
        if connection.end_call():
            self.give_back(connection)

    def note_silence(self, connection: Connection, sent_at: Millis) -> None:
        """Note a call that was given up before any byte of its answer.

        Several in a row on connections that had worked before mean that
        something between the two ends may have lost track of the whole set.

        :param sent_at: when the call was sent, in milliseconds.
        """
        is_proven = connection.received_at >= sent_at or connection.is_closed
        if is_proven or connection.calls < 2:
            return
        if self.silent_in_row == 0:
            self.silent_since = sent_at
        self.silent_in_row += 1
        if self.silent_in_row >= _SILENT_CALLS:
            self.suspect_silent(self.silent_since)

    def suspect_silent(self, since: Millis) -> None:
        """Stop using connections that have brought nothing since a time.

        Idle ones are closed at once, busy ones when their call has ended.

        :param since: on the clock, in milliseconds.
        """
        self.silent_in_row = 0
        for connection in self.open:
            if connection.received_at < since:
                connection.is_suspect = True
        self._close_idle(_is_suspect)

    def _end_silent_calls(self, moment: Millis) -> None:
        """End the calls on suspect connections, since a newer one answered.

        One silent call may only be slow; several, while a connection opened
        after them works, show that the older connections are lost.

        :param moment: when the newer connection was opened, in milliseconds.
        """
        silent = [
            connection
            for connection in self.open
            if connection.is_suspect and connection.is_silent_since(moment)
        ]
        if len(silent) < _SILENT_CALLS:
            return
        for connection in silent:
            connection.close(ExchangeFault.SILENT)

    def retire(self) -> None:
        """Close idle connections now, and busy ones when their call ends."""
        self.is_retired = True
        self._close_idle(_is_any)

    def note_expiry(self, expiry: Millis) -> None:
        """Learn how long the other end keeps idle connections.

        :param expiry: in milliseconds.
        """
        self.idle_expiry = expiry * _EXPIRY_SHARE

    def _take_idle(self) -> Connection | None:
        oldest = self.clock.now() - self.idle_expiry
        while self.idle:
            connection = self.idle.pop()
            if connection.is_closed:
                continue
            if connection.idle_since >= oldest and connection.is_quiet():
                return connection
            connection.close()
        return None

    def _make_room(self) -> None:
        if self.idle and len(self.open) + self.opening >= self.limit:
            self.idle.pop(0).close()

    async def _connect(self) -> Result[Connection, str]:
        self.opening += 1
        try:
            stream = await _open_stream(self.address)
        except (OSError, TimeoutError) as refused:
            return Error(repr(refused))
        finally:
            self.opening -= 1
        try:
            connection = Connection(stream, self.clock)
        except (AttributeError, OSError):
            # The other end reset it at once: the event loop has let go of the
            # socket, which the library then looks for in vain.
            await anyio.aclose_forcefully(stream)
            return Error('reset while it was opened')
        self.open.add(connection)
        self.tasks.start_soon(connection.run, self._forget)
        return Ok(connection)

    def have_all_broken(self, since: Millis) -> bool:
        """Tell whether the other end has ended all of several connections.

        :param since: when the first of them broke, on the clock, in
            milliseconds.
        """
        if sum(at >= since for at in self.broken_at) < 2:
            return False
        return all(one.opened_at >= since for one in self.open)

    def _forget(self, connection: Connection) -> None:
        if not connection.is_closed_here:
            self.broken_at.append(self.clock.now())
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def _close_idle(self, is_wanted: Callable[[Connection], bool]) -> None:
        kept = []
        for connection in self.idle:
            if is_wanted(connection):
                connection.close()
                continue
            kept.append(connection)
        self.idle = kept


def _is_suspect(connection: Connection) -> bool:
    return connection.is_suspect


def _is_any(_: Connection) -> bool:
    return True


async def _open_stream(address: str) -> SocketStream:
    host, _, port = address.rpartition(':')
    with anyio.fail_after(seconds_of(CONNECT_TIMEOUT)):
        return await anyio.connect_tcp(host.strip('[]'), int(port))
