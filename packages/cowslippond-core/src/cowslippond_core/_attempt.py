"""One send of a call to one upstream, and what is certain about its fate."""

from collections.abc import AsyncIterator, Callable
from typing import NamedTuple, TypeAlias

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._connection import Connection
from cowslippond_core._dialect import (
    AnswerMetadata,
    DefaultDialect,
    Dialect,
    NotRunReason,
    SendMetadata,
)
from cowslippond_core._exchange import Exchange, ExchangeFault
from cowslippond_core._framing import encode_head, end_to_end, is_chunked
from cowslippond_core._messages import (
    CallAnswer,
    CallRequest,
    TruncatedAnswerError,
)
from cowslippond_core._upstreams import Upstream

_HEAD_METHOD = b'HEAD'
_FIRST_FAILURE_STATUS = 300
_DEFAULT_DIALECT = DefaultDialect()

# A larger body is sent while the answer may already arrive.
_INLINE_BODY_BYTES = 16384

#: How long an upstream may stay silent in the middle of an answer after the
#: caller's deadline, in milliseconds.
BODY_SILENCE_TIMEOUT: Millis = 5000


class Answered(NamedTuple):
    """The upstream answered."""

    answer: CallAnswer
    attempt: 'Attempt'


class NotRun(NamedTuple):
    """The upstream did not run the call and never will."""

    reason: NotRunReason


class AnswerLost(NamedTuple):
    """The upstream may have run the call, but its answer will not come."""

    fault: ExchangeFault


AttemptResult: TypeAlias = Answered | NotRun | AnswerLost


