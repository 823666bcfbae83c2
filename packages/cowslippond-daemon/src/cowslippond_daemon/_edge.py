"""The ASGI application for callers: reads calls and sends responses."""

import contextlib
import http
import logging
import uuid
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    MutableMapping,
)
from types import MappingProxyType
from typing import Any, NamedTuple, Protocol, TypeAlias

import anyio
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    HeaderList,
    Millis,
    Outcome,
    RefusalReason,
    TruncatedAnswerError,
)
from cowslippond_core import _headers as header_names

Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]

_logger = logging.getLogger(__name__)

_OUTCOME = header_names.OUTCOME.encode()
_REASON = header_names.REASON.encode()
_RETRY_AFTER = header_names.RETRY_AFTER.encode()
_REQUEST_ID = header_names.REQUEST_ID.encode()
# Callers authenticate with the header ``Authorization: Token KEY``.
_CHALLENGE = (b'www-authenticate', b'Token')
_MAX_BUFFERED_BODY_BYTES = 65536
_MILLIS_PER_SECOND = 1000
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'transfer-encoding',
        b'proxy-connection',
        b'upgrade',
        b'te',
        b'trailer',
    )
)
_STATUS_OF_REASON = MappingProxyType(
    {
        RefusalReason.NO_SERVICE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
        RefusalReason.NO_CALLER: http.HTTPStatus.BAD_REQUEST,
        RefusalReason.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
        RefusalReason.KEY_REVOKED: http.HTTPStatus.UNAUTHORIZED,
        RefusalReason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.KEY_IN_PROGRESS: http.HTTPStatus.CONFLICT,
        RefusalReason.OVER_QUOTA: http.HTTPStatus.TOO_MANY_REQUESTS,
    }
)
_STATUS_OF_OUTCOME = MappingProxyType(
    {
        Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.FAILED: http.HTTPStatus.BAD_GATEWAY,
        Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    }
)


# Another daemon can serve the call as soon as its caller retries.
_STOPPING_RETRY_AFTER: Millis = 50
_STOPPING_REFUSAL = CallRefusal(
    Outcome.NOT_RUN, RefusalReason.NOT_READY, _STOPPING_RETRY_AFTER
)


class IncomingCall(NamedTuple):
    """A call as read from a caller's connection.

    ``body`` holds the start of the body; ``rest`` yields the remainder, or is
    ``None`` if ``body`` is complete.
    """

    request_id: str
    method: str
    path: str
    target: bytes
    headers: HeaderList
    body: bytes
    rest: AsyncIterator[bytes] | None

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None`` if it is absent.

        :param name: in lower case.
        """
        return _find_header(self.headers, name)


def _find_header(headers: HeaderList, name: bytes) -> bytes | None:
    for present, text in headers:
        if present == name:
            return text
    return None


def encode_whole_seconds(delay: Millis) -> bytes:
    """Encode a ``Retry-After`` delay in seconds, rounded up, at least 1."""
    return b'%d' % max(1, -(-int(delay) // _MILLIS_PER_SECOND))


class CallHandler(Protocol):
    """Serves calls that the edge has read."""

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Return the response of an upstream, or a refusal."""


