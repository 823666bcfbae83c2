"""Sends and receives datagrams about quotas."""

import logging
from collections.abc import Callable

from cowslippond_core._codec import WireError
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._peer_datagrams import (
    DATAGRAM_HEADER_BYTES,
    PeerDatagrams,
)
from cowslippond_core.quotas._messages import (
    QuotaMessage,
    decode_quota_message,
    encode_quota_message,
)

_logger = logging.getLogger(__name__)


class QuotaDatagrams:
    """The datagrams about quotas, on the port that daemons share.

    :param metrics: counts the bytes of each direction.
    :param port: sends and receives the datagrams.
    """

    def __init__(
        self, metrics: Metrics, port: PeerDatagrams | None = None
    ) -> None:
        self.metrics = metrics
        self.port = port or PeerDatagrams()
        self.port.receivers.append(self.receive_packed)
        self.receive: Callable[[str, QuotaMessage], None] | None = None

    def is_open(self) -> bool:
        """Return whether messages can be sent and received."""
        return self.port.is_open()

    async def open(self, address: str) -> None:
        """Open the port of a peer address.

        :raises OSError: if the port is in use.
        """
        await self.port.open(address)

    def receive_packed(self, sender: str, packed: bytes) -> bool:
        """Handle a datagram; return whether it is about quotas."""
        try:
            message = decode_quota_message(packed)
        except WireError as error:
            _logger.debug('invalid datagram', extra={'why': error.detail})
            return False
        self.metrics.count(
            Metric.QUOTA_BYTES_RECEIVED, len(packed) + DATAGRAM_HEADER_BYTES
        )
        if self.receive is not None:
            self.receive(sender, message)
        return True

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message; it is lost while the port is not open."""
        if not self.is_open():
            return
        packed = encode_quota_message(message)
        self.metrics.count(
            Metric.QUOTA_BYTES_SENT, len(packed) + DATAGRAM_HEADER_BYTES
        )
        self.port.send(address, packed)

    def close(self) -> None:
        """Close the port."""
        self.port.close()
