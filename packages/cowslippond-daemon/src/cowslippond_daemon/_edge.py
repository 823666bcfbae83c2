"""The ASGI application for callers: reads calls and sends responses."""

import contextlib
import logging
import uuid
from collections.abc import Callable
from typing import Protocol

import anyio
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    Clock,
    HeaderList,
    Millis,
    Outcome,
    RefusalReason,
    TruncatedAnswerError,
    seconds_of,
)
from cowslippond_core import _headers as header_names

from cowslippond_daemon._caller_body import (
    BodyLimits,
    BodyReader,
    BodyRest,
    BrokenBodyError,
    read_body,
)
from cowslippond_daemon._edge_responses import (
    ResponseSettings,
    ResponseWriter,
    encode_whole_seconds,
)
from cowslippond_daemon._incoming_call import (
    CLOSED_EXTENSION,
    declared_length,
)
from cowslippond_daemon._incoming_call import IncomingCall as IncomingCall
from cowslippond_daemon._incoming_call import Message as Message
from cowslippond_daemon._incoming_call import Receive as Receive
from cowslippond_daemon._incoming_call import Send as Send

_logger = logging.getLogger(__name__)

_REQUEST_ID = header_names.REQUEST_ID.encode()

# Another daemon can serve the call as soon as its caller retries.
_STOPPING_RETRY_AFTER: Millis = 50
_STOPPING_REFUSAL = CallRefusal(
    Outcome.NOT_RUN, RefusalReason.NOT_READY, _STOPPING_RETRY_AFTER
)

# How soon a disconnect is noticed while a slow upstream stops the reading.
_CLOSE_CHECK_INTERVAL: Millis = 500

# The delay after which a caller may send a call again whose body was broken or
# too large.
_BODY_RETRY_AFTER: Millis = 1000


class CallHandler(Protocol):
    """Serves calls that the edge has read."""

    async def check_head(self, call: IncomingCall) -> CallRefusal | None:
        """Return why a call is refused before its body is read, if it is."""

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Return the response of an upstream, or a refusal."""

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Count and log a refusal that :meth:`serve_call` did not return."""


def _never() -> bool:
    return False


def _ignore() -> None:
    """Do nothing; the edge counts no broken bodies."""


