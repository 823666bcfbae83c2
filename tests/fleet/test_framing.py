"""What runs at an upstream is what a caller has sent, by a second parser.

Sessions of calls are generated, cut into packets and sent to a real daemon. The
upstream records what it gets with h11, which also tells what the bytes of the session
mean: the parser of the daemon may refuse more, but must not read anything else.
"""

import pathlib
from collections.abc import Generator, Iterator
from typing import Any, NamedTuple

import anyio
import h11
import pytest
from anyio.abc import SocketStream
from anyio.from_thread import BlockingPortal, start_blocking_portal
from cowslippond_standins.fleet import DOMAINS, FleetDeployment, Node, route
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

EXAMPLES = 150
SOAK_EXAMPLES = 40_000
MAX_SECONDS = 10
QUIET_SECONDS = 0.5
PACKET_PAUSE_SECONDS = 0.001
SLOTS = 16
READ_BYTES = 65_536
ID = b'x-request-id'
INNER = b'POST /inner HTTP/1.1\r\nhost: a\r\nx-request-id: inner\r\n\r\n'


class Call(NamedTuple):
    """A call as it was sent or has run; the ID is that of its header."""

    request_id: bytes
    method: bytes
    target: bytes
    body: bytes


class Message(NamedTuple):
    """The bytes of a call, and whether a proper proxy has to run it."""

    start: bytes
    rest: bytes
    is_proper: bool

    def encode(self, number: int) -> bytes:
        return b'%bhost: shop.example\r\n%b: %d\r\n%b' % (
            self.start,
            ID,
            number,
            self.rest,
        )


def chunk(part: bytes, extension: bytes) -> bytes:
    return b'%x%b\r\n%b\r\n' % (len(part), extension, part)


BODIES = st.one_of(
    st.binary(max_size=40),
    st.just(INNER),
    st.just(b'0\r\n\r\n%b' % INNER),
    st.just(b'a' * 70_000),
)
EXTENSIONS = st.sampled_from([b'', b';a', b';a=b', b';a="b c"'])
TRAILERS = st.sampled_from([b'', b'x-a: b\r\n', b'authorization: x\r\n'])


@st.composite
def chunked(draw: st.DrawFn) -> bytes:
    parts = draw(st.lists(BODIES.filter(bool), max_size=3))
    framed = [chunk(part, draw(EXTENSIONS)) for part in parts]
    return b'transfer-encoding: chunked\r\n\r\n%b0%b\r\n%b\r\n' % (
        b''.join(framed),
        draw(EXTENSIONS),
        draw(TRAILERS),
    )


FRAMINGS = st.one_of(
    st.just(b'\r\n'),
    BODIES.map(
        lambda body: b'content-length: %d\r\n\r\n%b' % (len(body), body)
    ),
    chunked(),
)
DOUBTFUL_FRAMINGS = (
    b'content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n',
    b'content-length: 4\r\ncontent-length: 5\r\n\r\nabcde',
    b'content-length: 4, 4\r\n\r\nabcd',
    b'content-length: +4\r\n\r\nabcd',
    b'content-length: 0x4\r\n\r\nabcd',
    b'content-length : 4\r\n\r\nabcd',
    b'content-length: 4\n\r\nabcd',
    b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: xchunked\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n'
    b'0\r\n\r\n',
    b'transfer-encoding:\x0bchunked\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\n\r\n5;a\nabcde\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\n\r\n-1\r\n\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\n\r\n4\r\nabcdX\r\n0\r\n\r\n',
    b'transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nab',
    b'x-a: b\r\n content-length: 4\r\n\r\nabcd',
    b'x-a: b\rcontent-length: 4\r\n\r\nabcd',
    b'x-a\x00: b\r\n\r\n',
)
HEADERS = st.lists(
    st.sampled_from(
        [
            b'connection: upgrade, http2-settings\r\nupgrade: h2c\r\n'
            b'http2-settings: AAEAAEAA\r\n',
            b'upgrade: websocket\r\nconnection: Upgrade\r\n',
            b'connection: upgrade\r\nupgrade: a/1, b\r\nupgrade: c\r\n',
            b'upgrade: h2c\r\n',
            b'connection: upgrade\r\n',
            b'connection: keep-alive\r\n',
            b'keep-alive: timeout=5\r\n',
            b'te: trailers\r\n',
            b'trailer: x-a\r\n',
            b'x-empty:\r\n',
            b'x-same: 1\r\nx-same: 2\r\n',
            b'x-space:  \t a b \t\r\n',
            b'X-Upper: \xe9\r\n',
            b'expect: 100-continue\r\n',
            b'x-deadline-ms: 5000\r\n',
        ]
    ),
    max_size=4,
).map(b''.join)
TARGETS = st.sampled_from(
    [b'/', b'/a/1', b'/a?', b'/a?b=%20&c', b'//a/../b', b'/a;b=1?c?d']
)
METHODS = st.sampled_from([b'GET', b'POST', b'PUT', b'DELETE', b'PATCH'])
STARTS = st.builds(b'%b %b HTTP/1.1\r\n'.__mod__, st.tuples(METHODS, TARGETS))
PROPER = st.builds(
    lambda start, headers, framing: Message(start, headers + framing, True),
    STARTS,
    HEADERS,
    FRAMINGS,
)
DOUBTFUL = st.builds(
    lambda start, headers, framing: Message(start, headers + framing, False),
    STARTS,
    HEADERS,
    st.sampled_from(DOUBTFUL_FRAMINGS),
)
SESSIONS = st.tuples(
    st.lists(
        st.one_of(PROPER, PROPER, PROPER, DOUBTFUL), min_size=1, max_size=4
    ),
    st.lists(st.floats(0, 1, exclude_max=True), max_size=4),
)


