"""The caller-facing edge: reads calls and writes answers over ASGI."""

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

_log = logging.getLogger(__name__)

_OUTCOME = header_names.OUTCOME.encode()
_REASON = header_names.REASON.encode()
_RETRY_AFTER = header_names.RETRY_AFTER.encode()
_REQUEST_ID = header_names.REQUEST_ID.encode()
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
        RefusalReason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.KEY_IN_PROGRESS: http.HTTPStatus.CONFLICT,
    }
)
_STATUS_OF_OUTCOME = MappingProxyType(
    {
        Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.FAILED: http.HTTPStatus.BAD_GATEWAY,
        Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    }
)


# Another daemon takes the call as soon as its caller asks again.
_STOPPING_RETRY_AFTER: Millis = 50
_STOPPING_REFUSAL = CallRefusal(
    Outcome.NOT_RUN, RefusalReason.NOT_READY, _STOPPING_RETRY_AFTER
)


class IncomingCall(NamedTuple):
    """A call as it was read from a caller's connection.

    ``body`` holds the first bytes of the body; ``rest`` yields the others, or
    is ``None`` if ``body`` is whole.
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
        for present, text in self.headers:
            if present == name:
                return text
        return None


def encode_whole_seconds(delay: Millis) -> bytes:
    """Return a time to come back in whole seconds, one at least."""
    return b'%d' % max(1, -(-int(delay) // _MILLIS_PER_SECOND))


class CallHandler(Protocol):
    """Whatever decides on a call."""

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Return the answer of an upstream, or a refusal."""


class Edge:
    """The ASGI application that callers talk to.

    :param router: decides on each call.
    :param keep_alive_seconds: how long an idle connection stays open at least,
        announced to callers.
    :param encode_delay: writes the time after which a caller may come back;
        whole seconds unless its callers read fractions.
    """

    def __init__(
        self,
        router: CallHandler,
        keep_alive_seconds: int,
        encode_retry_after: Callable[[Millis], bytes] = encode_whole_seconds,
    ) -> None:
        self.router = router
        self.encode_retry_after = encode_retry_after
        self.is_leaving = False
        self.refuses_calls = False
        self.active_calls = 0
        self.advertise_keep_alive(keep_alive_seconds)

    def advertise_keep_alive(self, seconds: int) -> None:
        """Tell callers from now on how long an idle connection stays open."""
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
        call = await _read_call(scope, reader)
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
            # The server closes the connection of an answer that was not
            # completed, so the caller sees that it was cut short.
            _log.warning(
                'answer broke off',
                extra={
                    'request_id': call.request_id,
                    'error': str(broken.exceptions[0]),
                },
            )
        except* CallerDisconnectedError:
            _log.info('caller left', extra={'request_id': call.request_id})

    async def _answer(self, call: IncomingCall, send: Send) -> None:
        if self.refuses_calls:
            _log.info('call refused', extra={'request_id': call.request_id})
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
        headers = (
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
            (_OUTCOME, refusal.outcome.encode()),
            (_REASON, refusal.reason.encode()),
            (_RETRY_AFTER, self.encode_retry_after(refusal.retry_after_ms)),
        )
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
        kept = [
            (name, text)
            for name, text in headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() != _REQUEST_ID
        ]
        kept.append((_REQUEST_ID, call.request_id.encode()))
        if self.is_leaving or call.rest is not None:
            kept.append((b'connection', b'close'))
        else:
            kept.append((b'keep-alive', self.keep_alive))
        return kept


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its call was whole."""


class _BodyReader:
    """Reads the body of a call from the server."""

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.is_complete = False

    async def read(self) -> bytes:
        """Return the next bytes of the body.

        :raises CallerLeftError: if the caller closed its connection.
        """
        message = await self.receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        self.is_complete = not message.get('more_body', False)
        chunk: bytes = message.get('body', b'')
        return chunk

    async def rest(self, buffered: bytes) -> AsyncIterator[bytes]:
        """Yield the rest of the body.

        :param surplus: bytes of it that were read already.
        """
        yield buffered
        while not self.is_complete:
            yield await self.read()


async def _read_call(
    scope: Message, reader: _BodyReader
) -> IncomingCall | None:
    kept = bytearray()
    try:
        while not reader.is_complete and len(kept) <= _MAX_BUFFERED_BODY_BYTES:
            kept += await reader.read()
    except CallerDisconnectedError:
        return None
    # Split at one place however the body arrives, so that repeats compare equal.
    surplus = bytes(kept[_MAX_BUFFERED_BODY_BYTES:])
    headers: HeaderList = tuple(scope['headers'])
    target: bytes = scope['raw_path']
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    call = IncomingCall(
        request_id='',
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=headers,
        body=bytes(kept[:_MAX_BUFFERED_BODY_BYTES]),
        rest=reader.rest(surplus) if surplus else None,
    )
    given = call.get_header(_REQUEST_ID)
    request_id = given.decode('latin-1') if given else uuid.uuid4().hex
    return call._replace(request_id=request_id)


def _set_outcome_header(status: int, headers: HeaderList) -> HeaderList:
    """Return the headers of an upstream's answer with its true outcome.

    An upstream that answered ran the call, whatever it claims itself.
    """
    kept = tuple(pair for pair in headers if pair[0].lower() != _OUTCOME)
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return kept
    return (*kept, (_OUTCOME, Outcome.FAILED.encode()))


class _DisconnectWatch:
    """Cancels a call whose caller closes its connection before the answer.

    The server reports the end of an answer in the same way, so the watch ends
    by itself; a cancelled task for each call would cost more than the call.
    """

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.is_answered = False

    async def run(self, scope: anyio.CancelScope) -> None:
        """Watch until the call is over or its caller has left."""
        message = await self.receive()
        while message['type'] != 'http.disconnect':
            message = await self.receive()
        if not self.is_answered:
            scope.cancel()
