"""What a request asks of a stand-in upstream."""

from typing import NamedTuple

from cowslippond_core import Millis
from cowslippond_core import _headers as headers

from cowslippond_standins._asgi import Scope, header_of

_CRASH_MARK = b'CRASH'
_DEFAULT_NONCE = '0123456789abcdef'


class CallSpec(NamedTuple):
    """A request as the stand-in understands it.

    ``work_ms`` below zero lets the upstream draw the work itself, and
    ``size`` below zero asks for one nonce. ``deadline_ms`` of zero is none.
    """

    nonce: str
    size: int
    work_ms: Millis
    is_chunked: bool
    is_crash: bool
    deadline_ms: Millis


def parse_call_spec(scope: Scope, payload: bytes) -> CallSpec:
    """Return what a request asks for by its query, headers and body."""
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
    """Return the body that a whole answer must have.

    :param size: in bytes.
    """
    unit = nonce.encode() or b'0'
    return (unit * (size // len(unit) + 1))[:size]