def read_calls(connection: h11.Connection) -> Iterator[Call]:
    """Yield the calls that are complete; answer each without a body."""
    while True:
        event = connection.next_event()
        if not isinstance(event, h11.Request):
            return
        request, body = event, b''
        event = connection.next_event()
        while isinstance(event, h11.Data):
            body += event.data
            event = connection.next_event()
        if not isinstance(event, h11.EndOfMessage):
            return
        request_id = dict(request.headers).get(ID, b'')
        yield Call(request_id, request.method, request.target, body)
        if connection.their_state is h11.MUST_CLOSE:
            return
        empty = [('content-length', '0')]
        connection.send(h11.Response(status_code=200, headers=empty))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()


def entitled_calls(session: bytes) -> list[Call]:
    """Return the calls that the bytes of a session mean."""
    connection = h11.Connection(
        h11.SERVER, max_incomplete_event_size=READ_BYTES
    )
    connection.receive_data(session)
    calls = []
    try:
        for call in read_calls(connection):
            calls.append(call)
    except h11.RemoteProtocolError:
        return calls
    return calls


class RecordingUpstream:
    """Records the calls that it gets, and answers each with its ID."""

    def __init__(self) -> None:
        self.name = 'i-framing'
        self.slots = SLOTS
        self.port = 0
        self.calls: list[Call] = []
        self.errors: list[str] = []

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            while True:
                call = await self._read_call(connection, stream)
                if call is None:
                    return
                await stream.send(self._answer(call))
                connection.send(
                    h11.Response(
                        status_code=200, headers=[('content-length', '0')]
                    )
                )
                connection.send(h11.EndOfMessage())
                connection.start_next_cycle()

    async def _read_call(
        self, connection: h11.Connection, stream: SocketStream
    ) -> Call | None:
        try:
            head = await _next_event(connection, stream)
            event = await _next_event(connection, stream)
            body = b''
            while isinstance(event, h11.Data):
                body += event.data
                event = await _next_event(connection, stream)
        except h11.RemoteProtocolError as error:
            self.errors.append(str(error))
            return None
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return None
        request_id = dict(head.headers).get(ID, b'')
        return Call(request_id, head.method, head.target, body)

    def _answer(self, call: Call) -> bytes:
        if call.target == b'/healthz':
            return (
                b'HTTP/1.1 200 OK\r\nx-instance-id: %b\r\n'
                b'x-backend-load: 0,0,%d,100\r\ncontent-length: 0\r\n\r\n'
                % (self.name.encode(), self.slots)
            )
        self.calls.append(call)
        return (
            b'HTTP/1.1 200 OK\r\n%b: %b\r\nx-response-signature: 1\r\n'
            b'content-length: 0\r\n\r\n' % (ID, call.request_id)
        )


async def _next_event(connection: h11.Connection, stream: SocketStream) -> Any:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        connection.receive_data(await stream.receive())
        event = connection.next_event()
    return event


