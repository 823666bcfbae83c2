"""A caller that sends large bodies at a given speed."""

import hashlib
import random
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketStream
from cowslippond_core import Clock, Millis

from cowslippond_standins._address import Address
from cowslippond_standins.fleet._deployment import route

_PART_BYTES = 16_384
_FIRST_FAILURE = 300
_MILLIS_PER_SECOND = 1000
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Upload(NamedTuple):
    """A call with a body to send.

    The body has ``size`` random bytes, drawn with the request ID as the seed.
    ``bytes_per_second`` limits the speed, and 0 is no limit. Only the first
    ``sent_bytes`` are sent if that is set. ``headers`` are added to the usual
    ones.
    """

    request_id: str
    size: int
    path: str = '/files/1'
    is_chunked: bool = False
    bytes_per_second: float = 0
    sent_bytes: int | None = None
    headers: tuple[str, ...] = ()

    @property
    def body(self) -> bytes:
        """The whole body."""
        return random.Random(self.request_id).randbytes(self.size)

    @property
    def digest(self) -> str:
        """The digest of the whole body."""
        return hashlib.sha256(self.body).hexdigest()

    def head(self) -> bytes:
        """Return the request line and headers."""
        framing = f'content-length: {self.size}'
        if self.is_chunked:
            framing = 'transfer-encoding: chunked'
        lines = (
            f'POST {self.path} HTTP/1.1',
            'host: shop.example',
            f'x-request-id: {self.request_id}',
            framing,
            *self.headers,
        )
        return '\r\n'.join((*lines, '', '')).encode()


class UploadResponse(NamedTuple):
    """All bytes that the daemon sent, split at the end of the headers.

    ``is_closed`` tells whether the daemon closed the connection, ``is_reset``
    whether it did so with a reset, and ``duration`` how long that took.
    """

    status: int
    head: str
    body: bytes
    is_closed: bool
    is_reset: bool
    duration: Millis


class UploadCaller:
    """One connection to a daemon, over which an upload is sent.

    :param stream: the open connection.
    """

    def __init__(self, stream: SocketStream, clock: Clock) -> None:
        self.stream = stream
        self.clock = clock
        self.received = b''
        self.is_closed = False
        self.is_reset = False
        self.has_sent_all = False

    async def send(self, upload: Upload) -> None:
        """Send the headers and the body, as far as the daemon reads it."""
        try:
            await self.stream.send(upload.head())
            await self.send_body(upload)
        except _CONNECTION_ERRORS:
            return

    async def send_body(self, upload: Upload) -> None:
        """Send the body."""
        body = upload.body
        end = upload.size if upload.sent_bytes is None else upload.sent_bytes
        for start in range(0, end, _PART_BYTES):
            part = body[start : min(start + _PART_BYTES, end)]
            if upload.bytes_per_second:
                span = len(part) / upload.bytes_per_second
                await self.clock.sleep(span * _MILLIS_PER_SECOND)
            if upload.is_chunked:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            await self.stream.send(part)
        if upload.sent_bytes is None:
            if upload.is_chunked:
                await self.stream.send(b'0\r\n\r\n')
            self.has_sent_all = True

    async def read(self) -> None:
        """Read a response, until it is complete or the connection closes."""
        while not _is_complete(self.received):
            try:
                self.received += await self.stream.receive()
            except anyio.EndOfStream:
                self.is_closed = True
                return
            except _CONNECTION_ERRORS:
                self.is_closed = True
                self.is_reset = True
                return


async def send_upload(
    address: Address, upload: Upload, clock: Clock, patience: Millis = 20_000
) -> UploadResponse:
    """Send an upload over a new connection and return the response to it.

    :param patience: how long to wait for the response.
    """
    started_at = clock.now()
    async with await anyio.connect_tcp(*address) as stream:
        caller = UploadCaller(stream, clock)
        with anyio.move_on_after(patience / _MILLIS_PER_SECOND):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(caller.send, upload)
                await caller.read()
                if (
                    _status(caller.received) >= _FIRST_FAILURE
                    or caller.is_closed
                ):
                    tasks.cancel_scope.cancel()
    head, _, body = caller.received.rpartition(b'\r\n\r\n')
    return UploadResponse(
        _status(caller.received),
        head.decode('latin-1'),
        body,
        caller.is_closed,
        caller.is_reset,
        clock.now() - started_at,
    )


def upload_route(
    service: str, prefix: str = '/files/', timeout: Millis = 0
) -> dict[str, Any]:
    """Return a route for uploads, without a timeout unless one is given."""
    entry = route(service, prefix=prefix, timeout=timeout)
    entry['kind'] = 'upload'
    if not timeout:
        entry.pop('timeout_ms')
    return entry


def _without_interim(received: bytes) -> bytes:
    while received.startswith(b'HTTP/1.1 1'):
        _, _, received = received.partition(b'\r\n\r\n')
    return received


def _status(received: bytes) -> int:
    final = _without_interim(received)
    return int(final.split(b' ')[1]) if final.count(b' ') > 1 else 0


def _is_complete(received: bytes) -> bool:
    head, separator, body = _without_interim(received).partition(b'\r\n\r\n')
    if not separator:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.split(b':')[1])
    return body.endswith(b'0\r\n\r\n')
