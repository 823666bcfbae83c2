"""Open-loop generator: sends calls on schedule, regardless of answers."""

import asyncio
import functools
import random
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Millis
from cowslippond_core import _headers as headers

from cowslippond_standins._address import Address
from cowslippond_standins.load import _outcomes
from cowslippond_standins.load._connection import (
    INCOMPLETE_ANSWER,
    NO_CONNECTION,
    CallerConnection,
    ReceivedAnswer,
)
from cowslippond_standins.load._plan import PlannedCall
from cowslippond_standins.load._report import (
    CallRecord,
    Report,
    classify_answer,
)
from cowslippond_standins.load._request import encode_request

_CALL_TIMEOUT: Millis = 30_000
_TIMEOUT_CHECK_INTERVAL: Millis = 100


class PendingCall(NamedTuple):
    """A call that has not been answered yet."""

    call: PlannedCall
    intended_start: Millis
    address: Address


class ConnectionPool:
    """Persistent connections of the callers, by address."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.idle: dict[Address, list[CallerConnection]] = {}
        self.opened: list[CallerConnection] = []

    def acquire(self, address: Address) -> CallerConnection | None:
        """Return a random idle connection, or ``None`` if there is none."""
        idle = self.idle.setdefault(address, [])
        while idle:
            connection = idle.pop(self.rng.randrange(len(idle)))
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    async def open(self, address: Address) -> CallerConnection:
        """Open a new connection."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            functools.partial(CallerConnection, self.clock), *address
        )
        self.opened.append(connection)
        return connection

    def release(self, address: Address, connection: CallerConnection) -> None:
        """Return a connection to the pool if it can be reused."""
        if connection.is_usable():
            self.idle.setdefault(address, []).append(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.opened:
            connection.abort()


class LoadGenerator:
    """Sends planned calls to one or more addresses.

    Calls are distributed round-robin. The repeat of an order is sent to the
    address after the one that its first attempt was sent to.

    :param timeout: time in milliseconds after which a caller gives up.
    """

    def __init__(
        self,
        targets: Sequence[Address],
        seed: int,
        timeout: Millis = _CALL_TIMEOUT,
    ) -> None:
        self.clock = Clock()
        self.targets = targets
        self.timeout = timeout
        self.report = Report()
        self.pool = ConnectionPool(self.clock, seed)
        self.order_turns: dict[str, int] = {}
        self.pending: dict[CallerConnection, PendingCall] = {}
        self.remaining = 0
        self.all_finished = anyio.Event()

    async def run(self, calls: Sequence[PlannedCall]) -> Report:
        """Send all calls and return a report of their outcomes."""
        self.remaining = len(calls)
        requests = [encode_request(call) for call in calls]
        async with anyio.create_task_group() as group:
            group.start_soon(self._time_out_calls)
            await self._send_all(group, calls, requests)
            if calls:
                await self.all_finished.wait()
            group.cancel_scope.cancel()
        self.pool.close()
        self.report.connections = len(self.pool.opened)
        self.report.stray_bytes = sum(
            connection.stray_bytes for connection in self.pool.opened
        )
        return self.report

    async def _send_all(
        self,
        group: TaskGroup,
        calls: Sequence[PlannedCall],
        requests: Sequence[bytes],
    ) -> None:
        start = self.clock.now()
        for turn, call in enumerate(calls):
            intended_start = start + call.at
            wait = intended_start - self.clock.now()
            if wait > 0:
                await self.clock.sleep(wait)
            self.report.late_starts.append(self.clock.now() - intended_start)
            pending = PendingCall(
                call, intended_start, self._choose_target(call, turn)
            )
            connection = self.pool.acquire(pending.address)
            if connection is None:
                group.start_soon(self._open, pending, requests[turn])
            else:
                self._send(connection, pending, requests[turn])

    async def _open(self, pending: PendingCall, request: bytes) -> None:
        try:
            connection = await self.pool.open(pending.address)
        except OSError:
            self._record(pending, NO_CONNECTION)
            return
        self._send(connection, pending, request)

    def _send(
        self, connection: CallerConnection, pending: PendingCall, request: bytes
    ) -> None:
        self.pending[connection] = pending
        connection.send(request, self._on_answer)

    def _on_answer(
        self, connection: CallerConnection, answer: ReceivedAnswer
    ) -> None:
        pending = self.pending.pop(connection, None)
        if pending is None:
            return
        self.pool.release(pending.address, connection)
        self._record(pending, answer)

    def _record(
        self, pending: PendingCall, answer: ReceivedAnswer, outcome: str = ''
    ) -> None:
        record = CallRecord(
            call=pending.call,
            outcome=outcome or classify_answer(pending.call, answer),
            reason=answer.headers.get(headers.REASON, ''),
            request_id=answer.headers.get(headers.REQUEST_ID, ''),
            elapsed=self.clock.now() - pending.intended_start,
            ended=self.clock.now(),
            via=str(pending.address),
        )
        self.report.add(record)
        self.remaining -= 1
        if self.remaining == 0:
            self.all_finished.set()

    async def _time_out_calls(self) -> None:
        while True:
            await self.clock.sleep(_TIMEOUT_CHECK_INTERVAL)
            cutoff = self.clock.now() - self.timeout
            for connection, pending in list(self.pending.items()):
                if pending.intended_start > cutoff:
                    continue
                self.pending.pop(connection)
                connection.abort()
                self._record(pending, INCOMPLETE_ANSWER, _outcomes.TIMED_OUT)

    def _choose_target(self, call: PlannedCall, turn: int) -> Address:
        if call.is_repeat:
            turn = self.order_turns.get(call.key, turn) + 1
        elif call.key:
            self.order_turns[call.key] = turn
        return self.targets[turn % len(self.targets)]
