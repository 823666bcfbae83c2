"""Writes the response to a call through the server's interface."""

import http
from collections.abc import Callable
from types import MappingProxyType
from typing import NamedTuple

from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    HeaderList,
    Millis,
    Outcome,
    RefusalReason,
)
from cowslippond_core import _headers as header_names
from cowslippond_core._promises import NOT_RUN_STATUSES

from cowslippond_daemon._caller_body import MAX_BUFFERED_BODY_BYTES, BodyReader
from cowslippond_daemon._incoming_call import IncomingCall, Send

_OUTCOME = header_names.OUTCOME.encode()
_REASON = header_names.REASON.encode()
_RETRY_AFTER = header_names.RETRY_AFTER.encode()
_REQUEST_ID = header_names.REQUEST_ID.encode()
_EXPECT = b'expect'
# Callers authenticate with the header ``Authorization: Token KEY``.
_CHALLENGE = (b'www-authenticate', b'Token')
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
# The server closes the connection after a response that is shorter than its length.
_BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
_CONTENT_LENGTH = b'content-length'
_STATUS_OF_REASON = MappingProxyType(
    {
        RefusalReason.NO_SERVICE: http.HTTPStatus.NOT_FOUND,
        RefusalReason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
        RefusalReason.NO_CALLER: http.HTTPStatus.BAD_REQUEST,
        RefusalReason.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
        RefusalReason.KEY_REVOKED: http.HTTPStatus.UNAUTHORIZED,
        RefusalReason.OVER_QUOTA: http.HTTPStatus.TOO_MANY_REQUESTS,
        RefusalReason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.KEY_IN_PROGRESS: http.HTTPStatus.CONFLICT,
        RefusalReason.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalReason.HEAD_TOO_LARGE: (
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        ),
        RefusalReason.HEAD_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
        RefusalReason.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    }
)
_STATUS_OF_OUTCOME = MappingProxyType(
    {
        Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.FAILED: http.HTTPStatus.BAD_GATEWAY,
        Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    }
)


def encode_whole_seconds(delay: Millis) -> bytes:
    """Encode a ``Retry-After`` delay in seconds, rounded up, at least 1."""
    return b'%d' % max(1, -(-int(delay) // _MILLIS_PER_SECOND))


class ResponseSettings(NamedTuple):
    """What all responses have in common.

    ``keep_alive`` is the value of the header of that name, and empty if
    connections are closed. ``encode_retry_after`` encodes the delay after which
    a caller may retry.
    """

    keep_alive: bytes
    encode_retry_after: Callable[[Millis], bytes]


class ResponseWriter:
    """Writes the response to one call.

    ``is_started`` is set once the caller gets a response.

    :param settings: what all responses have in common.
    :param call: the call.
    :param reader: reads its body.
    :param send: the server's interface.
    """

    def __init__(
        self,
        settings: ResponseSettings,
        call: IncomingCall,
        reader: BodyReader,
        send: Send,
    ) -> None:
        self.settings = settings
        self.call = call
        self.reader = reader
        self.send = send
        self.is_started = False

    async def send_answer(self, reply: CallAnswer) -> None:
        """Send the answer of an upstream, without its end.

        :raises TruncatedAnswerError: if the upstream does not complete it.
        """
        headers = _set_outcome_header(reply.status, reply.headers)
        if reply.status in _BODILESS_STATUSES:
            headers = tuple(
                header for header in headers if header[0] != _CONTENT_LENGTH
            )
        await self._start(reply.status, headers)
        async for chunk in reply.chunks:
            await self.send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )

    async def end(self) -> None:
        """Send the end of an answer."""
        await self.send({'type': 'http.response.body', 'body': b''})

    async def send_refusal(self, refusal: CallRefusal) -> None:
        """Send the whole response to a refused call."""
        text = f'{refusal.outcome}: {refusal.reason}\n'.encode()
        delay = self.settings.encode_retry_after(refusal.retry_after_ms)
        status = status_of(refusal)
        headers: HeaderList = (
            (b'content-type', b'text/plain'),
            (b'content-length', b'%d' % len(text)),
            (_OUTCOME, refusal.outcome.encode()),
            (_REASON, refusal.reason.encode()),
            (_RETRY_AFTER, delay),
        )
        if status == http.HTTPStatus.UNAUTHORIZED:
            headers = (*headers, _CHALLENGE)
        await self._start(status, headers)
        await self.send({'type': 'http.response.body', 'body': text})

    async def _start(self, status: int, headers: HeaderList) -> None:
        self.is_started = True
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': self._response_headers(headers),
            }
        )

    def _response_headers(
        self, headers: HeaderList
    ) -> list[tuple[bytes, bytes]]:
        forwarded = [
            (name, text)
            for name, text in headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() != _REQUEST_ID
        ]
        forwarded.append((_REQUEST_ID, self.call.request_id.encode()))
        if self.settings.keep_alive and not self._must_close():
            forwarded.append((b'keep-alive', self.settings.keep_alive))
        else:
            forwarded.append((b'connection', b'close'))
        return forwarded

    def _must_close(self) -> bool:
        """Tell whether the rest of the body is not worth reading.

        The server discards the rest of a small one, so that the connection
        stays open.
        """
        reader = self.reader
        if reader.is_complete or reader.length == 0:
            return False
        if reader.length is None or reader.length > MAX_BUFFERED_BODY_BYTES:
            return True
        if reader.error is not None:
            return True
        return self.call.get_header(_EXPECT) is not None


def status_of(refusal: CallRefusal) -> int:
    """Return the status of the response to a refused call.

    A status that promises that the call has not run, such as 408, is not used for a
    call of which an upstream has got a part.
    """
    status = _STATUS_OF_OUTCOME[refusal.outcome]
    specific = _STATUS_OF_REASON.get(refusal.reason, status)
    if refusal.outcome is Outcome.NOT_RUN or specific not in NOT_RUN_STATUSES:
        return specific
    return status


def _set_outcome_header(status: int, headers: HeaderList) -> HeaderList:
    """Return the headers of an upstream's response with the actual outcome.

    An upstream that answered has run the call, so its own outcome header is
    dropped. A server error is marked as failed.
    """
    forwarded = tuple(pair for pair in headers if pair[0].lower() != _OUTCOME)
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return forwarded
    return (*forwarded, (_OUTCOME, Outcome.FAILED.encode()))
