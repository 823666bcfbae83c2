"""TCP streams: connect, abort and reset."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from cowslippond_standins._address import Address

CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
CLOSED_ERRORS = (*CONNECTION_ERRORS, RuntimeError)
_LINGER_ZERO = struct.pack('ii', 1, 0)


async def connect(target: Address) -> SocketStream:
    """Open a connection without Nagle's delay."""
    stream = await anyio.connect_tcp(target.host, target.port)
    stream.extra(SocketAttribute.raw_socket).setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
    )
    return stream


async def reset(stream: SocketStream) -> None:
    """Close a connection by RST."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    except (AttributeError, OSError):
        # The event loop has let go of the socket of a closed connection.
        return
    await anyio.aclose_forcefully(stream)


async def half_close(stream: SocketStream) -> None:
    """Close one direction of a connection, unless it is closed already.

    The event loop reports a transport that it closed by a plain
    :exc:`RuntimeError`.
    """
    try:
        await stream.send_eof()
    except CLOSED_ERRORS:
        return
