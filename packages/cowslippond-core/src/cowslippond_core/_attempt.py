"""One send of a call to one upstream, and the result of that attempt."""

import contextlib
import http
import logging
import math
from collections.abc import AsyncGenerator, Callable
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
from cowslippond_core._framing import (
    encode_head,
    end_to_end_headers,
    is_chunked,
)
from cowslippond_core._isolation import run_contained
from cowslippond_core._messages import (
    CallAnswer,
    CallRequest,
    TruncatedAnswerError,
    close_parts,
)
from cowslippond_core._promises import AnswerHead, without_promise
from cowslippond_core._upstreams import Upstream

_logger = logging.getLogger(__name__)

_HEAD_METHOD = b'HEAD'
_FIRST_FAILURE_STATUS = 300
_DEFAULT_DIALECT = DefaultDialect()

# Bodies up to this size are sent together with the headers. A larger body is
# sent in the background, since the answer may arrive before its end.
_INLINE_BODY_BYTES = 16384

# A wait that ends later than this was prolonged by a pause of the process. Its
# input then takes a few cycles of the event loop to get to the call.
_MIN_PAUSE: Millis = 20
_READ_CYCLES = 4

#: How long an upstream may pause in the middle of an answer once the caller's
#: deadline has passed. Before that, the deadline applies if it is further away.
BODY_SILENCE_TIMEOUT: Millis = 5000


class Answered(NamedTuple):
    """The upstream answered."""

    answer: CallAnswer
    attempt: 'Attempt'


class NotRun(NamedTuple):
    """The upstream did not run the call and never will."""

    reason: NotRunReason


class AnswerLost(NamedTuple):
    """The upstream may have run the call, but no answer will arrive."""

    fault: ExchangeFault


AttemptResult: TypeAlias = Answered | NotRun | AnswerLost


class AnswerChunks:
    """Iterate over the body of an answer as it arrives.

    :param attempt: the attempt that received the answer.
    """

    def __init__(self, attempt: 'Attempt') -> None:
        self.attempt = attempt

    def __aiter__(self) -> 'AnswerChunks':
        """Return this iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next bytes.

        :raises TruncatedAnswerError: if the upstream does not complete it.
        """
        attempt = self.attempt
        exchange = attempt.exchange
        chunk = await attempt.next_chunk()
        if chunk:
            return chunk
        attempt.end()
        if exchange.is_complete:
            raise StopAsyncIteration
        fault = exchange.fault or ExchangeFault.CLOSED
        raise TruncatedAnswerError(attempt.upstream.address, fault.value)

    async def aclose(self) -> None:
        """Discard the rest of the body and cancel the call if it still runs."""
        self.attempt.end()


