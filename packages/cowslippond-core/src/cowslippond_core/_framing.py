"""Header forwarding, and the HTTP/1.1 framing of calls to upstreams."""

from collections.abc import Iterable

from cowslippond_core._dialect import Dialect, SendMetadata
from cowslippond_core._messages import CallRequest, HeaderList

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_CONNECTION = b'connection'
_CONTENT_LENGTH = b'content-length'
_BODILESS_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS', b'DELETE'))


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> HeaderList:
    """Return the headers that a proxy forwards, with lower-case names.

    Hop-by-hop headers are left out, and so are those that the ``connection``
    header names.
    """
    forwarded = []
    connection_headers: set[bytes] = set()
    for name, text in headers:
        lower = name.lower()
        if lower == _CONNECTION:
            connection_headers.update(
                part.strip().lower() for part in text.split(b',')
            )
        if lower not in _HOP_BY_HOP:
            forwarded.append((lower, text))
    if not connection_headers:
        return tuple(forwarded)
    return tuple(
        header for header in forwarded if header[0] not in connection_headers
    )


def content_length(headers: HeaderList) -> int | None:
    """Return the value of the ``content-length`` header, if present."""
    for name, text in headers:
        if name.lower() == _CONTENT_LENGTH:
            return int(text)
    return None


def is_chunked(request: CallRequest) -> bool:
    """Return whether the call's body is sent with chunked encoding."""
    return request.rest is not None and content_length(request.headers) is None


def encode_head(
    request: CallRequest, metadata: SendMetadata, dialect: Dialect
) -> bytes:
    """Return the request line and headers of a call to an upstream.

    :param metadata: metadata of this attempt that is sent to the upstream.
    :param dialect: the names and format of the headers that carry them.
    """
    lines = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
    dropped = dialect.reserved_headers
    if request.workspace is not None:
        dropped |= dialect.workspace_headers
    for name, text in end_to_end_headers(request.headers):
        if name != _CONTENT_LENGTH and name not in dropped:
            lines.append(b'%b: %b\r\n' % (name, text))
    for name, text in dialect.request_headers(metadata):
        lines.append(b'%b: %b\r\n' % (name, text))
    lines.append(_encode_framing(request))
    lines.append(b'\r\n')
    return b''.join(lines)


def encode_chunk(chunk: bytes) -> bytes:
    """Encode a chunk of a body; an empty chunk ends the body."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _encode_framing(request: CallRequest) -> bytes:
    if is_chunked(request):
        return b'transfer-encoding: chunked\r\n'
    length: int | None = len(request.body)
    if request.rest is not None:
        length = content_length(request.headers)
    if not length and request.method in _BODILESS_METHODS:
        return b''
    return b'content-length: %d\r\n' % (length or 0)