class Edge:
    """The ASGI application that callers connect to.

    :param router: serves each call.
    :param keep_alive_seconds: the least time that an idle connection stays
        open, advertised to callers.
    :param encode_retry_after: encodes the delay after which a caller may
        retry; whole seconds unless the callers accept fractions.
    :param check_call: returns a refusal for a call whose body is not to be
        read; it is called with a call that has no body yet.
    """

    def __init__(
        self,
        router: CallHandler,
        keep_alive_seconds: int,
        encode_retry_after: Callable[[Millis], bytes] = encode_whole_seconds,
        check_call: Callable[[IncomingCall], CallRefusal | None] | None = None,
    ) -> None:
        self.router = router
        self.check_call = check_call
        self.encode_retry_after = encode_retry_after
        self.is_leaving = False
        self.refuses_calls = False
        self.active_calls = 0
        self.advertise_keep_alive(keep_alive_seconds)

    def advertise_keep_alive(self, seconds: int) -> None:
        """Change the keep-alive time that responses advertise."""
        self.keep_alive = b'timeout=%d' % seconds

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        self.active_calls += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_call)
            await self._serve(scope, receive, send)

    def _end_call(self) -> None:
        self.active_calls -= 1

    async def _serve(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        reader = _BodyReader(receive)
        head = _read_head(scope)
        refusal = self.check_call(head) if self.check_call else None
        if refusal is not None:
            if _may_be_long(head):
                head = head._replace(rest=reader.rest(b''))
            await self._send_refusal(head, refusal, send)
            return
        call = await _read_call(head, reader)
        if call is None:
            return
        watch = _DisconnectWatch(receive)
        try:
            async with anyio.create_task_group() as group:
                if call.rest is None:
                    group.start_soon(watch.run, group.cancel_scope)
                await self._answer(call, send)
                watch.is_answered = True
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
        except* CallerDisconnectedError:
            _logger.info(
                'caller disconnected', extra={'request_id': call.request_id}
            )

    async def _answer(self, call: IncomingCall, send: Send) -> None:
        if self.refuses_calls:
            _logger.info('call refused', extra={'request_id': call.request_id})
            await self._send_refusal(call, _STOPPING_REFUSAL, send)
            return
        reply = await self.router.serve_call(call)
        if isinstance(reply, CallRefusal):
            await self._send_refusal(call, reply, send)
            return
        async with contextlib.aclosing(reply.chunks):
            await self._send_answer(call, reply, send)

    async def _send_answer(
        self, call: IncomingCall, reply: CallAnswer, send: Send
    ) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': self._response_headers(
                    call, _set_outcome_header(reply.status, reply.headers)
                ),
            }
        )
        async for chunk in reply.chunks:
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        await send({'type': 'http.response.body', 'body': b''})

    async def _send_refusal(
        self, call: IncomingCall, refusal: CallRefusal, send: Send
    ) -> None:
        text = f'{refusal.outcome}: {refusal.reason}\n'.encode()
        status = _STATUS_OF_REASON.get(
            refusal.reason, _STATUS_OF_OUTCOME[refusal.outcome]
        )
        headers: HeaderList = (
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
            (_OUTCOME, refusal.outcome.encode()),
            (_REASON, refusal.reason.encode()),
            (_RETRY_AFTER, self.encode_retry_after(refusal.retry_after_ms)),
        )
        if status == http.HTTPStatus.UNAUTHORIZED:
            headers = (*headers, _CHALLENGE)
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': self._response_headers(call, headers),
            }
        )
        await send({'type': 'http.response.body', 'body': text})

    def _response_headers(
        self, call: IncomingCall, headers: HeaderList
    ) -> list[tuple[bytes, bytes]]:
        forwarded = [
            (name, text)
            for name, text in headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() != _REQUEST_ID
        ]
        forwarded.append((_REQUEST_ID, call.request_id.encode()))
        if self.is_leaving or call.rest is not None:
            forwarded.append((b'connection', b'close'))
        else:
            forwarded.append((b'keep-alive', self.keep_alive))
        return forwarded


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the whole call was read."""


class _BodyReader:
    """Reads the body of a call from the server."""

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.is_complete = False

    async def read(self) -> bytes:
        """Return the next chunk of the body.

        :raises CallerDisconnectedError: if the caller closed its connection.
        """
        message = await self.receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        self.is_complete = not message.get('more_body', False)
        chunk: bytes = message.get('body', b'')
        return chunk

    async def rest(self, buffered: bytes) -> AsyncIterator[bytes]:
        """Yield the rest of the body.

        :param buffered: the part of it that was read already.
        """
        yield buffered
        while not self.is_complete:
            yield await self.read()


def _read_head(scope: Message) -> IncomingCall:
    target: bytes = scope['raw_path']
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    headers: HeaderList = tuple(scope['headers'])
    supplied_id = _find_header(headers, _REQUEST_ID)
    return IncomingCall(
        request_id=supplied_id.decode('latin-1')
        if supplied_id
        else uuid.uuid4().hex,
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=headers,
        body=b'',
        rest=None,
    )


def _may_be_long(head: IncomingCall) -> bool:
    """Tell whether the unread body is too long to let it arrive.

    A shorter body is discarded as it arrives, and the connection stays open. The
    caller may also be waiting for leave to send the body; whether it sends it
    after a refusal cannot be known, so that connection is closed as well.
    """
    if head.get_header(b'transfer-encoding') or head.get_header(b'expect'):
        return True
    length = int(head.get_header(b'content-length') or 0)
    return length > _MAX_BUFFERED_BODY_BYTES


async def _read_call(
    head: IncomingCall, reader: _BodyReader
) -> IncomingCall | None:
    buffer = bytearray()
    try:
        while (
            not reader.is_complete and len(buffer) <= _MAX_BUFFERED_BODY_BYTES
        ):
            buffer += await reader.read()
    except CallerDisconnectedError:
        return None
    # Always split the body at the same offset, whatever the chunk sizes, so
    # that repeats of a call have the same fingerprint.
    remainder = bytes(buffer[_MAX_BUFFERED_BODY_BYTES:])
    if not buffer:
        return head
    return head._replace(
        body=bytes(buffer[:_MAX_BUFFERED_BODY_BYTES]),
        rest=reader.rest(remainder) if remainder else None,
    )


def _set_outcome_header(status: int, headers: HeaderList) -> HeaderList:
    """Return the headers of an upstream's response with the actual outcome.

    An upstream that answered has run the call, so its own outcome header is
    dropped. A server error is marked as failed.
    """
    forwarded = tuple(pair for pair in headers if pair[0].lower() != _OUTCOME)
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return forwarded
    return (*forwarded, (_OUTCOME, Outcome.FAILED.encode()))


class _DisconnectWatch:
    """Cancels a call whose caller disconnects before the response is sent.

    The server reports the end of a response in the same way, so the watch ends
    without being cancelled. Cancelling a task for each call would cost more
    than the call itself.
    """

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.is_answered = False

    async def run(self, scope: anyio.CancelScope) -> None:
        """Wait until the call has ended or its caller has disconnected."""
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()
        if not self.is_answered:
            scope.cancel()
