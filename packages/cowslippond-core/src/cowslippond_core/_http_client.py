"""HTTP client for the platform, with persistent connections.

The connection pool of ``httpcore`` scans all its requests and connections
whenever a request ends. With many requests in flight that takes milliseconds,
so this module pools connections itself.
"""

from collections.abc import Mapping

import anyio
import httpcore

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._http_calls import MAX_BODY_BYTES

_KEEPALIVE_SECONDS = 5
_CLOSE_SECONDS = 1


class HttpClient:
    """A pool of connections to one server.

    :param url: URL of the server, such as ``http://10.0.0.1:8000``.
    :param max_connections: maximum number of concurrent calls; further calls
        wait.
    :param timeout: maximum duration of a call in milliseconds, including the
        wait for a connection.
    """

    def __init__(self, url: str, max_connections: int, timeout: Millis) -> None:
        self.url = httpcore.URL(url)
        self.host = url.partition('://')[2].partition('/')[0]
        self.timeout = timeout
        self.call_slots = anyio.Semaphore(max_connections)
        self.idle: list[httpcore.AsyncHTTPConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> httpcore.Response:
        """Return the complete answer to a request.

        Exceptions of ``httpcore`` are passed on. A body above
        :data:`MAX_BODY_BYTES` is one.

        :param target: path and query.
        :raises TimeoutError: if the request exceeds the timeout.
        """
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=self.url.scheme,
                host=self.url.host,
                port=self.url.port,
                target=target,
            ),
            headers=[
                ('Host', self.host),
                ('Content-Length', str(len(body or b''))),
                *headers.items(),
            ],
            content=body or b'',
        )
        with anyio.fail_after(seconds_of(self.timeout)):
            async with self.call_slots:
                return await self._send(request)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().aclose()

    async def _send(self, request: httpcore.Request) -> httpcore.Response:
        connection = await self._acquire()
        try:
            response = await _read(
                await connection.handle_async_request(request)
            )
        except BaseException:
            await _discard(connection)
            raise
        if connection.is_idle():
            self.idle.append(connection)
        return response

    async def _acquire(self) -> httpcore.AsyncHTTPConnection:
        while self.idle:
            connection = self.idle.pop()
            if not connection.has_expired():
                return connection
            await _discard(connection)
        return httpcore.AsyncHTTPConnection(
            self.url.origin, keepalive_expiry=_KEEPALIVE_SECONDS
        )


async def _read(response: httpcore.Response) -> httpcore.Response:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        parts.append(part)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise httpcore.RemoteProtocolError('body of the answer too large')
    await response.aclose()
    whole = httpcore.Response(
        response.status, headers=response.headers, content=b''.join(parts)
    )
    await whole.aread()
    return whole


async def _discard(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.move_on_after(_CLOSE_SECONDS, shield=True):
        await connection.aclose()