class AnswerChunks:
    """The body of an answer, taken by the caller as it arrives.

    :param attempt: the send whose answer it is.
    """

    def __init__(self, attempt: 'Attempt') -> None:
        self.attempt = attempt

    def __aiter__(self) -> 'AnswerChunks':
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next bytes.

        :raises TruncatedAnswerError: if the upstream breaks off.
        """
        attempt = self.attempt
        exchange = attempt.exchange
        chunk = await attempt.next_chunk()
        if chunk:
            return chunk
        attempt.end()
        if exchange.is_complete:
            raise StopAsyncIteration
        raise TruncatedAnswerError(attempt.upstream.address)

    async def aclose(self) -> None:
        """Stop taking the body; what still runs is cancelled."""
        self.attempt.end()


class Attempt:
    """One send of a call to one upstream.

    :param upstream: where it goes.
    :param request: the call.
    :param number: the value of the ``x-attempt`` header.
    :param clock: bounds the waits.
    :param is_fresh: whether the call must go on a new connection.
    :param dialect: the headers that the upstream speaks.
    """

    def __init__(
        self,
        upstream: Upstream,
        request: CallRequest,
        number: int,
        clock: Clock,
        *,
        is_fresh: bool,
        dialect: Dialect = _DEFAULT_DIALECT,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.number = number
        self.clock = clock
        self.dialect = dialect
        self.facts = AnswerMetadata()
        self.sent_at: Millis = clock.now()
        self.connection: Connection | None = None
        self.is_fresh = is_fresh or not request.is_idempotent
        self.is_reused = False
        self.is_ended = False
        self.on_end: Callable[[], None] | None = None
        self.exchange = Exchange(
            is_head=request.method == _HEAD_METHOD,
            allows_close_delimited=dialect.allows_close_delimited,
        )
        upstream.in_flight += 1

    async def start(self) -> NotRun | None:
        """Send the call, unless that has been done.

        :return: why the call was certainly not run, if it wasn't.
        """
        if self.connection is not None:
            return None
        try:
            return await self._start()
        except BaseException:
            self.end()
            raise

    async def wait(self, until: Millis) -> AttemptResult | None:
        """Wait for the answer's headers.

        :param until: when to stop waiting, on the clock, in milliseconds.
        :return: the result, or ``None`` if it is still open.
        """
        span = until - self.clock.now()
        with anyio.move_on_after(seconds_of(max(span, 0))):
            await self.exchange.wait_head()
        if self.exchange.has_head:
            return self._read_head()
        return self._answer_lost()

    async def wait_buffered(self, until: Millis) -> AttemptResult | None:
        """Wait for the whole answer, or as much of it as may be held.

        :param until: when to stop waiting, on the clock, in milliseconds.
        :return: the result, or ``None`` if it is still open.
        """
        span = until - self.clock.now()
        with anyio.move_on_after(seconds_of(max(span, 0))):
            await self.exchange.wait_buffered()
        if self.exchange.is_buffered:
            return self._read_head()
        return self._answer_lost()

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the answer's body; none at its end."""
        exchange = self.exchange
        if exchange.chunks or exchange.is_complete:
            return await exchange.next_chunk()
        timeout = max(
            self.request.deadline - self.clock.now(), BODY_SILENCE_TIMEOUT
        )
        try:
            with anyio.fail_after(seconds_of(timeout)):
                return await exchange.next_chunk()
        except TimeoutError:
            exchange.record_fault(ExchangeFault.TIMEOUT)
        except BaseException:
            self.end()
            raise
        return b''

    def end(self) -> None:
        """Free the connection; one whose answer is not whole is closed."""
        if self.is_ended:
            return
        self.is_ended = True
        self.upstream.in_flight -= 1
        if self.connection is not None:
            self._release_connection(self.connection)
        if self.on_end is not None:
            self.on_end()

    def call_when_ended(self, callback: Callable[[], None]) -> None:
        """Call back once, when the answer is whole or given up."""
        if self.is_ended:
            callback()
            return
        self.on_end = callback

    def _release_connection(self, connection: Connection) -> None:
        connections = self.upstream.connections
        if not self.exchange.has_head:
            connections.record_silent_call(connection, self.sent_at)
        connections.end_call(connection)

    async def _start(self) -> NotRun | None:
        acquired = await self.upstream.connections.acquire(
            is_fresh=self.is_fresh
        )
        if acquired.is_error():
            self.end()
            return NotRun(NotRunReason.CONNECT_FAILED)
        connection = acquired.ok
        # A process that was paused since its call was admitted or claimed
        # must not send it after the deadline that others were told.
        if self.clock.now() >= self.request.deadline:
            connection.close()
            self.end()
            return NotRun(NotRunReason.DEADLINE)
        self.connection = connection
        self.is_reused = connection.calls > 0
        connection.begin_call(self.exchange)
        await self._send(connection)
        return None

    async def _send(self, connection: Connection) -> None:
        request = self.request
        self.sent_at = self.clock.now()
        remaining = request.deadline - self.sent_at
        facts = SendMetadata(remaining, self.number, self.upstream.vm.name)
        head = encode_head(request, facts, self.dialect)
        if request.rest is None and len(request.body) <= _INLINE_BODY_BYTES:
            await connection.send(head + request.body)
            return
        await connection.send(head)
        connection.start_sending_rest(
            self.upstream.connections.tasks,
            _body_parts(request),
            is_chunked=is_chunked(request),
        )

    def _answer_lost(self) -> AnswerLost | None:
        if self.exchange.fault is None:
            return None
        self.end()
        return AnswerLost(self.exchange.fault)

    def _read_head(self) -> AttemptResult:
        exchange = self.exchange
        headers = tuple(exchange.headers)
        self.facts = self.dialect.read_answer(exchange.status, headers)
        if self.facts.idle_timeout is not None:
            self.upstream.connections.update_idle_timeout(
                self.facts.idle_timeout
            )
        if not self._is_own_answer():
            exchange.is_reusable = False
            self.end()
            return AnswerLost(ExchangeFault.FRAMING)
        if self.facts.not_run is not None:
            self.end()
            return NotRun(self.facts.not_run)
        if exchange.is_complete:
            self.end()
        answer = CallAnswer(
            exchange.status, end_to_end(headers), AnswerChunks(self)
        )
        return Answered(answer, self)

    def _is_own_answer(self) -> bool:
        """Tell whether the answer is the upstream's, and to this call."""
        answered_id = self.facts.request_id
        if (
            answered_id is not None
            and answered_id != self.request.request_id.encode()
        ):
            return False
        is_success = self.exchange.status < _FIRST_FAILURE_STATUS
        return self.facts.is_genuine or not is_success


async def _body_parts(request: CallRequest) -> AsyncIterator[bytes]:
    yield request.body
    if request.rest is None:
        return
    async for part in request.rest:
        yield part
