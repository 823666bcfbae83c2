"""A caller's kept-alive connection, with one call on it at a time.

Callbacks of the event loop take the place of a task for each connection: the
tool shares its machine with what it measures, so a call must cost it little.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeAlias, cast

import httptools
from cowslippond_core import Clock, Millis

_SECOND: Millis = 1000


class ReceivedAnswer(NamedTuple):
    """An answer as it came; ``is_whole`` is false if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


AnswerCallback: TypeAlias = Callable[['CallerConnection', ReceivedAnswer], None]

INCOMPLETE_ANSWER = ReceivedAnswer(0, {}, b'', is_complete=False)
NO_CONNECTION = ReceivedAnswer(-1, {}, b'', is_complete=False)


class CallerConnection(asyncio.Protocol):
    """A connection to a daemon or the balancer.

    ``is_closed`` turns true as soon as the other end closes, so that no call
    is put on a connection that is known to be gone. ``usable_until`` is the
    time, in milliseconds, after which the other end may close it.
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
        """Take the transport of the open connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, chunk: bytes) -> None:
        """Feed the parser of the call that waits; count bytes that no one asked for."""
        if self.callback is None:
            self.stray_bytes += len(chunk)
            self.abort()
            return
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserError:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the call that waits, if any, that its answer broke off."""
        self.is_closed = True
        self._deliver(INCOMPLETE_ANSWER)

    def send(self, request: bytes, callback: AnswerCallback) -> None:
        """Send a request.

        :param request: head and body, as bytes.
        :param finish: is called once, with the answer or what came of it.
        """
        self.callback = callback
        self.headers = {}
        self.parts = []
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(request)

    def is_usable(self) -> bool:
        """Tell whether another call may be put on this connection."""
        return not self.is_closed and self.clock.now() < self.usable_until

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        self.transport.abort()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header by its name in lower case."""
        self.headers[name.decode().lower()] = text.decode()

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Hand the whole answer over."""
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
