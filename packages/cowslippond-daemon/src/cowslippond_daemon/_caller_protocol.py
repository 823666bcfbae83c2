"""The server's end of a caller's connection, with limits on the headers."""

import asyncio
import logging
import math
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any

import httptools
from cowslippond_core import CallRefusal, Millis, Outcome, RefusalReason
from cowslippond_core import _headers as header_names
from cowslippond_core._clock import seconds_of

from cowslippond_daemon._caller_body import MAX_BUFFERED_BODY_BYTES
from cowslippond_daemon._edge_responses import status_of
from cowslippond_daemon._incoming_call import (
    CLOSED_EXTENSION,
    declared_length,
)
from cowslippond_daemon._servers import DaemonProtocol

_logger = logging.getLogger(__name__)

# How long bytes of a call are discarded after its response. If a connection is
# closed with unread bytes, its caller may lose the response.
_LINGER_TIME: Millis = 3000

# Framing bytes that each byte of a body may cost. A chunk of one byte takes five.
_MAX_FRAMING_RATIO = 8

# Enough for 5 Mbit/s at a round trip of 200 ms. Several dozen connections would
# otherwise take megabytes each.
_RECEIVE_BUFFER_BYTES = 131_072

# How far the bytes of a body may offset later framing bytes.
_MAX_ALLOWANCE = 65536

# What a header takes besides its name and text, and a request line besides its
# method and target.
_HEADER_OVERHEAD = 4
_REQUEST_LINE_OVERHEAD = 12

# Calls of one connection that may wait for the response to an earlier one. Each
# takes about 2 KB, and one read of the server can hold some ten thousand.
_MAX_PIPELINED = 16

# Methods of calls that have no body, whose connections need not linger.
_BODILESS_METHODS = frozenset(('GET', 'HEAD'))


class HeadLimits:
    """The limits on the headers of calls, shared by all connections.

    ``size`` is in bytes and ``timeout`` in milliseconds, from the first byte of
    the headers to their end.

    :param on_refused: called with the reason if a limit is exceeded.
    """

    def __init__(self, on_refused: Callable[[RefusalReason], None]) -> None:
        self.on_refused = on_refused
        self.size: float = math.inf
        self.timeout: Millis = math.inf


