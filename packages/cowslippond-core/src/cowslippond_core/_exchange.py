"""Parsing and buffering of one HTTP answer."""

import enum
from collections import deque

import anyio
import httptools

# Statuses outside of this range are invalid (RFC 9110, section 15).
_FIRST_VALID_STATUS = 100
_MAX_VALID_STATUS = 599
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_BODILESS_STATUSES = frozenset((204, 304))
_CHUNKED_CODING = b'chunked'

#: Maximum size of the headers of an answer, and of its trailers and chunk
#: framing beyond that in proportion to the body.
MAX_HEAD_BYTES = 65536

# Framing bytes that each byte of a body may cost. A chunk of one byte takes five.
_MAX_FRAMING_RATIO = 8

#: Once this many bytes of a body wait for a slow reader, reading from the
#: connection is paused.
MAX_BUFFERED_BYTES = 65536

# Parts of a body are joined up to this size, as each takes some 50 bytes more, and
# is sent to the caller on its own.
_MIN_PART_BYTES = 1024


class ExchangeFault(enum.StrEnum):
    """Why the rest of an answer cannot be received."""

    CLOSED = 'closed'
    FRAMING = 'framing'
    SILENT = 'silent'
    TIMEOUT = 'timeout'
    TOO_LARGE = 'too_large'
    #: The caller has not completed the body of its call.
    BODY = 'body'


class Exchange:
    """Parses one answer and buffers the part that has not been read yet.

    An answer with neither a content length nor chunked framing is delimited by
    the close of its connection. By default that is a framing fault: upstreams
    close the connection to abort an answer too, so a truncated answer could
    not be distinguished from a complete one.

    :param is_head: whether the request was a ``HEAD``, whose answer has no
        body.
    :param allows_close_delimited: whether an orderly close of the connection,
        as opposed to a reset, may end an answer.
    """

    def __init__(
        self, *, is_head: bool, allows_close_delimited: bool = False
    ) -> None:
        self.is_head = is_head
        self.allows_close_delimited = allows_close_delimited
        self.is_close_delimited = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.body_bytes = 0
        self.has_head = False
        self.is_complete = False
        self.is_reusable = False
        self.fault: ExchangeFault | None = None
        self.change_event: anyio.Event | None = None
        self.space_event: anyio.Event | None = None
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, received: bytes) -> None:
        """Parse bytes received from the connection."""
        self.received_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
            httptools.HttpParserUpgrade,
        ):
            self._fail_framing()
        if _has_excess_framing(self):
            self.record_fault(ExchangeFault.FRAMING)
        self._notify()

    def record_fault(self, fault: ExchangeFault) -> None:
        """Record that the rest of the answer will not arrive."""
        if not self.is_complete and self.fault is None:
            self.fault = fault
        self.is_reusable = False
        self._notify()

    def receive_eof(self) -> None:
        """Handle an orderly close of the connection by the other end."""
        if self.is_close_delimited and self.fault is None:
            self.is_complete = True
        self._notify()

    @property
    def is_buffered(self) -> bool:
        """Whether the answer is complete or its buffer is full."""
        if not self.has_head:
            return False
        return self.is_complete or self.buffered_bytes >= MAX_BUFFERED_BYTES

    async def wait_buffered(self) -> None:
        """Wait until the answer is buffered or has failed."""
        while not self.is_buffered and self.fault is None:
            await self._wait_change()

    async def wait_head(self) -> None:
        """Wait until the headers have arrived or the answer has failed."""
        while not self.has_head and self.fault is None:
            await self._wait_change()

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body, or ``b''`` at its end.

        After a fault the buffered rest of the body is returned first, and then
        ``b''``.
        """
        while not self.chunks and not self.is_complete and self.fault is None:
            await self._wait_change()
        if not self.chunks:
            return b''
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        if (
            self.space_event is not None
            and self.buffered_bytes < MAX_BUFFERED_BYTES
        ):
            self.space_event.set()
            self.space_event = None
        return chunk

    async def wait_for_space(self) -> None:
        """Wait until the body buffer has space again."""
        while (
            self.buffered_bytes >= MAX_BUFFERED_BYTES and not self.is_complete
        ):
            self.space_event = anyio.Event()
            await self.space_event.wait()

    def on_message_begin(self) -> None:
        """Handle the start of a message.

        A further message after the complete answer makes the connection
        unusable for other calls.
        """
        if self.is_complete:
            self.is_reusable = False
        if not self.has_head:
            # Those of an interim answer before this one, with its trailers.
            self.headers.clear()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are ignored."""
        if not self.has_head:
            self.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Store the status, and complete the answer if it has no body.

        Interim answers are skipped, but no call asks to switch protocols.
        """
        if self.is_complete or self.fault is not None:
            return
        status = self.parser.get_status_code()
        if not _may_answer(status):
            self.record_fault(ExchangeFault.FRAMING)
            return
        if status < _FIRST_FINAL_STATUS:
            return
        self.status = status
        if self.is_head or self._is_framed(status):
            self.has_head = True
            self.is_reusable = self.parser.should_keep_alive()
        elif self.allows_close_delimited:
            self.has_head = True
            self.is_close_delimited = True
        else:
            self.record_fault(ExchangeFault.FRAMING)
        if self.is_head:
            self.is_reusable = self.is_reusable and self._is_framed(status)
            self.is_complete = True

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body.

        Bytes after the end of the answer make the connection unusable for
        other calls. An interim answer has no body.
        """
        self.body_bytes += len(body)
        if not self.has_head:
            self.record_fault(ExchangeFault.FRAMING)
        if self.is_complete or self.fault is not None:
            self.is_reusable = False
            return
        if self.chunks and len(self.chunks[-1]) < _MIN_PART_BYTES:
            self.chunks[-1] += body
        else:
            self.chunks.append(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self.has_head and self.fault is None:
            self.is_complete = True

    def _is_framed(self, status: int) -> bool:
        if status in _BODILESS_STATUSES:
            return True
        for name, text in self.headers:
            if name == b'content-length':
                return True
            if name == b'transfer-encoding':
                return text.strip().lower() == _CHUNKED_CODING
        return False

    def _fail_framing(self) -> None:
        self.is_reusable = False
        if not self.is_complete and self.fault is None:
            self.fault = ExchangeFault.FRAMING

    async def _wait_change(self) -> None:
        self.change_event = anyio.Event()
        await self.change_event.wait()

    def _notify(self) -> None:
        if self.change_event is not None:
            self.change_event.set()
            self.change_event = None


def has_ended_connection(exchange: Exchange) -> bool:
    """Return whether nothing more is to be read from the connection."""
    return exchange.is_complete and not exchange.is_reusable


def _may_answer(status: int) -> bool:
    """Return whether a status is valid in an answer to a call."""
    if status == _SWITCHING_PROTOCOLS:
        return False
    return _FIRST_VALID_STATUS <= status <= _MAX_VALID_STATUS


def _has_excess_framing(exchange: Exchange) -> bool:
    """Return whether too many bytes were received that are no body.

    They may come without end in interim answers, headers, chunk extensions and
    trailers.
    """
    framing_bytes = exchange.received_bytes - exchange.body_bytes
    allowed = MAX_HEAD_BYTES + _MAX_FRAMING_RATIO * exchange.body_bytes
    return framing_bytes > allowed
