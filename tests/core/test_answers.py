"""Tests of answers: completeness, truncation and isolation between calls.

Each caller must get its own answer, either complete or visibly truncated.
"""

import hashlib
from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.abc import SocketStream
from core.scripted_upstream import (
    Script,
    ScriptedUpstream,
    SenderHarness,
    answer_bytes,
    read_whole,
    script_of,
    sender_harness,
)
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    Millis,
    Outcome,
    TruncatedAnswerError,
)
from cowslippond_core._attempt import Attempt

pytestmark = pytest.mark.anyio

_OK = script_of(answer_bytes(b'ok'))
_HEAD = b'HTTP/1.1 200 OK\r\n'
_MEGABYTE = 1048576
_LARGE = 64 * _MEGABYTE

# More than is buffered before an answer is passed on.
_LONG = b'a' * 100_000


async def _send_large(stream: SocketStream, head: bytes) -> None:
    await stream.send(_HEAD)
    await stream.send(b'content-length: %d\r\n\r\n' % _LARGE)
    for index in range(64):
        await stream.send(bytes([index]) * _MEGABYTE)


async def _send_chunked(stream: SocketStream, head: bytes) -> None:
    await stream.send(_HEAD)
    await stream.send(b'transfer-encoding: chunked\r\n\r\n')
    for index in range(64):
        part = bytes([index]) * _MEGABYTE
        await stream.send(b'%x\r\n%b\r\n' % (len(part), part))
    await stream.send(b'0\r\n\r\n')


async def _send_without_end(stream: SocketStream, head: bytes) -> None:
    """Send chunks at a pace that any reader keeps up with."""
    await stream.send(_HEAD)
    await stream.send(b'transfer-encoding: chunked\r\n\r\n')
    while True:
        await stream.send(b'%x\r\n%b\r\n' % (4096, b'a' * 4096))
        await anyio.sleep(0.002)


async def _send_limited(harness: SenderHarness) -> CallAnswer:
    """Send a call whose answer must be complete 200 ms after its start."""
    answer = await harness.sender.send(harness.service, harness.request())
    answer.chunks.attempt.limit_answer(harness.clock.now() + 200)
    return answer


def _failures(attempt: Attempt, now: Millis) -> float:
    """Return how many recent calls on an upstream have failed."""
    return round(attempt.upstream.failures.local_counts(now).failed, 1)


async def _read_chunked(stream: SocketStream, head: bytes) -> None:
    received = head.partition(b'\r\n\r\n')[2]
    while not received.endswith(b'\r\n0\r\n\r\n'):
        received += await stream.receive()
    await stream.send(answer_bytes(b'%d' % len(received)))


async def _parts() -> AsyncIterator[bytes]:
    for _ in range(3):
        yield b'b' * 1000


def _expected_digest() -> str:
    digest = hashlib.sha256()
    for index in range(64):
        digest.update(bytes([index]) * _MEGABYTE)
    return digest.hexdigest()


class TestBodies:
    @pytest.mark.parametrize('script', [_send_large, _send_chunked])
    async def test_large_answer_is_complete(self, script: Script) -> None:
        upstream = ScriptedUpstream(script)
        digest = hashlib.sha256()
        async with sender_harness(upstream) as harness:
            answer = await harness.sender.send(
                harness.service, harness.request()
            )
            async for chunk in answer.chunks:
                digest.update(chunk)
            assert await harness.call(method=b'HEAD') == b''
        assert digest.hexdigest() == _expected_digest()

    async def test_slow_reader_limits_buffering(self) -> None:
        upstream = ScriptedUpstream(_send_large)
        async with sender_harness(upstream) as harness:
            request = harness.request()
            answer = await harness.sender.send(harness.service, request)
            await anyio.sleep(0.3)
            exchange = answer.chunks.attempt.exchange
            assert exchange.buffered_bytes <= 2 * 65536
            await answer.chunks.aclose()

    async def test_body_that_arrives_in_parts_is_sent_chunked(self) -> None:
        upstream = ScriptedUpstream(_read_chunked)
        async with sender_harness(upstream) as harness:
            length = await harness.call(
                method=b'PUT', body=b'a' * 1000, rest=_parts()
            )
        framed = 4 * (1000 + len(b'3e8\r\n\r\n')) + len(b'0\r\n\r\n')
        assert length == b'%d' % framed

    @pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
    async def test_bodiless_answer_ends(self, status: bytes) -> None:
        upstream = ScriptedUpstream(script_of(b'HTTP/1.1 %b\r\n\r\n' % status))
        async with sender_harness(upstream) as harness:
            assert await harness.call() == b''
            assert await harness.call() == b''
        assert upstream.connections == 1

    async def test_interim_answer_is_skipped(self) -> None:
        interim = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
        upstream = ScriptedUpstream(script_of(interim + answer_bytes(b'ok')))
        async with sender_harness(upstream) as harness:
            assert await harness.call() == b'ok'


class TestTruncation:
    @pytest.mark.parametrize(
        'head',
        [
            b'content-length: 9\r\n\r\nab',
            b'transfer-encoding: chunked\r\n\r\n9\r\nab',
        ],
    )
    async def test_cut_answer_raises(self, head: bytes) -> None:
        upstream = ScriptedUpstream(script_of(_HEAD + head, 20.0, -1.0))
        async with sender_harness(upstream) as harness:
            with pytest.raises(TruncatedAnswerError):
                await harness.call()

    async def test_close_delimited_answer_is_refused(self) -> None:
        upstream = ScriptedUpstream(
            script_of(b'HTTP/1.1 200 OK\r\n\r\nab', -1.0)
        )
        async with sender_harness(upstream) as harness:
            refusal = await harness.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN


