"""Sends and receives messages on a connection between two daemons."""

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from cowslippond_core._byte_budget import ByteBudget
from cowslippond_core._clock import Millis
from cowslippond_core._codec import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Codec,
    WireError,
    decode_message,
    encode_message,
)
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._peer_messages import (
    Message,
)

#: Maximum wait for an answer.
ANSWER_TIMEOUT: Millis = 2000

#: The exceptions that end a session when the peer or the network fails.
SESSION_ERRORS = (
    OSError,
    TimeoutError,
    UnicodeError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    WireError,
)

_MAX_PORT = 65_535


class PeerSession:
    """A connection to a peer that counts its bytes.

    :param stream: the connection.
    :param codec: encodes the messages.
    :param budget: charged with the bytes of both directions.
    :param metrics: counts the bytes of each direction.
    """

    def __init__(
        self,
        stream: ByteStream,
        codec: Codec,
        budget: ByteBudget,
        metrics: Metrics,
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.buffered = BufferedByteReceiveStream(stream)
        self.budget = budget
        self.metrics = metrics

    async def send(self, message: Message) -> None:
        """Send a message."""
        frame = encode_message(self.codec, message)
        self.budget.spend(len(frame))
        self.metrics.count(Metric.GOSSIP_BYTES_SENT, len(frame))
        await self.stream.send(frame)

    async def receive(self) -> Message:
        """Wait for a message.

        :raises WireError: if the peer sends an invalid frame.
        """
        head = await self.buffered.receive_exactly(LENGTH_BYTES)
        length = int.from_bytes(head, 'big')
        if length > MAX_FRAME_BYTES:
            raise WireError(f'frame too long: {length} bytes')
        body = await self.buffered.receive_exactly(length)
        size = len(head) + length
        self.budget.spend(size)
        self.metrics.count(Metric.GOSSIP_BYTES_RECEIVED, size)
        return decode_message(self.codec, body)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of a peer address.

    :raises WireError: if the address is invalid. It may come from a peer or
        from the VM list.
    """
    host, _, port = address.rpartition(':')
    if port.isdecimal() and int(port) <= _MAX_PORT:
        return host, int(port)
    raise WireError(f'invalid peer address: {address!r}')
