"""A call as the edge reads it, and the types of the ASGI interface."""

from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any, NamedTuple, TypeAlias

from cowslippond_core import HeaderList, Millis

Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]

#: The extension of the server's interface that closes a connection if its caller
#: has, also while nothing is read from it, and tells whether it is closed.
CLOSED_EXTENSION = 'cowslippond.close_if_abandoned'

_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'


class IncomingCall(NamedTuple):
    """A call as read from a caller's connection.

    ``body`` holds the start of the body; ``rest`` yields the remainder, or is
    ``None`` if ``body`` is complete. Before the body is read, both are empty.
    ``arrived_at`` is the clock time in milliseconds at which the headers were
    complete.
    """

    request_id: str
    method: str
    path: str
    target: bytes
    headers: HeaderList
    body: bytes
    rest: AsyncIterator[bytes] | None
    arrived_at: Millis = 0

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None`` if it is absent.

        :param name: in lower case.
        """
        for present, text in self.headers:
            if present == name:
                return text
        return None


def declared_length(headers: HeaderList) -> int | None:
    """Return the length of a body in bytes, or ``None`` if it is chunked.

    The server has checked that there is one length and that it is a number.

    :param headers: with names in lower case.
    """
    for name, text in headers:
        if name == _CONTENT_LENGTH:
            return int(text)
        if name == _TRANSFER_ENCODING:
            return None
    return 0
