"""Sends and receives datagrams about quotas on a daemon's peer address."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from cowslippond_core._codec import WireError
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._peer_session import split_address
from cowslippond_core.quotas._messages import (
    QuotaMessage,
    decode_quota_message,
    encode_quota_message,
)

# What UDP and IP add to a datagram.
_HEADER_BYTES = 28

_logger = logging.getLogger(__name__)


class QuotaDatagrams(asyncio.DatagramProtocol):
    """Datagrams on the UDP port with the number of the peer address.

    They may be lost, and sending never waits.

    :param metrics: counts the bytes of each direction.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.transport: asyncio.DatagramTransport | None = None
        self.receive: Callable[[str, QuotaMessage], None] | None = None

    def is_open(self) -> bool:
        """Return whether messages can be sent and received."""
        return self.transport is not None and not self.transport.is_closing()

    async def open(self, address: str) -> None:
        """Open the port of a peer address.

        :raises OSError: if the port is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(
        self, packed: bytes, sender: tuple[str | Any, int]
    ) -> None:
        """Handle a datagram; one that is invalid is ignored."""
        size = len(packed) + _HEADER_BYTES
        self.metrics.count(Metric.QUOTA_BYTES_RECEIVED, size)
        try:
            message = decode_quota_message(packed)
        except WireError as error:
            _logger.debug('invalid datagram', extra={'why': error.detail})
            return
        if self.receive is not None:
            self.receive(f'{sender[0]}:{sender[1]}', message)

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message; it is lost while the port is not open."""
        if self.transport is None or not self.is_open():
            return
        packed = encode_quota_message(message)
        size = len(packed) + _HEADER_BYTES
        self.metrics.count(Metric.QUOTA_BYTES_SENT, size)
        try:
            self.transport.sendto(packed, split_address(address))
        except (OSError, WireError) as error:
            _logger.debug('datagram not sent', extra={'why': repr(error)})

    def close(self) -> None:
        """Close the port."""
        if self.transport is not None:
            self.transport.close()
