"""Parse the instructions that a request gives to a stand-in upstream."""

from typing import NamedTuple

from cowslippond_core import Millis
from cowslippond_core import _headers as headers

from cowslippond_standins._asgi import Scope, header_of

_CRASH_MARK = b'CRASH'
_DEFAULT_NONCE = '0123456789abcdef'


class CallSpec(NamedTuple):
    """The instructions of one request.

    ``size`` is the length of the answer's body in bytes, by default that of
    the nonce. A negative ``work_ms`` lets the upstream draw a random
    processing time. A ``deadline_ms`` of zero means no deadline.
    """

    nonce: str
    size: int
    work_ms: Millis
    is_chunked: bool
    is_crash: bool
    deadline_ms: Millis


def parse_call_spec(scope: Scope, payload: bytes) -> CallSpec:
    """Parse the query, headers and body of a request."""
    query = _parse_query(scope['query_string'].decode())
    nonce = query.get('nonce', _DEFAULT_NONCE)
    is_marked = header_of(scope, b'x-crash') == b'1'
    return CallSpec(
        nonce=nonce,
        size=int(query.get('size', len(nonce))),
        work_ms=float(query.get('work', -1)),
        is_chunked=query.get('chunked') == '1',
        is_crash=is_marked or _CRASH_MARK in payload,
        deadline_ms=float(header_of(scope, headers.DEADLINE.encode()) or 0),
    )


def _parse_query(text: str) -> dict[str, str]:
    query = {}
    for parameter in text.split('&'):
        name, _, text_value = parameter.partition('=')
        query[name] = text_value
    return query


def expected_body(nonce: str, size: int) -> bytes:
    """Return the body of a complete answer: the nonce, repeated.

    :param size: in bytes.
    """
    unit = nonce.encode() or b'0'
    return (unit * (size // len(unit) + 1))[:size]