class Attempt:
    """One send of a call to one upstream.

    :param upstream: the upstream to send to.
    :param request: the call.
    :param number: the value of the ``x-attempt`` header.
    :param clock: used to limit waits.
    :param is_fresh: whether the call must use a new connection.
    :param dialect: the header dialect of the upstream.
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
        self.answer_metadata = AnswerMetadata()
        self.has_metadata = False
        self.sent_at: Millis = clock.now()
        self.connection: Connection | None = None
        self.is_fresh = is_fresh or not request.is_idempotent
        self.is_reused = False
        self.is_ended = False
        self.on_end: Callable[[], None] | None = None
        self.limit_scope: anyio.CancelScope | None = None
        self.exchange = Exchange(
            is_head=request.method == _HEAD_METHOD,
            allows_close_delimited=dialect.allows_close_delimited,
        )
        upstream.in_flight += 1

    async def start(self) -> NotRun | None:
        """Send the call, unless it has been sent already.

        :return: the reason if the call certainly did not run, else ``None``.
        """
        if self.connection is not None:
            return None
        try:
            return await self._start()
        except BaseException:
            self.end()
            raise

    async def wait(self, until: Millis) -> AttemptResult | None:
        """Wait for the headers of the answer.

        :param until: clock time at which to stop waiting.
        :return: the result, or ``None`` if it is not known yet.
        """
        span = until - self.clock.now()
        with anyio.move_on_after(seconds_of(max(span, 0))):
            await self.exchange.wait_head()
        await self._read_after_pause(until)
        if self.exchange.has_head:
            return self._read_head()
        return self._answer_lost()

    async def wait_buffered(self, until: Millis) -> AttemptResult | None:
        """Wait for the whole answer, or until its buffer is full.

        :param until: clock time at which to stop waiting.
        :return: the result, or ``None`` if it is not known yet.
        """
        span = until - self.clock.now()
        with anyio.move_on_after(seconds_of(max(span, 0))):
            await self.exchange.wait_buffered()
        await self._read_after_pause(until)
        if self.exchange.is_buffered:
            return self._read_head()
        return self._answer_lost()

    async def _read_after_pause(self, until: Millis) -> None:
        """Let the reading task read what arrived while the process was paused.

        The event loop runs expired timers before it reads from sockets.
        """
        if self.clock.now() - until < _MIN_PAUSE:
            return
        for _ in range(_READ_CYCLES):
            await anyio.lowlevel.checkpoint()

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body, or ``b''`` at its end."""
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

    def limit_answer(self, until: Millis) -> None:
        """End the attempt at a time by which its answer is not complete.

        The answer is already being passed on then, at the pace of its reader.
        A complete answer is delivered later as well.

        :param until: clock time in milliseconds; infinite for no limit.
        """
        if self.is_ended or math.isinf(until):
            return
        self.limit_scope = anyio.CancelScope()
        self.upstream.connections.tasks.start_soon(
            run_contained, self._end_at, until, self.limit_scope
        )

    async def _end_at(self, until: Millis, scope: anyio.CancelScope) -> None:
        with scope:
            await self.clock.sleep(until - self.clock.now())
            await self._read_after_pause(until)
            if self.exchange.is_complete:
                return
            # Otherwise the upstream waits for the reader of the answer.
            is_upstream_slow = not self.exchange.is_buffered
            self.exchange.record_fault(ExchangeFault.TIMEOUT)
            self.end()
            if is_upstream_slow:
                self.upstream.failures.record(self.clock.now(), is_failure=True)

    def end(self) -> None:
        """End the attempt and release its connection.

        A connection whose answer is incomplete is closed.
        """
        if self.is_ended:
            return
        self.is_ended = True
        if self.limit_scope is not None:
            self.limit_scope.cancel()
        if self.exchange.has_head:
            self._read_metadata()
        self.upstream.in_flight -= 1
        if self.connection is not None:
            self._release_connection(self.connection)
        if self.on_end is not None:
            self.on_end()

    def call_when_ended(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, when the attempt ends.

        The callback runs at once if the attempt has ended already.
        """
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
        # The process may have been suspended since the call was admitted or
        # claimed. Other processes rely on the deadline, so the call must not
        # be sent after it.
        obstacle = self._find_obstacle()
        if obstacle is not None:
            connection.close()
            self.end()
            return NotRun(obstacle)
        self.connection = connection
        self.is_reused = connection.calls > 0
        connection.begin_call(self.exchange)
        await self._send(connection)
        return None

    def _find_obstacle(self) -> NotRunReason | None:
        if self.clock.now() >= self.request.deadline:
            return NotRunReason.DEADLINE
        if self.request.is_revoked():
            return NotRunReason.KEY_REVOKED
        return None

    async def _send(self, connection: Connection) -> None:
        request = self.request
        self.sent_at = self.clock.now()
        remaining = request.deadline - self.sent_at
        metadata = SendMetadata(
            remaining, self.number, self.upstream.vm.name, request.workspace
        )
        head = encode_head(request, metadata, self.dialect)
        if request.rest is None and len(request.body) <= _INLINE_BODY_BYTES:
            await connection.send(head + request.body)
            return
        await connection.send(head)
        if request.rest is not None:
            connection.limit_send_buffer()
        connection.start_sending_rest(
            self.upstream.connections.tasks,
            _body_parts(request),
            self.upstream.connections.release,
            is_chunked=is_chunked(request),
        )

    def _answer_lost(self) -> AnswerLost | None:
        if self.exchange.fault is None:
            return None
        self.end()
        return AnswerLost(self.exchange.fault)

    def _read_head(self) -> AttemptResult:
        exchange = self.exchange
        self._read_metadata()
        if self.answer_metadata.idle_timeout is not None:
            self.upstream.connections.update_idle_timeout(
                self.answer_metadata.idle_timeout
            )
        if not self._is_own_answer():
            exchange.is_reusable = False
            self.end()
            return AnswerLost(ExchangeFault.FRAMING)
        not_run = _not_run_reason(self)
        if not_run is not None:
            self.end()
            return NotRun(not_run)
        if exchange.is_complete:
            self.end()
        status, headers = _forwarded_head(self)
        return Answered(CallAnswer(status, headers, AnswerChunks(self)), self)

    def _read_metadata(self) -> None:
        if self.has_metadata:
            return
        self.has_metadata = True
        self.answer_metadata = self.dialect.read_answer(
            self.exchange.status, tuple(self.exchange.headers)
        )

    def _is_own_answer(self) -> bool:
        """Return whether this upstream sent the answer, and to this call."""
        answered_id = self.answer_metadata.request_id
        if answered_id is None:
            # A late copy of a probe's answer has no ID.
            if self.is_reused and self.dialect.echoes_request_id:
                return False
        elif answered_id != self.request.request_id.encode():
            return False
        is_success = self.exchange.status < _FIRST_FAILURE_STATUS
        return self.answer_metadata.is_genuine or not is_success


def _not_run_reason(attempt: Attempt) -> NotRunReason | None:
    """Return why the upstream has not run the call, if it says so.

    A VM that a call is not addressed to does not run it, so an answer that names
    another VM needs no further mark.
    """
    metadata = attempt.answer_metadata
    if metadata.not_run is not None:
        return metadata.not_run
    if attempt.exchange.status != http.HTTPStatus.MISDIRECTED_REQUEST:
        return None
    if metadata.vm in {None, attempt.upstream.vm.name}:
        return None
    return NotRunReason.OTHER_VM


def _forwarded_head(attempt: Attempt) -> AnswerHead:
    received = AnswerHead(
        attempt.exchange.status, end_to_end_headers(attempt.exchange.headers)
    )
    forwarded = without_promise(received, attempt.dialect.vouching_headers)
    if forwarded.status != received.status:
        _logger.info(
            'upstream refused a call but did not state that it has not run',
            extra={
                'request_id': attempt.request.request_id,
                'upstream': attempt.upstream.vm.name,
                'status': received.status,
                'forwarded_status': forwarded.status,
            },
        )
    return forwarded


async def _body_parts(request: CallRequest) -> AsyncGenerator[bytes, None]:
    if request.rest is None:
        yield request.body
        return
    async with contextlib.AsyncExitStack() as at_end:
        at_end.push_async_callback(close_parts, request.rest)
        yield request.body
        async for part in request.rest:
            yield part
