"""Persistent connection of a caller, with one call at a time.

It uses callbacks of the event loop instead of a task per connection. The load
generator shares its machine with the system under test, so the overhead per
call must be low.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, cast

import httptools
from cowslippond_core import Clock, Millis

_SECOND: Millis = 1000


class ReceivedAnswer(NamedTuple):
    """An answer as the caller received it.

    ``is_complete`` is false if the connection closed before the end of the
    answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


AnswerCallback: TypeAlias = Callable[['CallerConnection', ReceivedAnswer], None]

INCOMPLETE_ANSWER = ReceivedAnswer(0, {}, b'', is_complete=False)
NO_CONNECTION = ReceivedAnswer(-1, {}, b'', is_complete=False)


class CallerConnection(asyncio.Protocol):
    """A connection to a daemon or the balancer.

    ``is_closed`` is set as soon as the other side closes the connection, so
    that no further call is sent on it. ``usable_until`` is the time, in
    milliseconds, after which the other side may close it. ``stray_bytes``
    counts the bytes received while no call was in progress.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_closed = False
        self.usable_until = float('inf')
        self.stray_bytes = 0
        self.callback: AnswerCallback | None = None
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)
        self.transport = asyncio.Transport()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, chunk: bytes) -> None:
        """Parse the answer of the pending call.

        Bytes received without a pending call are counted, and the connection
        is aborted.
        """
        if self.callback is None:
            self.stray_bytes += len(chunk)
            self.abort()
            return
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending call, if any, with an incomplete answer."""
        self.is_closed = True
        self._deliver(INCOMPLETE_ANSWER)

    def send(self, request: bytes, callback: AnswerCallback) -> None:
        """Send a request.

        :param request: encoded head and body.
        :param callback: called once, with the answer or
            :data:`INCOMPLETE_ANSWER`.
        """
        self.callback = callback
        self.headers = {}
        self.parts = []
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(request)

    def is_usable(self) -> bool:
        """Return whether another call may be sent on this connection."""
        return not self.is_closed and self.clock.now() < self.usable_until

    def abort(self) -> None:
        """Close the connection without flushing buffered bytes."""
        self.is_closed = True
        self.transport.abort()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.decode().lower()] = text.decode()

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Pass the complete answer to the callback of the call."""
        if not self.parser.should_keep_alive():
            self.is_closed = True
        self.usable_until = self._keep_alive_deadline()
        self._deliver(
            ReceivedAnswer(
                self.parser.get_status_code(),
                self.headers,
                b''.join(self.parts),
                is_complete=True,
            )
        )
        if self.is_closed:
            self.transport.close()

    def _deliver(self, answer: ReceivedAnswer) -> None:
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback(self, answer)

    def _keep_alive_deadline(self) -> Millis:
        keep_alive = self.headers.get('keep-alive')
        if keep_alive is None:
            return float('inf')
        for parameter in keep_alive.split(','):
            name, _, seconds = parameter.strip().partition('=')
            if name == 'timeout':
                return self.clock.now() + float(seconds) * _SECOND
        return float('inf')
