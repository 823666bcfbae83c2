"""Tests of the parser of one answer."""

from types import MappingProxyType

import pytest
from cowslippond_core._exchange import (
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    Exchange,
    ExchangeFault,
    has_ended_connection,
)

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % OK
FILLER = b'a' * 1024
ENDLESS = MappingProxyType(
    {
        'status line': (b'HTTP/1.1 200 ', FILLER),
        'header': (b'%bx-name: ' % OK, FILLER),
        'headers': (OK, b'x-name: text\r\n'),
        'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        'chunk size': (CHUNKED, b'0' * 1024),
        'chunk extension': (b'%b5;name=' % CHUNKED, FILLER),
        'trailers': (b'%b0\r\n' % CHUNKED, b'x-name: text\r\n'),
        'trailer': (b'%b0\r\nx-name: ' % CHUNKED, FILLER),
    }
)

FRAMED_BODIES = MappingProxyType(
    {
        'length': b'content-length: 5\r\n\r\nhello',
        'chunks': b'transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
        'close': b'\r\nhello',
    }
)


def feed_endlessly(exchange: Exchange, start: bytes, filler: bytes) -> int:
    """Feed bytes until the exchange fails; return how many it took."""
    exchange.feed(start)
    fed = len(start)
    while exchange.fault is None and fed < MAX_HEAD_BYTES * 4:
        exchange.feed(filler)
        fed += len(filler)
    return fed


class TestEndlessBytes:
    """Bytes that are no answer come until the receiver closes."""

    @pytest.mark.parametrize('kind', ENDLESS)
    def test_answer_fails_at_a_bound(self, kind: str) -> None:
        exchange = Exchange(is_head=False, allows_close_delimited=True)
        fed = feed_endlessly(exchange, *ENDLESS[kind])
        assert exchange.fault is ExchangeFault.FRAMING
        assert not exchange.is_complete
        assert fed <= MAX_HEAD_BYTES + 2048

    def test_body_in_chunks_of_one_byte_is_complete(self) -> None:
        exchange = Exchange(is_head=False)
        exchange.feed(CHUNKED)
        for _ in range(MAX_BUFFERED_BYTES):
            exchange.feed(b'1\r\nx\r\n')
        exchange.feed(b'0\r\n\r\n')
        assert exchange.is_complete
        assert exchange.fault is None

    def test_small_chunks_are_buffered_together(self) -> None:
        """A buffer of 64 KB took 2.4 MB, as 32,768 parts of two bytes."""
        exchange = Exchange(is_head=False)
        exchange.feed(CHUNKED)
        while exchange.buffered_bytes < MAX_BUFFERED_BYTES:
            exchange.feed(b'2\r\nab\r\n')
        assert len(exchange.chunks) <= MAX_BUFFERED_BYTES / 1024
        assert b''.join(exchange.chunks) == b'ab' * (MAX_BUFFERED_BYTES // 2)

    def test_bytes_behind_the_end_end_the_connection(self) -> None:
        """A connection was read on while a slow caller read the body."""
        exchange = Exchange(is_head=False)
        exchange.feed(b'%bcontent-length: 2\r\n\r\nok' % OK)
        assert not has_ended_connection(exchange)
        exchange.feed(FILLER)
        assert exchange.is_complete
        assert has_ended_connection(exchange)


class TestStatus:
    """A status that is none of a final answer, before a proper answer or alone."""

    @pytest.mark.parametrize('framing', FRAMED_BODIES)
    @pytest.mark.parametrize('status', [0, 1, 99, 101, 600, 999])
    def test_invalid_one_is_no_answer(self, status: int, framing: str) -> None:
        """Its body reached a caller as the start of the next answer's."""
        exchange = Exchange(is_head=False, allows_close_delimited=True)
        exchange.feed(
            b'HTTP/1.1 %03d Odd\r\n%b' % (status, FRAMED_BODIES[framing])
        )
        exchange.feed(b'%bcontent-length: 4\r\n\r\ngood' % OK)
        assert exchange.fault is ExchangeFault.FRAMING
        assert not exchange.has_head
        assert not exchange.is_reusable

    @pytest.mark.parametrize('framing', FRAMED_BODIES)
    @pytest.mark.parametrize('status', [100, 103, 199])
    def test_interim_answer_has_no_body(
        self, status: int, framing: str
    ) -> None:
        """Its body reached a caller as the start of the next answer's."""
        exchange = Exchange(is_head=False)
        exchange.feed(
            b'HTTP/1.1 %d Early\r\n%b' % (status, FRAMED_BODIES[framing])
        )
        exchange.feed(b'%bcontent-length: 4\r\n\r\ngood' % OK)
        assert exchange.fault is ExchangeFault.FRAMING
        assert not exchange.has_head

    @pytest.mark.parametrize(
        'rest',
        [
            b'x-a: b\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n0\r\nx-a: b\r\n\r\n',
        ],
    )
    def test_interim_answer_leaves_nothing_behind(self, rest: bytes) -> None:
        """Its trailers became headers of the next answer."""
        exchange = Exchange(is_head=False)
        exchange.feed(b'HTTP/1.1 199 Early\r\n%b' % rest)
        exchange.feed(b'%bcontent-length: 4\r\n\r\ngood' % OK)
        assert exchange.is_complete
        assert exchange.headers == [(b'content-length', b'4')]
        assert list(exchange.chunks) == [b'good']
