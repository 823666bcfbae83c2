"""A stand-in back end with slots, a short queue, load reports and faults."""

import collections
import contextlib
import hashlib
import random
from typing import NamedTuple

import anyio
import httptools
from anyio.abc import SocketStream
from cowslippond_core import Clock, Millis

from cowslippond_standins import _stream

_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
_READ_BYTES = 65_536
_HEALTH_PATH = '/healthz'
_SIGNATURE_LENGTH = 16
_WORK_FACTOR_RANGE = (0.7, 1.3)


class Run(NamedTuple):
    """A request that the back end has started to process.

    ``headers`` are all headers that it came with, trailers included.
    """

    request_id: str
    method: str
    path: str
    backend: str
    at: Millis
    headers: tuple[tuple[str, str], ...] = ()

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header.

        :param name: in lower case.
        """
        return [text for known, text in self.headers if known.lower() == name]


class Faults:
    """Faults to inject, each as the fraction of requests that it affects.

    ``hang`` never answers a request, ``fail`` answers with ``fail_status``,
    ``lose`` runs the request and then resets the connection, ``truncate``
    sends an incomplete answer, ``extra`` sends a second answer after the
    first, and ``unframed`` omits the ``Content-Length`` header.
    """

    def __init__(self) -> None:
        self.hang: float = 0
        self.fail: float = 0
        self.fail_status = b'500 Failed'
        self.lose: float = 0
        self.truncate: float = 0
        self.extra: float = 0
        self.unframed: float = 0


class Announcements:
    """What a back end says about itself in its answers.

    ``rate_limit`` is in requests per second, in each answer.
    ``leaving_answers`` are the kinds of answers (``success``, ``failure``,
    ``refusal``, ``health``) that say that it leaves. With ``pause``, the text
    of a header, it refuses all requests and asks for a pause.
    ``warm_up_span`` is when it is cold, on the clock; its health answers tell how
    much of it is left.
    """

    def __init__(self) -> None:
        self.rate_limit: float | None = None
        self.leaving_answers: frozenset[str] = frozenset()
        self.pause: str | None = None
        self.warm_up_span: tuple[Millis, Millis] | None = None


class _RequestParser:
    """Collects one HTTP request from the callbacks of its parser."""

    def __init__(self) -> None:
        self.path = ''
        self.headers: dict[str, str] = {}
        self.received: list[tuple[str, str]] = []
        self.body = b''
        self.is_complete = False
        self.parser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self.path += url.decode('latin-1')

    def on_header(self, name: bytes, text: bytes) -> None:
        header = name.decode('latin-1'), text.decode('latin-1')
        self.received.append(header)
        self.headers[header[0].lower()] = header[1]

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


class Backend:
    """A back end whose recorded runs stay available after it is killed.

    :param name: id under which the back end is listed in the store.
    :param mean_work: mean processing time of a request.
    :param slots: number of requests that are processed at once.
    """

    def __init__(
        self, name: str, mean_work: Millis, clock: Clock, slots: int = 2
    ) -> None:
        self.name = name
        self.mean_work = mean_work
        self.clock = clock
        self.slots = slots
        self.queue_limit = 4
        self.rng = random.Random(name)
        self.faults = Faults()
        self.runs: list[Run] = []
        self.refused_at: list[Millis] = []
        self.counters: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()
        self.is_leaving = False
        self.announced = Announcements()
        self.port = 0
        self.scope = anyio.CancelScope()

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections until :meth:`kill` is called."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with self.scope:
            async with listener:
                task_status.started()
                await listener.serve(self._serve_connection)

    def kill(self) -> None:
        """Stop at once and abort all connections."""
        self.scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            try:
                while await self._handle_request(stream):
                    self.counters['requests'] += 1
            except _CONNECTION_ERRORS:
                self.counters['broken'] += 1
            except httptools.HttpParserError:
                self.counters['unreadable'] += 1

    async def _handle_request(self, stream: SocketStream) -> bool:
        request = _RequestParser()
        while not request.is_complete:
            request.parser.feed_data(await stream.receive(_READ_BYTES))
        if request.path == _HEALTH_PATH:
            self.counters['probes'] += 1
            status = b'503 Leaving' if self.is_leaving else b'200 OK'
            await stream.send(
                self._encode_response(status, b'', '', kind='health')
            )
            return True
        target = request.headers.get('x-target-instance', self.name)
        if target != self.name:
            await stream.send(self._encode_response(b'421 Other', b'', ''))
            return True
        if self.announced.pause is not None:
            await stream.send(self._encode_refusal(request))
            return True
        has_completed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_close, stream, tasks.cancel_scope)
            await self._run_in_slot(request)
            has_completed = True
            tasks.cancel_scope.cancel()
        return has_completed and await self._send(request, stream)

    async def _run_in_slot(self, request: _RequestParser) -> None:
        if self._is_drawn(self.faults.hang):
            await anyio.sleep_forever()
        if self.running >= self.slots:
            await self._wait_in_queue()
        self.running += 1
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release)
            await self._run(request)

    def _release(self) -> None:
        self.running -= 1
        if self.waiting:
            self.waiting.popleft().set()

    async def _wait_in_queue(self) -> None:
        if len(self.waiting) >= self.queue_limit:
            self.counters['swallowed'] += 1
            await anyio.sleep_forever()
        slot_granted = anyio.Event()
        self.waiting.append(slot_granted)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._leave_queue, slot_granted)
            await slot_granted.wait()

    def _leave_queue(self, slot_granted: anyio.Event) -> None:
        if slot_granted in self.waiting:
            self.waiting.remove(slot_granted)

    async def _run(self, request: _RequestParser) -> None:
        self.runs.append(
            Run(
                request.headers.get('x-request-id', ''),
                request.parser.get_method().decode(),
                request.path,
                self.name,
                self.clock.now(),
                tuple(request.received),
            )
        )
        await self.clock.sleep(
            self.rng.uniform(*_WORK_FACTOR_RANGE) * self.mean_work
        )

    async def _send(
        self, request: _RequestParser, stream: SocketStream
    ) -> bool:
        request_id = request.headers.get('x-request-id', '')
        body = expected_body(request_id, request.path)
        response = self._encode_response(b'200 OK', body, request_id)
        if self._is_drawn(self.faults.lose):
            await _stream.reset(stream)
            return False
        if self._is_drawn(self.faults.fail):
            response = self._encode_response(
                self.faults.fail_status, b'failed', request_id, kind='failure'
            )
        if self._is_drawn(self.faults.truncate):
            await stream.send(response[:-4])
            return False
        if self._is_drawn(self.faults.unframed):
            head, _, _ = response.partition(b'content-length')
            await stream.send(b'%bconnection: close\r\n\r\n%b' % (head, body))
            return False
        if self._is_drawn(self.faults.extra):
            response += self._encode_response(b'200 OK', b'stray', 'stray')
        await stream.send(response)
        return True

    def _encode_refusal(self, request: _RequestParser) -> bytes:
        self.refused_at.append(self.clock.now())
        request_id = request.headers.get('x-request-id', '')
        extra = (
            b'x-not-executed: 1',
            b'retry-after: %b' % (self.announced.pause or '').encode(),
        )
        return self._encode_response(
            b'503 Paused', b'', request_id, kind='refusal', extra=extra
        )

    def _encode_response(
        self,
        status: bytes,
        body: bytes,
        request_id: str,
        *,
        kind: str = 'success',
        extra: tuple[bytes, ...] = (),
    ) -> bytes:
        lines = [
            b'HTTP/1.1 %b' % status,
            b'x-instance-id: %b' % self.name.encode(),
            b'x-backend-load: %d,%d,%d,100'
            % (self.running, len(self.waiting), self.slots),
        ]
        lines.extend(extra)
        if kind == 'health' and self.announced.warm_up_span is not None:
            lines.append(b'x-warmup-ms: %d' % self.warm_up_left())
        if kind in self.announced.leaving_answers:
            lines.append(b'server-leaving: 1')
        if self.announced.rate_limit is not None:
            lines.append(b'server-limit: %.3f' % self.announced.rate_limit)
        if request_id:
            lines.append(b'x-request-id: %b' % request_id.encode())
            lines.append(b'x-response-signature: %b' % signature(body))
        lines.append(b'content-length: %d' % len(body))
        return b'\r\n'.join([*lines, b'', body])

    def turn_cold(self, duration: Millis) -> None:
        """Be cold from now on."""
        now = self.clock.now()
        self.announced.warm_up_span = (now, now + duration)

    def warm_up_left(self) -> Millis:
        """Return for how much longer the back end is cold."""
        if self.announced.warm_up_span is None:
            return 0
        return max(self.announced.warm_up_span[1] - self.clock.now(), 0)

    def _is_drawn(self, probability: float) -> bool:
        return self.rng.random() < probability


def expected_body(request_id: str, path: str) -> bytes:
    """Return the body of the correct answer to a request."""
    text = f'{request_id} {path} '
    return (text * (1 + len(request_id) % 7)).encode()


def signature(body: bytes) -> bytes:
    """Return the signature that a back end sends with an answer."""
    return hashlib.sha256(body).hexdigest()[:_SIGNATURE_LENGTH].encode()


async def _cancel_on_close(
    stream: SocketStream, scope: anyio.CancelScope
) -> None:
    """Cancel the processing of a request when its connection closes."""
    try:
        await stream.receive(1)
    except _CONNECTION_ERRORS:
        scope.cancel()
