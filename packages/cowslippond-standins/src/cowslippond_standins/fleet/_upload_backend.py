"""A stand-in back end that reads large bodies in parts and checks them."""

import contextlib
import hashlib
import socket
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import SocketStream
from cowslippond_core import Clock, Millis

from cowslippond_standins import _stream
from cowslippond_standins.fleet._backend import signature

_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_READ_BYTES = 16_384
_RECEIVE_BUFFER_BYTES = 131_072
_MILLIS_PER_SECOND = 1000
_HEALTH_PATH = b'/healthz'
_SLOTS = 64


class Received(NamedTuple):
    """A call as the back end has seen it.

    ``length`` and ``digest`` are those of the bytes of the body that arrived,
    and ``is_complete`` tells whether its end has.
    """

    request_id: str
    length: int
    digest: str
    is_complete: bool


class UploadBehaviour:
    """How the back end treats bodies.

    ``bytes_per_second`` limits how fast it reads, and 0 is no limit. After
    ``early_after`` bytes it answers with ``early_status``, and continues to
    read if ``continues``. After ``reset_after`` bytes it resets the connection.
    It promises not to run a call if ``refuses``, before it reads the body, and
    takes ``work`` milliseconds for each complete call.
    """

    def __init__(self) -> None:
        self.bytes_per_second: float = 0
        self.early_after: int | None = None
        self.early_status = 200
        self.continues = True
        self.reset_after: int | None = None
        self.refuses = False
        self.work: Millis = 0


class _BodyParser:
    """Collects one call from the callbacks of its parser."""

    def __init__(self) -> None:
        self.path = b''
        self.headers: dict[bytes, bytes] = {}
        self.has_head = False
        self.is_complete = False
        self.length = 0
        self.digest = hashlib.sha256()
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, text: bytes) -> None:
        self.headers[name.lower()] = text

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        self.length += len(body)
        self.digest.update(body)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def received(self) -> Received:
        """Return what has arrived of the call."""
        return Received(
            self.headers.get(b'x-request-id', b'').decode(),
            self.length,
            self.digest.hexdigest(),
            self.is_complete,
        )


class UploadBackend:
    """A back end that records every call, complete or not.

    ``received`` holds the calls that have ended, and ``open`` the number of
    calls under way.

    :param name: id under which the back end is listed in the store.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.slots = _SLOTS
        self.port = 0
        self.behaviour = UploadBehaviour()
        self.received: list[Received] = []
        self.open = 0
        self.strays: list[str] = []
        self.scope = anyio.CancelScope()

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections until :meth:`kill` is called."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        # The system would otherwise take a whole body for a slow back end.
        listener.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        with self.scope:
            async with listener:
                task_status.started()
                await listener.serve(self._serve_connection)

    def kill(self) -> None:
        """Stop at once and abort all connections."""
        self.scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            try:
                while await self._serve_call(stream):
                    await anyio.lowlevel.checkpoint()
            except httptools.HttpParserError as error:
                self.strays.append(str(error))
            except _CONNECTION_ERRORS:
                return

    async def _serve_call(self, stream: SocketStream) -> bool:
        call = _BodyParser()
        while not call.has_head:
            call.parser.feed_data(await stream.receive(_READ_BYTES))
        if call.path == _HEALTH_PATH:
            await stream.send(self._encode(b'200 OK', b'', b''))
            return True
        self.open += 1
        with contextlib.ExitStack() as at_end:
            at_end.callback(self._record, call)
            return await self._serve_upload(call, stream)

    def _record(self, call: _BodyParser) -> None:
        self.open -= 1
        self.received.append(call.received())

    async def _serve_upload(
        self, call: _BodyParser, stream: SocketStream
    ) -> bool:
        behaviour = self.behaviour
        request_id = call.headers.get(b'x-request-id', b'')
        if behaviour.refuses:
            head = self._encode(b'503 Full', b'', request_id)
            await stream.send(
                head.replace(b'\r\n', b'\r\nx-not-executed: 1\r\n', 1)
            )
            return call.is_complete
        has_answered = False
        while not call.is_complete:
            if not has_answered and _is_due(behaviour.early_after, call):
                has_answered = True
                await self._answer(stream, request_id, call)
                if not behaviour.continues:
                    await anyio.sleep_forever()
            if _is_due(behaviour.reset_after, call):
                await _stream.reset(stream)
                return False
            part = await stream.receive(_READ_BYTES)
            await self._pace(len(part))
            call.parser.feed_data(part)
        await self.clock.sleep(behaviour.work)
        if not has_answered:
            await self._answer(stream, request_id, call)
        return True

    async def _pace(self, size: int) -> None:
        speed = self.behaviour.bytes_per_second
        if speed:
            await self.clock.sleep(size / speed * _MILLIS_PER_SECOND)

    async def _answer(
        self, stream: SocketStream, request_id: bytes, call: _BodyParser
    ) -> None:
        status = b'%d Answer' % self.behaviour.early_status
        text = call.digest.hexdigest().encode()
        await stream.send(self._encode(status, text, request_id))

    def _encode(self, status: bytes, body: bytes, request_id: bytes) -> bytes:
        lines = [
            b'HTTP/1.1 %b' % status,
            b'x-instance-id: %b' % self.name.encode(),
            b'x-backend-load: %d,0,%d,100' % (self.open, self.slots),
            b'content-length: %d' % len(body),
        ]
        if request_id:
            lines.append(b'x-request-id: %b' % request_id)
            lines.append(b'x-response-signature: %b' % signature(body))
        return b'\r\n'.join([*lines, b'', body])


def _is_due(after: int | None, call: _BodyParser) -> bool:
    return after is not None and call.length >= after