class CallerProtocol(DaemonProtocol):
    """A caller's connection.

    :param limits: the limits on the headers of calls.
    """

    def __init__(self, limits: HeadLimits, **server_arguments: Any) -> None:
        super().__init__(**server_arguments)
        self.limits = limits
        self.is_reading_head = False
        self.is_lingering = False
        self.is_shutting_down = False
        self.has_begun = False
        self.read_bytes = 0
        self.framing_bytes = 0
        self.refusal: RefusalReason | None = None
        self.head_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Close a connection on which nothing ever arrives, in time."""
        super().connection_made(transport)
        _start_idle_timer(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer of the headers."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse bytes of a call and check the limits."""
        if self.is_lingering:
            return
        self.read_bytes = len(data)
        self.has_begun = False
        self.framing_bytes += self.read_bytes
        super().data_received(data)
        if self.is_lingering or self.transport.is_closing():
            return
        if self.has_begun and self.is_reading_head:
            # The bytes before the call in the same read are not its own. Those of a
            # header that is not complete are left out, too.
            self.framing_bytes = min(self.framing_bytes, _head_size(self))
        if self.framing_bytes > self.limits.size:
            self._refuse(RefusalReason.HEAD_TOO_LARGE)
            return
        self._update_timers()

    def on_message_begin(self) -> None:
        """Handle the start of a call."""
        super().on_message_begin()
        self.is_reading_head = True
        self.has_begun = True
        # Bytes of an earlier call in the same read are counted, too; the exact
        # size is determined only if this upper bound exceeds the limit.
        self.framing_bytes = self.read_bytes

    def on_headers_complete(self) -> None:
        """Start a call unless its headers are too large.

        If too many calls wait for an earlier one, this call and the bytes after
        it are dropped, and the connection closes after the last response. So it
        does if the body has a coding that would get lost.

        :raises HttpParserError: in all these cases.
        """
        self.is_reading_head = False
        if _has_unknown_coding(self.headers):
            raise httptools.HttpParserError
        if len(self.pipeline) >= _MAX_PIPELINED:
            self.refusal = RefusalReason.QUEUE_FULL
            raise httptools.HttpParserError
        if self.framing_bytes > self.limits.size or not self.has_begun:
            if _head_size(self) > self.limits.size:
                self.refusal = RefusalReason.HEAD_TOO_LARGE
                raise httptools.HttpParserError
        self.framing_bytes = 0
        super().on_headers_complete()
        if self.scope['method'] not in _BODILESS_METHODS:
            self.cycle.transport = _LingeringTransport(self)  # type: ignore[assignment]
            _limit_receive_buffer(self)
            self.scope['extensions'] = {
                CLOSED_EXTENSION: self.close_if_abandoned  # type: ignore[dict-item]
            }

    def on_body(self, body: bytes) -> None:
        """Pass a part of a body on, and allow for its framing."""
        allowance = len(body) * (1 + _MAX_FRAMING_RATIO)
        self.framing_bytes = int(
            max(self.framing_bytes - allowance, -_MAX_ALLOWANCE)
        )
        super().on_body(body)

    def on_response_complete(self) -> None:
        """Begin the next call, unless the bytes behind this one were refused."""
        is_last = not self.pipeline
        super().on_response_complete()
        if is_last and self.is_lingering and not self.transport.is_closing():
            self.linger()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuse a call that cannot be parsed or has too large headers."""
        self._refuse(self.refusal or RefusalReason.BAD_REQUEST)

    def close_if_abandoned(self) -> bool:
        """Close the connection if its caller has; return whether it is closed.

        While a slow upstream stops the reading of a body, the event loop does
        not notice.
        """
        raw_socket = self.transport.get_extra_info('socket')
        if self.transport.is_closing() or raw_socket is None:
            return True
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLRDHUP)
        if not poll.poll(0):
            return False
        # Otherwise the server would send a response of its own.
        self.cycle.disconnected = True
        self.transport.abort()
        return True

    def shutdown(self) -> None:
        """Close the connection after its call, or now if there is none.

        A call of which bytes have arrived still gets its response. Closing a
        connection with unread bytes resets it, and the caller could not tell
        whether the call has run.
        """
        self.is_shutting_down = True
        if _is_busy(self) or not _has_input(self):
            super().shutdown()

    def linger(self) -> None:
        """Close the connection once its caller has had time to read.

        Further bytes are discarded.
        """
        self.is_lingering = True
        self._stop_head_timer()
        self.transport.write_eof()
        self.flow.resume_reading()
        self.loop.call_later(seconds_of(_LINGER_TIME), self.transport.close)

    def close_after_response(self) -> None:
        """Close the connection, but linger if more bytes may arrive."""
        has_more = self.cycle.more_body or self.is_lingering
        if self.transport.is_closing() or not has_more:
            self.transport.close()
            return
        self.linger()

    def _update_timers(self) -> None:
        if self.is_reading_head:
            self._start_head_timer()
            return
        self._stop_head_timer()
        if _is_busy(self):
            return
        # The rest of a body has arrived after the response.
        if self.is_shutting_down:
            self.transport.close()
        elif self.timeout_keep_alive_task is None:
            _start_idle_timer(self)

    def _start_head_timer(self) -> None:
        if self.head_timer is None and math.isfinite(self.limits.timeout):
            self.head_timer = self.loop.call_later(
                seconds_of(self.limits.timeout), self._end_head_time
            )

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _end_head_time(self) -> None:
        self.head_timer = None
        self._refuse(RefusalReason.HEAD_TIMEOUT)

    def _refuse(self, reason: RefusalReason) -> None:
        """Refuse a call that has not begun, and close the connection."""
        self.limits.on_refused(reason)
        _logger.info(
            'headers of a call refused',
            extra={
                'reason': reason.value,
                'caller': self.client and self.client[0],
                'received_bytes': self.framing_bytes,
            },
        )
        if _is_queued(self) and self.cycle.more_body:
            # Earlier calls get their responses; this one has not been read.
            self.pipeline.popleft()
            self.cycle.response_complete = True
            self.is_lingering = True
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # The response to an earlier call, or to this one, is not complete.
            self.cycle.keep_alive = False
            self.cycle.transport = _LingeringTransport(self)  # type: ignore[assignment]
            if self.cycle.more_body:
                self.transport.close()
            self.is_lingering = True
            return
        self.transport.write(_encode_refusal(reason))
        self.linger()


class _LingeringTransport:
    """A transport for the response to a call whose body may not be complete."""

    def __init__(self, protocol: CallerProtocol) -> None:
        self.protocol = protocol

    def write(self, written: bytes) -> None:
        self.protocol.transport.write(written)

    def is_closing(self) -> bool:
        return self.protocol.transport.is_closing()

    def close(self) -> None:
        self.protocol.close_after_response()


def _start_idle_timer(protocol: CallerProtocol) -> None:
    protocol.timeout_keep_alive_task = protocol.loop.call_later(
        protocol.timeout_keep_alive, protocol.timeout_keep_alive_handler
    )


def _is_busy(protocol: CallerProtocol) -> bool:
    return protocol.cycle is not None and not protocol.cycle.response_complete


def _has_unknown_coding(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Tell whether a body has another transfer coding than ``chunked``."""
    codings = [text for name, text in headers if name == b'transfer-encoding']
    return bool(codings) and b','.join(codings).lower() != b'chunked'


def _is_queued(protocol: CallerProtocol) -> bool:
    """Tell whether the last call waits for the response to an earlier one."""
    return bool(protocol.pipeline) and protocol.pipeline[0][0] is protocol.cycle


def _has_input(protocol: CallerProtocol) -> bool:
    """Tell whether bytes have arrived that are yet to be handled."""
    if protocol.is_reading_head or protocol.is_lingering:
        return True
    raw_socket = protocol.transport.get_extra_info('socket')
    if protocol.transport.is_closing() or raw_socket is None:
        return False
    poll = select.poll()
    poll.register(raw_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _head_size(protocol: CallerProtocol) -> int:
    size = sum(
        len(name) + len(text) + _HEADER_OVERHEAD
        for name, text in protocol.headers
    )
    method = protocol.parser.get_method()
    return size + len(method) + len(protocol.url) + _REQUEST_LINE_OVERHEAD


def _limit_receive_buffer(protocol: CallerProtocol) -> None:
    """Keep the system from buffering megabytes of a large body."""
    length = declared_length(tuple(protocol.scope['headers']))
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return
    raw_socket = protocol.transport.get_extra_info('socket')
    if raw_socket is not None:
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )


def _encode_refusal(reason: RefusalReason) -> bytes:
    refusal = CallRefusal(Outcome.NOT_RUN, reason, 0)
    text = f'{refusal.outcome}: {refusal.reason}\n'
    return (
        f'HTTP/1.1 {status_of(refusal)} {reason.value}\r\n'
        'content-type: text/plain\r\n'
        f'content-length: {len(text)}\r\n'
        f'{header_names.OUTCOME}: {refusal.outcome}\r\n'
        f'{header_names.REASON}: {reason.value}\r\n'
        f'connection: close\r\n\r\n{text}'
    ).encode()
