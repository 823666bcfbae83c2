"""ASGI helpers to read requests and send answers."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, NamedTuple, TypeAlias

import orjson

Message: TypeAlias = MutableMapping[str, Any]
Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes = b''
    headers: Headers = ()


def json_answer(payload: object, status: int = HTTP_OK) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(
        status,
        orjson.dumps(payload),
        ((b'content-type', b'application/json'),),
    )


def is_http(scope: Scope) -> bool:
    """Return whether a scope is that of an HTTP request."""
    return bool(scope['type'] == 'http')


def header_of(scope: Scope, name: bytes) -> bytes:
    """Return the value of a request header, or an empty value if absent.

    :param name: header name in lower case.
    """
    for key, text in scope['headers']:
        if key == name:
            return bytes(text)
    return b''


async def read_body(receive: Receive) -> bytes:
    """Return the complete body of a request.

    If the client disconnects, the part received so far is returned.
    """
    parts = []
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            break
        parts.append(message.get('body', b''))
        if not message.get('more_body', False):
            break
    return b''.join(parts)


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client closes the connection of a request."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


async def send_answer(send: Send, answer: Answer) -> None:
    """Send an answer with its ``Content-Length``."""
    length = str(len(answer.body)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': [*answer.headers, (b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': answer.body})
