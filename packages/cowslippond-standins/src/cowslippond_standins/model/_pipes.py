"""Connections in memory between simulated daemons."""

from collections.abc import Callable

import anyio
from anyio.abc import ByteStream, ObjectReceiveStream, ObjectSendStream

_STREAM_MESSAGES = 64


def _is_always_linked() -> bool:
    return True


class _PipeEnd(ByteStream):
    """One end of a connection in memory; lost bytes are not sent again."""

    def __init__(
        self,
        incoming: ObjectReceiveStream[bytes],
        outgoing: ObjectSendStream[bytes],
        is_linked: Callable[[], bool],
    ) -> None:
        self.incoming = incoming
        self.outgoing = outgoing
        self.is_linked = is_linked

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the bytes of the next send, whatever their number."""
        return await self.incoming.receive()

    async def send(self, item: bytes) -> None:
        if self.is_linked():
            await self.outgoing.send(item)

    async def send_eof(self) -> None:
        await self.outgoing.aclose()

    async def aclose(self) -> None:
        await self.incoming.aclose()
        await self.outgoing.aclose()


def make_connection(
    near_is_linked: Callable[[], bool] = _is_always_linked,
    far_is_linked: Callable[[], bool] = _is_always_linked,
) -> tuple[ByteStream, ByteStream]:
    """Return the two ends of a new connection.

    :param near_is_linked: returns whether bytes of the first end arrive.
    :param far_is_linked: returns whether bytes of the second end arrive.
    """
    near_out, far_in = anyio.create_memory_object_stream[bytes](
        _STREAM_MESSAGES
    )
    far_out, near_in = anyio.create_memory_object_stream[bytes](
        _STREAM_MESSAGES
    )
    return (
        _PipeEnd(near_in, near_out, near_is_linked),
        _PipeEnd(far_in, far_out, far_is_linked),
    )
