"""Reads the body of a call, within the limits on size and time."""

import math
from collections.abc import Callable
from typing import NamedTuple

import anyio
from cowslippond_core import Millis, RefusalReason, seconds_of

from cowslippond_daemon._incoming_call import IncomingCall, Receive

#: Bodies up to this size are buffered in full, so that a call can be resent.
MAX_BUFFERED_BODY_BYTES = 65536


class BodyLimits(NamedTuple):
    """The limits on the body of a call.

    ``size`` is in bytes. ``silence`` is how long a caller may send nothing in
    the middle of a body, in milliseconds.
    """

    size: float = math.inf
    silence: Millis = math.inf


class BrokenBodyError(Exception):
    """The rest of a body will not be read.

    :param reason: why the call is refused, or ``None`` if the caller closed its
        connection.
    """

    def __init__(self, reason: RefusalReason | None) -> None:
        super().__init__(reason.value if reason else 'caller disconnected')
        self.reason = reason


class BodyReader:
    """Reads the body of one call from the server.

    ``is_complete`` is set once the whole body has been read, and ``error`` once
    the rest of it will not be read.

    :param receive: the server's interface.
    :param length: the length of the body in bytes, or ``None`` if it is chunked.
    :param limits: the limits on the body.
    :param is_closed: tells whether the caller has closed its connection.
    """

    def __init__(
        self,
        receive: Receive,
        length: int | None,
        limits: BodyLimits,
        is_closed: Callable[[], bool],
    ) -> None:
        self.receive = receive
        self.length = length
        self.limits = limits
        self.is_closed = is_closed
        self.received_bytes = 0
        self.is_complete = False
        self.error: BrokenBodyError | None = None

    async def read(self) -> bytes:
        """Return the next part of the body.

        :raises BrokenBodyError: if there will be none.
        """
        if self.length == 0:
            return await self._receive()
        with anyio.move_on_after(seconds_of(self.limits.silence)):
            return await self._receive()
        raise self.fail(RefusalReason.BODY_TIMEOUT)

    async def _receive(self) -> bytes:
        message = await self.receive()
        if message['type'] == 'http.disconnect':
            raise self.fail(None)
        part: bytes = message.get('body', b'')
        self.received_bytes += len(part)
        if self.received_bytes > self.limits.size:
            raise self.fail(RefusalReason.BODY_TOO_LARGE)
        self.is_complete = not message.get('more_body', False)
        return part

    def fail(self, reason: RefusalReason | None) -> BrokenBodyError:
        """Record that the rest of the body will not be read."""
        self.error = BrokenBodyError(reason)
        return self.error


class BodyRest:
    """Iterates over the part of a body that is not buffered.

    ``is_started`` is set once a part has been taken. ``ended`` is set once the
    body is complete or broken, or nobody wants the rest of it. ``on_broken`` is
    called if the body breaks.

    :param reader: reads the body.
    :param first_part: the part of it that was read already.
    """

    def __init__(self, reader: BodyReader, first_part: bytes) -> None:
        self.reader = reader
        self.first_part = first_part
        self.on_broken: Callable[[], None] = _ignore
        self.is_started = False
        self.ended = anyio.Event()

    def __aiter__(self) -> 'BodyRest':
        """Return this iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part.

        :raises BrokenBodyError: if the body will not be complete.
        """
        if not self.is_started:
            self.is_started = True
            first_part = self.first_part
            self.first_part = b''
            return first_part
        if self.reader.is_complete:
            self.ended.set()
            raise StopAsyncIteration
        if self.ended.is_set():
            # The end of the iteration would pass for the end of the body.
            raise BrokenBodyError(None)
        try:
            return await self.reader.read()
        except BrokenBodyError:
            self.ended.set()
            self.on_broken()
            raise

    async def aclose(self) -> None:
        """Discard the rest of the body."""
        self.ended.set()


def _ignore() -> None:
    """Do nothing; nobody has started to read the body."""


async def read_body(call: IncomingCall, reader: BodyReader) -> IncomingCall:
    """Return a call with the start of its body, and its rest if it is large.

    :raises BrokenBodyError: if the body breaks before that.
    """
    buffer = bytearray()
    while not reader.is_complete and len(buffer) <= MAX_BUFFERED_BODY_BYTES:
        buffer += await reader.read()
    if not buffer:
        return call
    # Always split the body at the same offset, whatever the chunk sizes, so
    # that repeats of a call have the same fingerprint.
    remainder = bytes(buffer[MAX_BUFFERED_BODY_BYTES:])
    return call._replace(
        body=bytes(buffer[:MAX_BUFFERED_BODY_BYTES]),
        rest=BodyRest(reader, remainder) if remainder else None,
    )
