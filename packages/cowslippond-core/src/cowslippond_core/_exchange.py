"""The receiving half of one call on a connection to an upstream."""

import enum
from collections import deque

import anyio
import httptools

_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_BODILESS_STATUSES = frozenset((204, 304))
_CHUNKED_CODING = b'chunked'

#: The most bytes of an answer's headers.
MAX_HEAD_BYTES = 65536

#: How many bytes of a body may wait for a slow reader before the connection
#: is no longer read.
MAX_BUFFERED_BYTES = 65536


class ExchangeFault(enum.StrEnum):
    """Why no more of an answer can be had."""

    CLOSED = 'closed'
    FRAMING = 'framing'
    SILENT = 'silent'
    TIMEOUT = 'timeout'


class Exchange:
    """Parse one answer and hold what the caller has not taken yet.

    An answer whose end is marked neither by a length nor by chunks ends with
    its connection. That is a framing fault unless it is allowed, because a cut
    could not be told from its end where upstreams close broken answers.

    :param is_head: whether the call was a ``HEAD``, whose answer has no body.
    :param may_end_with_close: whether a connection that is closed in order,
        not reset, may end an answer.
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
        self.head_bytes = 0
        self.has_head = False
        self.is_complete = False
        self.is_reusable = False
        self.fault: ExchangeFault | None = None
        self.change_event: anyio.Event | None = None
        self.space_event: anyio.Event | None = None
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, received: bytes) -> None:
        """Take bytes from the connection.

        :param received: bytes as received.
        """
        if not self.has_head:
            self.head_bytes += len(received)
        try:
            self.parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
            httptools.HttpParserUpgrade,
        ):
            self._fail_framing()
        if self.head_bytes > MAX_HEAD_BYTES and not self.has_head:
            self.record_fault(ExchangeFault.FRAMING)
        self._notify()

    def record_fault(self, fault: ExchangeFault) -> None:
        """Note that the connection brings no more of this answer."""
        if not self.is_complete and self.fault is None:
            self.fault = fault
        self.is_reusable = False
        self._notify()

    def receive_eof(self) -> None:
        """Note that the other end has closed the connection in order."""
        if self.is_close_delimited and self.fault is None:
            self.is_complete = True
        self._notify()

    @property
    def is_buffered(self) -> bool:
        """Whether the whole answer is here, or as much as may be held."""
        if not self.has_head:
            return False
        return self.is_complete or self.buffered_bytes >= MAX_BUFFERED_BYTES

    async def wait_buffered(self) -> None:
        """Wait until the answer is held, or never will be."""
        while not self.is_buffered and self.fault is None:
            await self._wait_change()

    async def wait_head(self) -> None:
        """Wait until the headers are there, or never will be."""
        while not self.has_head and self.fault is None:
            await self._wait_change()

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end or at a fault."""
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
        """Wait until the reader has taken enough of the body."""
        while (
            self.buffered_bytes >= MAX_BUFFERED_BYTES and not self.is_complete
        ):
            self.space_event = anyio.Event()
            await self.space_event.wait()

    def on_message_begin(self) -> None:
        """Note a message; one behind the whole answer is a fault."""
        if self.is_complete:
            self.is_reusable = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if not self.has_head:
            self.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Take the status, and end the answer if it has no body."""
        if self.is_complete:
            return
        status = self.parser.get_status_code()
        if status < _FIRST_FINAL_STATUS and status != _SWITCHING_PROTOCOLS:
            self.headers.clear()
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
        """Keep a part of the body; bytes behind the answer's end are a fault."""
        if self.is_complete or self.fault is not None:
            self.is_reusable = False
            return
        self.chunks.append(body)
        self.buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if self.has_head and self.fault is None:
            self.is_complete = True

    def _is_framed(self, status: int) -> bool:
        if status == _SWITCHING_PROTOCOLS:
            return False
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
