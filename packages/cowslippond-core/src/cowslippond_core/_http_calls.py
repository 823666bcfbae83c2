"""A minimal HTTP client for one server.

It uses the connection pool of the sending path in place of ``httpcore``, whose
import takes as much memory as the whole sending path.
"""

import contextlib
import math
from collections.abc import Mapping
from typing import NamedTuple

import anyio
from expression import Error, Ok, Result

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._connection import Connection
from cowslippond_core._connections import Connections
from cowslippond_core._exchange import Exchange, ExchangeFault
from cowslippond_core._messages import HeaderList

#: The largest answer that is read whole. Pages of the store have up to 1 MB.
MAX_BODY_BYTES = 8_388_608


class HttpAnswer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes
    headers: HeaderList = ()


class HttpCalls:
    """Makes HTTP calls to one server.

    :param connections: the connection pool for the server.
    """

    def __init__(self, connections: Connections) -> None:
        self.connections = connections

    async def call(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: Millis,
    ) -> Result[HttpAnswer, str]:
        """Return the answer, or an error message.

        :param target: path and query.
        :param timeout: maximum wait for the complete answer, in milliseconds.
        """
        with anyio.move_on_after(seconds_of(timeout)):
            acquired = await self.connections.acquire(is_fresh=False)
            if acquired.is_error():
                return Error(acquired.error)
            head = self._encode_head(method, target, headers, len(body))
            return await _exchange(self.connections, acquired.ok, head + body)
        return Error('timed out waiting for the answer')

    def _encode_head(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        length: int,
    ) -> bytes:
        sent = {
            'host': self.connections.address,
            'content-length': str(length),
            **headers,
        }
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in sent.items())
        return '\r\n'.join([*lines, '', '']).encode()


async def _exchange(
    connections: Connections, connection: Connection, sent: bytes
) -> Result[HttpAnswer, str]:
    exchange = Exchange(is_head=False)
    connection.begin_call(exchange)
    with contextlib.ExitStack() as at_end:
        at_end.callback(connections.end_call, connection)
        await connection.send(sent)
        body = await read_body(exchange, MAX_BODY_BYTES)
    if exchange.fault is not None:
        return Error(exchange.fault.value)
    return Ok(HttpAnswer(exchange.status, body, tuple(exchange.headers)))


async def read_body(exchange: Exchange, max_bytes: float = math.inf) -> bytes:
    """Return the body of an answer, or the part received before a fault.

    :param max_bytes: a larger body is a fault.
    """
    await exchange.wait_head()
    parts: list[bytes] = []
    size = 0
    while size <= max_bytes:
        part = await exchange.next_chunk()
        if not part:
            return b''.join(parts)
        parts.append(part)
        size += len(part)
    exchange.record_fault(ExchangeFault.TOO_LARGE)
    return b''