class Edge:
    """The ASGI application that callers connect to.

    ``body_limits`` apply to the calls that arrive from now on.

    :param router: serves each call.
    :param keep_alive_seconds: the least time that an idle connection stays
        open, advertised to callers.
    :param encode_retry_after: encodes the delay after which a caller may
        retry; whole seconds unless the callers accept fractions.
    :param count_broken_body: called for each call without a complete body.
    """

    def __init__(
        self,
        router: CallHandler,
        keep_alive_seconds: int,
        encode_retry_after: Callable[[Millis], bytes] = encode_whole_seconds,
        count_broken_body: Callable[[], None] = _ignore,
    ) -> None:
        self.router = router
        self.count_broken_body = count_broken_body
        self.clock = Clock()
        self.encode_retry_after = encode_retry_after
        self.is_leaving = False
        self.refuses_calls = False
        self.running = _RunningCalls()
        self.body_limits = BodyLimits()
        self.advertise_keep_alive(keep_alive_seconds)

    def advertise_keep_alive(self, seconds: int) -> None:
        """Change the keep-alive time that responses advertise."""
        self.settings = ResponseSettings(
            b'timeout=%d' % seconds, self.encode_retry_after
        )

    @property
    def active_calls(self) -> int:
        """The number of calls that are being served."""
        return self.running.count

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        with self.running:
            await self._serve(scope, receive, send)

    async def _serve(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        call = _read_head(scope, self.clock.now())
        extensions = scope.get('extensions') or {}
        reader = BodyReader(
            receive,
            declared_length(call.headers),
            self.body_limits,
            extensions.get(CLOSED_EXTENSION, _never),
        )
        writer = ResponseWriter(self.settings, call, reader, send)
        refusal = await self._check_head(call, reader)
        if refusal is not None:
            self.router.record_refusal(call, refusal)
            await self._send_refusal(writer, refusal)
            return
        with contextlib.suppress(BrokenBodyError):
            call = await read_body(call, reader)
            await self._serve_watched(call, reader, writer)
        if reader.error is not None:
            await self._end_broken(call, reader.error, writer)

    async def _check_head(
        self, call: IncomingCall, reader: BodyReader
    ) -> CallRefusal | None:
        if self.refuses_calls:
            return _STOPPING_REFUSAL
        if reader.length == 0:
            # There is nothing to wait for, and the router checks the head again.
            return None
        refusal = await self.router.check_head(call)
        if refusal is None and (reader.length or 0) > self.body_limits.size:
            return CallRefusal(
                Outcome.NOT_RUN, RefusalReason.BODY_TOO_LARGE, _BODY_RETRY_AFTER
            )
        return refusal

    async def _serve_watched(
        self, call: IncomingCall, reader: BodyReader, writer: ResponseWriter
    ) -> None:
        watch = _DisconnectWatch(reader, call)
        try:
            async with anyio.create_task_group() as group:
                if isinstance(call.rest, BodyRest):
                    call.rest.on_broken = group.cancel_scope.cancel
                group.start_soon(watch.run, group.cancel_scope)
                await self._answer(call, writer)
                watch.is_answered = True
                if isinstance(call.rest, BodyRest):
                    await call.rest.aclose()
                if reader.error is not None:
                    group.cancel_scope.cancel()
        except* TruncatedAnswerError as broken:
            # The server closes the connection after an incomplete response, so
            # the caller can tell that it was truncated.
            _logger.warning(
                'response truncated',
                extra={
                    'request_id': call.request_id,
                    'error': str(broken.exceptions[0]),
                },
            )

    async def _answer(self, call: IncomingCall, writer: ResponseWriter) -> None:
        reply = await self.router.serve_call(call)
        if isinstance(reply, CallRefusal):
            await self._send_refusal(writer, reply)
            return
        async with contextlib.aclosing(reply.chunks):
            await self._send_answer(call, writer, reply)

    async def _send_answer(
        self, call: IncomingCall, writer: ResponseWriter, reply: CallAnswer
    ) -> None:
        self._update_settings(writer)
        await writer.send_answer(reply)
        if isinstance(call.rest, BodyRest) and call.rest.is_started:
            # An upstream that has answered early may still read the body, which
            # the server discards once the response has ended.
            await call.rest.ended.wait()
        await writer.end()

    async def _send_refusal(
        self, writer: ResponseWriter, refusal: CallRefusal
    ) -> None:
        self._update_settings(writer)
        await writer.send_refusal(refusal)

    def _update_settings(self, writer: ResponseWriter) -> None:
        """Close the connection if the daemon has begun to leave."""
        if self.is_leaving:
            writer.settings = writer.settings._replace(keep_alive=b'')

    async def _end_broken(
        self, call: IncomingCall, error: BrokenBodyError, writer: ResponseWriter
    ) -> None:
        """End a call whose body is not complete."""
        self.count_broken_body()
        is_sent = isinstance(call.rest, BodyRest) and call.rest.is_started
        _logger.info(
            'body of a call is not complete',
            extra={
                'request_id': call.request_id,
                'error': str(error),
                'received_bytes': writer.reader.received_bytes,
                'is_partly_sent': is_sent,
            },
        )
        if error.reason is None or writer.is_started:
            return
        refusal = CallRefusal(
            Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN,
            error.reason,
            _BODY_RETRY_AFTER,
        )
        self.router.record_refusal(call, refusal)
        await self._send_refusal(writer, refusal)


def _read_head(scope: Message, arrived_at: Millis) -> IncomingCall:
    headers: HeaderList = tuple(scope['headers'])
    target: bytes = scope['raw_path']
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    return IncomingCall(
        request_id=_find_request_id(headers),
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=headers,
        body=b'',
        rest=None,
        arrived_at=arrived_at,
    )


def _find_request_id(headers: HeaderList) -> str:
    """Return the ID that the caller supplied, or a new one."""
    for name, text in headers:
        if name == _REQUEST_ID:
            return text.decode('latin-1') if text else uuid.uuid4().hex
    return uuid.uuid4().hex


class _RunningCalls:
    """Counts the calls that are being served.

    One object serves all calls: an exit stack for each costs 1 to 2 us.
    """

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_: object) -> None:
        self.count -= 1


class _DisconnectWatch:
    """Cancels a call whose caller disconnects before the response is sent.

    The server reports the end of a response in the same way, so the watch ends
    without being cancelled. Cancelling a task for each call would cost more
    than the call itself.
    """

    def __init__(self, reader: BodyReader, call: IncomingCall) -> None:
        self.reader = reader
        self.call = call
        self.is_answered = False

    async def run(self, scope: anyio.CancelScope) -> None:
        """Wait until the call has ended or its caller has disconnected."""
        if isinstance(self.call.rest, BodyRest):
            await self._watch_body(self.call.rest, scope)
            if not self.reader.is_complete:
                return
        message = await self.reader.receive()
        while message['type'] != 'http.disconnect':
            message = await self.reader.receive()
        if not self.is_answered:
            _logger.info(
                'caller disconnected',
                extra={'request_id': self.call.request_id},
            )
            scope.cancel()

    async def _watch_body(
        self, rest: BodyRest, scope: anyio.CancelScope
    ) -> None:
        """Wait until nobody reads the body, or its caller has disconnected."""
        while not rest.ended.is_set():
            with anyio.move_on_after(seconds_of(_CLOSE_CHECK_INTERVAL)):
                await rest.ended.wait()
            if not rest.ended.is_set() and self.reader.is_closed():
                self.reader.fail(None)
                scope.cancel()
                return
