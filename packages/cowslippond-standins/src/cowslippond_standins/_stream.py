"""Helpers to connect, half-close and reset TCP streams."""

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
    """Open a connection with Nagle's algorithm disabled."""
    stream = await anyio.connect_tcp(target.host, target.port)
    stream.extra(SocketAttribute.raw_socket).setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
    )
    return stream


async def reset(stream: SocketStream) -> None:
    """Close a connection with RST instead of FIN."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    except (AttributeError, OSError, ValueError):
        # The connection is closed and its transport has no socket any more, or
        # one without a descriptor.
        return
    await anyio.aclose_forcefully(stream)


async def half_close(stream: SocketStream) -> None:
    """Close the sending direction of a connection, if it is still open.

    If the event loop has closed the transport, it raises a plain
    :exc:`RuntimeError`, which is ignored as well.
    """
    try:
        await stream.send_eof()
    except CLOSED_ERRORS:
        return
