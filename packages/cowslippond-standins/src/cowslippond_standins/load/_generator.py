"""Send a plan's calls at their intended starts, whatever the answers do."""

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
    BROKEN_OFF,
    NO_CONNECTION,
    CallerConnection,
    WholeAnswer,
)
from cowslippond_standins.load._plan import PlannedCall
from cowslippond_standins.load._report import Report, Told, judge
from cowslippond_standins.load._request import encode_request

_PATIENCE: Millis = 30_000
_SWEEP_INTERVAL: Millis = 100


class Waiting(NamedTuple):
    """A call that waits for its answer."""

    call: PlannedCall
    intended: Millis
    address: Address


class ConnectionPool:
    """The kept-alive connections of the callers, by address."""

    def __init__(self, clock: Clock, seed: int) -> None:
        self.clock = clock
        self.draw = random.Random(seed)
        self.idle: dict[Address, list[CallerConnection]] = {}
        self.opened: list[CallerConnection] = []

    def take(self, address: Address) -> CallerConnection | None:
        """Return an idle connection, chosen at random, or ``None``."""
        idle = self.idle.setdefault(address, [])
        while idle:
            connection = idle.pop(self.draw.randrange(len(idle)))
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    async def open(self, address: Address) -> CallerConnection:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            functools.partial(CallerConnection, self.clock), *address
        )
        self.opened.append(connection)
        return connection

    def give_back(self, address: Address, used: CallerConnection) -> None:
        """Keep a connection for another call."""
        if used.is_usable():
            self.idle.setdefault(address, []).append(used)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.opened:
            connection.abort()


class LoadGenerator:
    """Run a plan against one or several addresses.

    A call goes to the addresses in turn; the repeat of an order goes to the
    one after that of its first sending.

    :param patience: longest wait of a caller, in milliseconds.
    """

    def __init__(
        self,
        targets: Sequence[Address],
        seed: int,
        patience: Millis = _PATIENCE,
    ) -> None:
        self.clock = Clock()
        self.targets = targets
        self.patience = patience
        self.report = Report()
        self.pool = ConnectionPool(self.clock, seed)
        self.sent_via: dict[str, int] = {}
        self.waiting: dict[CallerConnection, Waiting] = {}
        self.left = 0
        self.all_told = anyio.Event()

    async def run(self, calls: Sequence[PlannedCall]) -> Report:
        """Send all calls and return what the callers were told."""
        self.left = len(calls)
        requests = [encode_request(call) for call in calls]
        async with anyio.create_task_group() as group:
            group.start_soon(self._sweep)
            await self._send_all(group, calls, requests)
            if calls:
                await self.all_told.wait()
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
            intended = start + call.at
            wait = intended - self.clock.now()
            if wait > 0:
                await self.clock.sleep(wait)
            self.report.late_starts.append(self.clock.now() - intended)
            waiting = Waiting(call, intended, self._choose(call, turn))
            connection = self.pool.take(waiting.address)
            if connection is None:
                group.start_soon(self._open, waiting, requests[turn])
            else:
                self._send(connection, waiting, requests[turn])

    async def _open(self, waiting: Waiting, request: bytes) -> None:
        try:
            connection = await self.pool.open(waiting.address)
        except OSError:
            self._tell(waiting, NO_CONNECTION)
            return
        self._send(connection, waiting, request)

    def _send(
        self, connection: CallerConnection, waiting: Waiting, request: bytes
    ) -> None:
        self.waiting[connection] = waiting
        connection.send(request, self._finish)

    def _finish(
        self, connection: CallerConnection, answer: WholeAnswer
    ) -> None:
        waiting = self.waiting.pop(connection, None)
        if waiting is None:
            return
        self.pool.give_back(waiting.address, connection)
        self._tell(waiting, answer)

    def _tell(
        self, waiting: Waiting, answer: WholeAnswer, outcome: str = ''
    ) -> None:
        told = Told(
            call=waiting.call,
            outcome=outcome or judge(waiting.call, answer),
            reason=answer.headers.get(headers.REASON, ''),
            request_id=answer.headers.get(headers.REQUEST_ID, ''),
            took=self.clock.now() - waiting.intended,
            ended=self.clock.now(),
            via=str(waiting.address),
        )
        self.report.add(told)
        self.left -= 1
        if self.left == 0:
            self.all_told.set()

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep(_SWEEP_INTERVAL)
            oldest = self.clock.now() - self.patience
            for connection, waiting in list(self.waiting.items()):
                if waiting.intended > oldest:
                    continue
                self.waiting.pop(connection)
                connection.abort()
                self._tell(waiting, BROKEN_OFF, _outcomes.TIMED_OUT)

    def _choose(self, call: PlannedCall, turn: int) -> Address:
        if call.is_repeat:
            turn = self.sent_via.get(call.key, turn) + 1
        elif call.key:
            self.sent_via[call.key] = turn
        return self.targets[turn % len(self.targets)]
