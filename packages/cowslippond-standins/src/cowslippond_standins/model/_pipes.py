"""Connections in memory between simulated daemons."""

import anyio
from anyio.abc import ByteStream, ObjectReceiveStream, ObjectSendStream

_STREAM_MESSAGES = 64


class _PipeEnd(ByteStream):
    """One end of a connection in memory."""

    def __init__(
        self,
        incoming: ObjectReceiveStream[bytes],
        outgoing: ObjectSendStream[bytes],
    ) -> None:
        self.incoming = incoming
        self.outgoing = outgoing

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the bytes of the next send, whatever their number."""
        return await self.incoming.receive()

    async def send(self, item: bytes) -> None:
        await self.outgoing.send(item)

    async def send_eof(self) -> None:
        await self.outgoing.aclose()

    async def aclose(self) -> None:
        await self.incoming.aclose()
        await self.outgoing.aclose()


def make_connection() -> tuple[ByteStream, ByteStream]:
    """Return the two ends of a new connection."""
    near_out, far_in = anyio.create_memory_object_stream[bytes](
        _STREAM_MESSAGES
    )
    far_out, near_in = anyio.create_memory_object_stream[bytes](
        _STREAM_MESSAGES
    )
    return _PipeEnd(near_in, near_out), _PipeEnd(far_in, far_out)
