"""A call is what its framing says, whatever protocols its headers offer.

The body of a call with an offer was lost or taken for the next call, so that an order
ran without its body, and a body that looks like a call was run as one.
"""

from types import MappingProxyType
from typing import NamedTuple

import pytest
from cowslippond_core import HeaderList
from cowslippond_daemon._call_parser import CallParser
from httptools import HttpParserError

OFFERS = MappingProxyType(
    {
        'h2c': b'connection: upgrade, http2-settings\r\nupgrade: h2c\r\n'
        b'http2-settings: AAEAAEAA\r\n',
        'websocket': b'upgrade: websocket\r\nconnection: Upgrade\r\n',
        'several': b'connection: upgrade\r\nupgrade: a/1, b\r\nupgrade: c\r\n',
        'no connection': b'upgrade: h2c\r\n',
        'no upgrade': b'connection: upgrade\r\n',
        'close': b'connection: upgrade, close\r\nupgrade: h2c\r\n',
        'expect': b'connection: upgrade\r\nupgrade: h2c\r\n'
        b'expect: 100-continue\r\n',
    }
)
INNER = b'POST /inner HTTP/1.1\r\ncontent-length: 2\r\n\r\nno'
FRAMINGS = MappingProxyType(
    {
        'none': b'\r\n',
        'empty': b'content-length: 0\r\n\r\n',
        'length': b'content-length: %d\r\n\r\n%b' % (len(INNER), INNER),
        'chunks': b'transfer-encoding: chunked\r\n\r\n'
        b'2;name=value\r\n{}\r\n%x\r\n%b\r\n0\r\nx-trailer: text\r\n\r\n'
        % (len(INNER), INNER),
    }
)


class Parsed(NamedTuple):
    """A call that was parsed."""

    method: bytes
    target: bytes
    body: bytes
    trailers: HeaderList


class Recorder:
    """Records the calls that the parser reports."""

    def __init__(self) -> None:
        self.parser = CallParser(self)
        self.calls: list[Parsed] = []
        self.headers: list[tuple[bytes, bytes]] = []
        self.trailers: list[tuple[bytes, bytes]] | None = None
        self.method = b''
        self.target = b''
        self.body = b''

    def on_message_begin(self) -> None:
        self.headers = []
        self.trailers = None
        self.target = b''
        self.body = b''

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        known = self.headers if self.trailers is None else self.trailers
        known.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        self.trailers = []
        self.method = self.parser.get_method()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.parser.is_interrupted:
            return
        trailers = tuple(self.trailers or ())
        self.calls.append(Parsed(self.method, self.target, self.body, trailers))

    def received_headers(self) -> HeaderList:
        return tuple(self.headers)


def parse(*parts: bytes) -> list[Parsed]:
    recorder = Recorder()
    for part in parts:
        recorder.parser.feed_data(part)
    return recorder.calls


def make_call(method: bytes, offer: bytes, framing: str) -> bytes:
    return b'%b /orders?a=1 HTTP/1.1\r\nhost: shop\r\n%b%b' % (
        method,
        offer,
        FRAMINGS[framing],
    )


class TestOfferToSwitchProtocols:
    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize('offer', OFFERS)
    @pytest.mark.parametrize('method', [b'POST', b'GET'])
    def test_changes_no_call(
        self, method: bytes, offer: str, framing: str
    ) -> None:
        """Calls are pipelined, and arrive in two packets, cut at every byte."""
        plain = make_call(method, b'', framing)
        expected = parse(plain * 2)
        offered = make_call(method, OFFERS[offer], framing)
        sent = offered * 2
        assert len(expected) == 2
        for end, _ in enumerate(sent):
            assert parse(sent[:end], sent[end:]) == expected

    @pytest.mark.parametrize('offer', OFFERS)
    def test_leaves_doubtful_framing_refused(self, offer: str) -> None:
        doubtful = (
            b'POST / HTTP/1.1\r\ncontent-length: 2\r\n'
            b'transfer-encoding: chunked\r\n%b\r\n' % OFFERS[offer]
        )
        with pytest.raises(HttpParserError):
            parse(doubtful)
