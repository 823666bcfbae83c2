"""The UDP port on which the daemons of a fleet send each other datagrams."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from cowslippond_core._codec import WireError
from cowslippond_core._peer_session import split_address

#: What UDP and IP add to a datagram, in bytes.
DATAGRAM_HEADER_BYTES = 28

_logger = logging.getLogger(__name__)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Datagrams on the UDP port with the number of the peer address.

    They may be lost, and sending never waits. Each of ``receivers`` gets the
    address of the sender and the bytes of a datagram, until one returns that
    the datagram was for it.
    """

    def __init__(self) -> None:
        self.transport: asyncio.DatagramTransport | None = None
        self.opening = asyncio.Lock()
        self.receivers: list[Callable[[str, bytes], bool]] = []

    def is_open(self) -> bool:
        """Return whether datagrams can be sent and received."""
        return self.transport is not None and not self.transport.is_closing()

    async def open(self, address: str) -> None:
        """Open the port of a peer address, unless it is open.

        :raises OSError: if the port is in use.
        """
        async with self.opening:
            if self.is_open():
                return
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
        """Pass a datagram on to its receiver."""
        address = f'{sender[0]}:{sender[1]}'
        for receive in self.receivers:
            if receive(address, packed):
                return
        _logger.debug('datagram ignored', extra={'sender': address})

    def send(self, address: str, packed: bytes) -> None:
        """Send a datagram; it is lost while the port is not open."""
        if self.transport is None or not self.is_open():
            return
        try:
            self.transport.sendto(packed, split_address(address))
        except (OSError, WireError) as error:
            _logger.debug('datagram not sent', extra={'why': repr(error)})

    def close(self) -> None:
        """Close the port."""
        if self.transport is not None:
            self.transport.close()
