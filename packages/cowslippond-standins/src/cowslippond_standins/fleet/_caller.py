"""A caller that records the result of every request."""

import contextlib
import enum
from collections.abc import Sequence
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock, Connections, Millis, seconds_of
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

        :param deadline: duration after which the request is given up.
        :param is_fresh: whether to use a new connection.
        :param headers: lines to add to the request, besides that of the key.
        """
        lines = list(headers)
        if self.key is not None:
            lines.append(f'authorization: Token {self.key}')
        extra = ''.join(f'{line}\r\n' for line in lines)
        sent_at = self.clock.now()
        exchange = Exchange(is_head=False)
        body = b''
        with anyio.move_on_after(seconds_of(deadline)):
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
        verdict = self._classify(exchange, body, request_id, path)
        if self.clock.now() - sent_at >= deadline:
            verdict = Verdict.SILENT
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
