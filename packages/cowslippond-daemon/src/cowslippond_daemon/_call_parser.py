"""Parses the calls of a connection, and ignores offers to switch protocols."""

from typing import Protocol

import httptools
from cowslippond_core import HeaderList

_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class ParserCallbacks(Protocol):
    """What the parser calls for each part of a call."""

    def on_message_begin(self) -> None:
        """Handle the start of a call."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""

    def on_header(self, name: bytes, text: bytes) -> None:
        """Handle a header or a trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of a call."""

    def received_headers(self) -> HeaderList:
        """Return the headers of the call, with names in lower case."""


class CallParser:
    """A parser that reads a call as its framing says.

    If the headers of a call offer to switch protocols, ``httptools`` ends it there
    and leaves the rest of the connection to others. This parser continues behind
    the headers: it primes another parser with the framing of the call alone.

    :param callbacks: are notified of what has been parsed.
    """

    def __init__(self, callbacks: ParserCallbacks) -> None:
        self.callbacks = callbacks
        self.parser = _make_parser(callbacks)

    @property
    def is_interrupted(self) -> bool:
        """Whether the end of the headers was taken for the end of the call."""
        return bool(self.parser.should_upgrade())

    def feed_data(self, received: bytes) -> None:
        """Parse bytes received from the connection.

        :raises HttpParserError: if they are no valid call.
        """
        rest = self._feed(received)
        while rest is not None:
            self._resume()
            rest = self._feed(rest)

    def get_method(self) -> bytes:
        """Return the method of the call."""
        return bytes(self.parser.get_method())

    def get_http_version(self) -> str:
        """Return the version of the call, such as ``1.1``."""
        return str(self.parser.get_http_version())

    def should_keep_alive(self) -> bool:
        """Return whether the connection stays open after the call."""
        return bool(self.parser.should_keep_alive())

    def should_upgrade(self) -> bool:
        """Return false: no offer to switch protocols is accepted."""
        return False

    def _feed(self, received: bytes) -> bytes | None:
        """Return the bytes behind an offer to switch protocols, if there is one."""
        try:
            self.parser.feed_data(received)
        except httptools.HttpParserUpgrade as offer:
            return received[offer.args[0] :]
        return None

    def _resume(self) -> None:
        framing = b''.join(
            b'%b: %b\r\n' % header
            for header in self.callbacks.received_headers()
            if header[0] in _FRAMING_HEADERS
        )
        self.parser = _make_parser(_CallbacksBehindHead(self.callbacks))
        self.parser.feed_data(b'POST / HTTP/1.1\r\n%b\r\n' % framing)


class _CallbacksBehindHead:
    """Callbacks that leave out the headers of the first call."""

    def __init__(self, callbacks: ParserCallbacks) -> None:
        self.callbacks = callbacks
        self.is_behind_head = False
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_message_begin(self) -> None:
        if self.is_behind_head:
            self.callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self.is_behind_head:
            self.callbacks.on_url(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        if self.is_behind_head:
            self.callbacks.on_header(name, text)

    def on_headers_complete(self) -> None:
        if self.is_behind_head:
            self.callbacks.on_headers_complete()
        self.is_behind_head = True


def _make_parser(callbacks: object) -> httptools.HttpRequestParser:
    parser = httptools.HttpRequestParser(callbacks)
    # Calls that were pipelined behind one that closes the connection are ignored.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser
