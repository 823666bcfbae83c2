"""A caller that records the result of every request."""

import contextlib
import enum
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Connections, Millis
from cowslippond_core._exchange import Exchange
from cowslippond_core._http_calls import read_body

from cowslippond_standins._address import Address
from cowslippond_standins.fleet._backend import expected_body, signature

_FIRST_SUCCESS = 200
_FIRST_FAILURE = 300
_MAX_CONNECTIONS = 64

# Callers of the platform allow this long for a new connection.
_CONNECT_TIMEOUT: Millis = 1000
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

# The time of a call is measured in slices. A slice that takes longer than this
# counts as if it had taken this long: the event loop was held up, and with it
# the back ends and the store, so that no daemon could have answered.
_SLICE: Millis = 20
_MAX_SLICE: Millis = 50


class Verdict(enum.StrEnum):
    """Classification of a request's result from the caller's side."""

    GOOD = 'good'
    WRONG = 'wrong'
    NOT_RUN = 'not run'
    FAILED = 'failed'
    CLOSED = 'closed'
    SILENT = 'silent'


class CallResult(NamedTuple):
    """The result of one request.

    ``sent_at`` is a time on the clock, and ``duration`` the time until the
    request ended.
    """

    request_id: str
    method: str
    path: str
    node: str
    verdict: Verdict
    status: int
    sent_at: Millis
    duration: Millis


class _CallTime:
    """Measures the time of one call, without hold-ups of this process."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.past_slices: Millis = 0
        self.slice_started_at = clock.now()

    def spent(self) -> Millis:
        """Return the time since the start."""
        slice_time = self.clock.now() - self.slice_started_at
        return self.past_slices + min(slice_time, _MAX_SLICE)

    async def wait(self, deadline: Millis) -> None:
        """Wait until this time is spent."""
        while self.past_slices < deadline:
            left = deadline - self.past_slices
            await self.clock.sleep(min(left, _SLICE))
            self.past_slices = self.spent()
            self.slice_started_at = self.clock.now()


class Caller:
    """Sends requests to one daemon over a pool of persistent connections.

    :param node: name of the daemon.
    :param address: address on which the daemon accepts callers.
    :param key: key of a workspace that is sent with each request.
    """

    def __init__(
        self,
        node: str,
        address: Address,
        tasks: TaskGroup,
        clock: Clock,
        key: str | None = None,
    ) -> None:
        self.node = node
        self.key = key
        self.clock = clock
        self.connections = Connections(
            str(address), tasks, clock, _MAX_CONNECTIONS, _CONNECT_TIMEOUT
        )
        self.call_results: list[CallResult] = []

    async def send_request(
        self,
        request_id: str,
        path: str,
        *,
        method: str = 'GET',
        host: str = 'shop.example',
        deadline: Millis = 2000,
        is_fresh: bool = False,
        headers: Sequence[str] = (),
    ) -> CallResult:
        """Send a request and record its result.

        :param deadline: duration after which the request is given up, without
            the time in which this process was held up.
        :param is_fresh: whether to use a new connection.
        :param headers: lines to add to the request, besides that of the key.
        """
        lines = list(headers)
        if self.key is not None:
            lines.append(f'authorization: Token {self.key}')
        extra = ''.join(f'{line}\r\n' for line in lines)
        sent_at = self.clock.now()
        call_time = _CallTime(self.clock)
        exchange = Exchange(is_head=False)
        body: bytes | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_after, call_time, deadline, tasks.cancel_scope
            )
            body = await self._exchange(
                exchange,
                (
                    f'{method} {path} HTTP/1.1\r\nhost: {host}\r\n'
                    f'x-request-id: {request_id}\r\n'
                    f'x-deadline-ms: {int(deadline)}\r\n{extra}'
                    'content-length: 0\r\n\r\n'
                ).encode(),
                is_fresh=is_fresh,
            )
            tasks.cancel_scope.cancel()
        verdict = Verdict.SILENT
        if body is not None and call_time.spent() < deadline:
            verdict = self._classify(exchange, body, request_id, path)
        call_result = CallResult(
            request_id,
            method,
            path,
            self.node,
            verdict,
            exchange.status,
            sent_at,
            self.clock.now() - sent_at,
        )
        self.call_results.append(call_result)
        return call_result

    async def _exchange(
        self, exchange: Exchange, head: bytes, *, is_fresh: bool
    ) -> bytes:
        acquired = await self.connections.acquire(is_fresh=is_fresh)
        if acquired.is_error():
            return b''
        connection = acquired.ok
        connection.begin_call(exchange)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.connections.end_call, connection)
            await connection.send(head)
            return await read_body(exchange)

    def _classify(
        self, exchange: Exchange, body: bytes, request_id: str, path: str
    ) -> Verdict:
        if not exchange.is_complete:
            return Verdict.CLOSED
        if exchange.status in _NOT_RUN_STATUSES:
            return Verdict.NOT_RUN
        if not _FIRST_SUCCESS <= exchange.status < _FIRST_FAILURE:
            return Verdict.FAILED
        headers = dict(exchange.headers)
        is_expected = (
            body == expected_body(request_id, path)
            and headers.get(b'x-response-signature') == signature(body)
            and headers.get(b'x-request-id') == request_id.encode()
        )
        return Verdict.GOOD if is_expected else Verdict.WRONG


async def _cancel_after(
    call_time: _CallTime, deadline: Millis, scope: anyio.CancelScope
) -> None:
    """Cancel a call when it has taken as long as its deadline allows."""
    await call_time.wait(deadline)
    scope.cancel()