class Stage:
    """A daemon with one upstream, and the sessions that are sent to it."""

    def __init__(
        self, fleet: FleetDeployment, upstream: RecordingUpstream, node: Node
    ) -> None:
        self.fleet = fleet
        self.upstream = upstream
        self.node = node
        self.next_id = 0

    async def play(self, messages: list[Message], cuts: list[float]) -> None:
        """Send a session, and compare what has run with what was sent."""
        first_id = self.next_id
        self.next_id += len(messages)
        session = b''.join(
            message.encode(first_id + index)
            for index, message in enumerate(messages)
        )
        self.upstream.calls.clear()
        responses = await self._send(session, cuts, len(messages))
        entitled = entitled_calls(session)
        ran = self.upstream.calls
        assert not self.upstream.errors
        assert all(call in entitled for call in ran), (ran, entitled)
        assert len({call.request_id for call in ran}) == len(ran)
        proper = _leading_proper(messages)
        assert entitled[:proper] == ran[:proper], (
            ran,
            entitled,
            responses,
            session,
            cuts,
        )
        _check_responses(responses, ran, first_id)

    async def _send(
        self, session: bytes, cuts: list[float], count: int
    ) -> list[tuple[int, bytes]]:
        """Return the status and the ID of each response."""
        ends = sorted({int(cut * len(session)) for cut in cuts})
        responses = b''
        async with await anyio.connect_tcp(*self.node.caller_address) as stream:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_parts, stream, session, ends)
                with anyio.move_on_after(MAX_SECONDS):
                    responses = await _receive(stream, count)
                tasks.cancel_scope.cancel()
        return _split(responses)


async def _send_parts(
    stream: SocketStream, session: bytes, ends: list[int]
) -> None:
    start = 0
    try:
        for end in (*ends, len(session)):
            await stream.send(session[start:end])
            await anyio.sleep(PACKET_PAUSE_SECONDS)
            start = end
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def _receive(stream: SocketStream, count: int) -> bytes:
    """Read until all responses have come, or nothing more does."""
    received = b''
    while len(_split(received)) < count:
        try:
            with anyio.fail_after(QUIET_SECONDS):
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
            return received
    return received


def _split(received: bytes) -> list[tuple[int, bytes]]:
    """Return the status and the ID of each final response."""
    found = []
    for head in received.split(b'HTTP/1.1 ')[1:]:
        status = int(head[:3])
        if status < 200 or b'\r\n\r\n' not in head:
            continue
        lines = head.partition(b'\r\n\r\n')[0].split(b'\r\n')
        pairs = dict(line.split(b': ', 1) for line in lines[1:])
        found.append((status, pairs.get(ID, b'')))
    return found


def _leading_proper(messages: list[Message]) -> int:
    """Return how many messages must run, up to the first doubtful one."""
    for index, message in enumerate(messages):
        if not message.is_proper:
            return index
    return len(messages)


def _check_responses(
    responses: list[tuple[int, bytes]], ran: list[Call], first_id: int
) -> None:
    """Each response is that of its call, in order."""
    served = [request_id for status, request_id in responses if status == 200]
    assert served == [call.request_id for call in ran][: len(served)]
    for index, (_, request_id) in enumerate(responses):
        assert request_id in {b'', b'%d' % (first_id + index)}


@pytest.fixture
def stage(tmp_path: pathlib.Path) -> Generator[tuple[BlockingPortal, Stage]]:
    with start_blocking_portal() as portal:
        with portal.wrap_async_context_manager(
            FleetDeployment(tmp_path)
        ) as fleet:
            yield portal, portal.call(start_stage, fleet)


async def start_stage(fleet: FleetDeployment) -> Stage:
    upstream = RecordingUpstream()
    await fleet.tasks.start(upstream.serve)
    listed: Any = upstream
    fleet.list_backend(listed, 'shop', DOMAINS[0])
    fleet.configure({'all': route('shop', is_idempotent=False)})
    return Stage(fleet, upstream, await fleet.add_node(DOMAINS[0]))


class TestFraming:
    @pytest.mark.parametrize('framing', DOUBTFUL_FRAMINGS)
    def test_doubtful_message_leaves_earlier_ones_their_answers(
        self, stage: tuple[BlockingPortal, Stage], framing: bytes
    ) -> None:
        """An earlier call was answered 400, and was cut at its upstream.

        A body with a second coding ran without it.
        """
        start = b'POST /a HTTP/1.1\r\n'
        proper = Message(start, b'content-length: 2\r\n\r\nab', True)
        doubtful = Message(start, framing, False)
        portal, played = stage
        portal.call(played.play, [proper, doubtful, proper], [])
        portal.call(played.play, [doubtful], [])

    def test_what_runs_is_what_was_sent(
        self,
        stage: tuple[BlockingPortal, Stage],
        request: pytest.FixtureRequest,
    ) -> None:
        """Bodies were lost or run as calls beside an offer of a protocol."""
        portal, played = stage
        is_long = request.config.getoption('--soak')
        limits = settings(
            max_examples=SOAK_EXAMPLES if is_long else EXAMPLES,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        drawn_seed = request.config.getoption('--soak-seed')

        def check(session: tuple[list[Message], list[float]]) -> None:
            portal.call(played.play, *session)

        if drawn_seed is not None:
            limits = settings(limits, derandomize=False)
        run = given(SESSIONS)(check)
        if drawn_seed is not None:
            run = seed(drawn_seed)(run)
        limits(run)()