class TestTimeLimit:
    """An answer that is being passed on when its time is over."""

    async def test_incomplete_answer_ends_and_counts_as_failed(self) -> None:
        upstream = ScriptedUpstream(_send_without_end)
        async with sender_harness(upstream) as harness:
            answer = await _send_limited(harness)
            attempt = answer.chunks.attempt
            with pytest.raises(TruncatedAnswerError, match='timeout'):
                await read_whole(answer)
            assert _failures(attempt, harness.clock.now()) == 1
            assert attempt.upstream.in_flight == 0
            await anyio.sleep(0.05)
        assert upstream.cut_connections == 1

    async def test_complete_answer_is_delivered_late(self) -> None:
        upstream = ScriptedUpstream(script_of(answer_bytes(_LONG)))
        async with sender_harness(upstream) as harness:
            answer = await _send_limited(harness)
            first = await anext(answer.chunks)
            await anyio.sleep(0.4)
            assert first + await read_whole(answer) == _LONG

    async def test_upstream_is_not_blamed_for_a_slow_reader(self) -> None:
        upstream = ScriptedUpstream(_send_large)
        async with sender_harness(upstream) as harness:
            answer = await _send_limited(harness)
            attempt = answer.chunks.attempt
            await anyio.sleep(0.4)
            assert attempt.is_ended
            assert not _failures(attempt, harness.clock.now())
            with pytest.raises(TruncatedAnswerError):
                await read_whole(answer)

    async def test_answer_ends_at_the_longest_time_that_callers_may_wait(
        self,
    ) -> None:
        """The bytes were passed on for as long as the caller stayed."""
        upstream = ScriptedUpstream(_send_without_end)
        async with sender_harness(upstream) as harness:
            document = harness.service.document
            harness.service.document = document._replace(
                deadline=document.deadline._replace(ceiling_ms=300)
            )
            with anyio.fail_after(3), pytest.raises(TruncatedAnswerError):
                await harness.call()


class TestUnexpectedBytes:
    async def test_second_answer_is_discarded(self) -> None:
        two_answers = answer_bytes(b'ok') + answer_bytes(b'other')
        upstream = ScriptedUpstream(script_of(two_answers))
        async with sender_harness(upstream) as harness:
            answers = [await harness.call() for _ in range(4)]
        assert set(answers) == {b'ok'}
        assert upstream.connections == 4

    async def test_late_second_answer_closes_the_idle_connection(self) -> None:
        upstream = ScriptedUpstream(
            script_of(answer_bytes(b'ok'), 20.0, answer_bytes(b'other'))
        )
        async with sender_harness(upstream) as harness:
            for _ in range(3):
                assert await harness.call() == b'ok'
                await anyio.sleep(0.1)
        assert upstream.connections == 3

    async def test_answer_after_the_deadline_is_discarded(self) -> None:
        upstream = ScriptedUpstream(
            _OK, script_of(200.0, answer_bytes(b'late')), _OK
        )
        async with sender_harness(upstream) as harness:
            assert await harness.call() == b'ok'
            refusal = await harness.call(deadline=harness.clock.now() + 100)
            assert isinstance(refusal, CallRefusal)
            await anyio.sleep(0.2)
            assert await harness.call() == b'ok'
        assert upstream.connections == 2

    @pytest.mark.parametrize(
        'headers',
        [
            b'content-length: 2\r\ntransfer-encoding: chunked',
            b'content-length: 2\r\ncontent-length: 3',
            b'transfer-encoding: chunked, gzip',
            b'x: 1\r\n folded\r\ncontent-length: 2',
            b'content-length: +2',
            b'content-length : 2',
        ],
    )
    async def test_ambiguous_framing_is_refused(self, headers: bytes) -> None:
        upstream = ScriptedUpstream(script_of(_HEAD, headers, b'\r\n\r\nok'))
        async with sender_harness(upstream) as harness:
            refusal = await harness.call(is_idempotent=False)
        assert isinstance(refusal, CallRefusal)
        assert refusal.outcome is Outcome.UNKNOWN


class TestHeaders:
    async def test_hop_by_hop_headers_are_dropped(self) -> None:
        upstream = ScriptedUpstream(
            script_of(
                answer_bytes(
                    b'ok',
                    b'HTTP/1.1 200 OK\r\nconnection: x-own\r\nx-own: 1\r\nx: 2',
                )
            )
        )
        headers = (
            (b'host', b'shop.example'),
            (b'connection', b'x-mine'),
            (b'x-mine', b'1'),
            (b'te', b'trailers'),
            (b'x-deadline-ms', b'999999'),
        )
        async with sender_harness(upstream) as harness:
            request = harness.request(headers=headers)
            answer = await harness.sender.send(harness.service, request)
            assert isinstance(answer, CallAnswer)
            await answer.chunks.aclose()
        assert dict(answer.headers) == {b'x': b'2', b'content-length': b'2'}
        lines = upstream.calls[0].split(b'\r\n')
        assert b'host: shop.example' in lines
        assert b'x-attempt: 0' in lines
        assert not {b'x-mine: 1', b'te: trailers'} & set(lines)
        deadlines = [
            line for line in lines if line.startswith(b'x-deadline-ms')
        ]
        assert len(deadlines) == 1
        assert 0 < int(deadlines[0].partition(b':')[2]) <= 1500
