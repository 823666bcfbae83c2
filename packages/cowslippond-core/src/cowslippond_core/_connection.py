"""A connection to an upstream, with a dedicated reading task."""

import contextlib
import logging
import select
import socket
from collections.abc import AsyncGenerator, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._exchange import (
    Exchange,
    ExchangeFault,
    has_ended_connection,
)
from cowslippond_core._framing import encode_chunk

_logger = logging.getLogger(__name__)

_READ_SIZE = 65536
_FIRST_FAILURE_STATUS = 300

# Enough for 5 Mbit/s at a round trip of 200 ms. Several dozen connections would
# otherwise take up to 4 MB each.
_SEND_BUFFER_BYTES = 131_072

# uvloop reads up to 32 times 256 KB in a row before the reading task can pause it.
# A fast upstream fills all of that unless the system holds less for it.
_RECEIVE_BUFFER_BYTES = 131_072

# An upstream that takes no bytes of a body for this long is given up. At 48
# uploads over 5 Mbit/s, the buffer of a socket takes 64 KB in about 5 s.
_SEND_SILENCE_TIMEOUT: Millis = 30_000
_CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Connection:
    """A connection that carries one call at a time.

    The reading task also runs between calls, so that unexpected bytes or an
    end of stream on an idle connection close it.

    :param stream: the open stream.
    :param clock: used for the age and idle time of the connection.
    """

    def __init__(self, stream: SocketStream, clock: Clock) -> None:
        self.stream = stream
        self.clock = clock
        self.opened_at: Millis = clock.now()
        self.received_at: Millis = self.opened_at
        self.idle_since: Millis = self.opened_at
        self.calls = 0
        self.exchange: Exchange | None = None
        self.is_closed = False
        self.is_closed_locally = False
        self.is_sending = False
        self.is_suspect = False
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self.poll = select.poll()
        self.poll.register(raw_socket, select.POLLIN)
        self.scope = anyio.CancelScope()
        self.body_scope = anyio.CancelScope()

    async def run(self, on_closed: Callable[['Connection'], None]) -> None:
        """Read until the connection ends.

        :param on_closed: called once, after the connection has ended.
        """
        with contextlib.ExitStack() as at_end:
            at_end.callback(on_closed, self)
            at_end.callback(self._mark_closed)
            async with self.stream:
                with self.scope:
                    await self._read()

    def begin_call(self, exchange: Exchange) -> None:
        """Start a call; its answer is passed to ``exchange``."""
        self.calls += 1
        self.exchange = exchange

    async def send(self, sent: bytes) -> None:
        """Send bytes of the call.

        Connection errors are ignored here and reported by the reading task,
        which may still receive the upstream's answer.
        """
        try:
            await self.stream.send(sent)
        except _CONNECTION_ERRORS:
            return

    def limit_send_buffer(self) -> None:
        """Keep the system from buffering megabytes for a slow upstream."""
        raw_socket = self.stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )

    def start_sending_rest(
        self,
        tasks: TaskGroup,
        rest: AsyncGenerator[bytes, None],
        on_late_end: Callable[['Connection'], None],
        *,
        is_chunked: bool,
    ) -> None:
        """Send the rest of a body in the background.

        The answer may arrive before the body has been sent.

        :param rest: the parts of the body.
        :param on_late_end: called if the body has been sent after the end of
            the call, so that the connection can carry another call.
        :param is_chunked: whether each part is framed as a chunk.
        """
        self.is_sending = True
        tasks.start_soon(self._send_rest, rest, on_late_end, is_chunked)

    def end_call(self) -> bool:
        """End the current call.

        An upstream that has accepted a call before its body was sent gets the
        rest of the body, as it may still read it.

        :return: whether the connection can carry another call.
        """
        exchange = self.exchange
        self.exchange = None
        if exchange is None or not exchange.is_complete:
            self.close()
        elif not exchange.is_reusable:
            self.close()
        elif self.is_sending and exchange.status >= _FIRST_FAILURE_STATUS:
            self.close()
        return not self.is_closed and not self.is_sending

    def has_no_pending_input(self) -> bool:
        """Return whether the socket has no unread input."""
        return not self.poll.poll(0)

    def close(self, fault: ExchangeFault = ExchangeFault.CLOSED) -> None:
        """Close the connection at once.

        :param fault: the fault recorded for the current call, if there is one.
        """
        self.is_closed_locally = True
        self._mark_closed(fault)
        self.scope.cancel()

    def is_silent_since(self, since: Millis) -> bool:
        """Return whether a call on a reused connection has had no answer yet.

        :param since: clock time in milliseconds since which the connection
            has received nothing.
        """
        if self.exchange is None or self.calls < 2:
            return False
        return self.received_at < since

    def _mark_closed(self, fault: ExchangeFault = ExchangeFault.CLOSED) -> None:
        self.is_closed = True
        self.body_scope.cancel()
        if self.exchange is not None:
            self.exchange.record_fault(fault)

    async def _read(self) -> None:
        while not self.is_closed:
            try:
                received = await self.stream.receive(_READ_SIZE)
            except anyio.EndOfStream:
                if self.exchange is not None:
                    self.exchange.receive_eof()
                return
            except _CONNECTION_ERRORS:
                return
            self.received_at = self.clock.now()
            if self.exchange is None:
                return
            exchange = self.exchange
            exchange.feed(received)
            if exchange.fault is not None:
                return
            if has_ended_connection(exchange):
                # Otherwise it would count as broken by the other end.
                self.is_closed_locally = True
                return
            await exchange.wait_for_space()

    async def _send_rest(
        self,
        rest: AsyncGenerator[bytes, None],
        on_late_end: Callable[['Connection'], None],
        is_chunked: bool,
    ) -> None:
        fault = ExchangeFault.CLOSED
        with self.body_scope:
            try:
                async with contextlib.aclosing(rest):
                    await self._send_parts(rest, is_chunked)
            except TimeoutError:
                fault = ExchangeFault.TIMEOUT
            except Exception as error:
                fault = ExchangeFault.BODY
                _logger.info(
                    'could not read the rest of a request body from the caller',
                    extra={'error': str(error)},
                )
        if self.is_sending:
            self.close(fault)
        elif self.exchange is None and not self.is_closed:
            on_late_end(self)

    async def _send_parts(
        self, rest: AsyncGenerator[bytes, None], is_chunked: bool
    ) -> None:
        async for part in rest:
            if part:
                await self._send_part(
                    encode_chunk(part) if is_chunked else part
                )
        if is_chunked:
            await self._send_part(encode_chunk(b''))
        self.is_sending = False

    async def _send_part(self, sent: bytes) -> None:
        with anyio.fail_after(seconds_of(_SEND_SILENCE_TIMEOUT)):
            await self.send(sent)
