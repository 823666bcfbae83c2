"""Receiver for statsd counters."""

import collections

import anyio
from anyio.abc import UDPSocket


class StatsdSink:
    """Sums up the counters that all daemons send."""

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()

    async def receive(self, sock: UDPSocket) -> None:
        """Receive packets until cancelled."""
        async with sock:
            async for packet, _ in sock:
                self.add(packet.decode(errors='replace'))

    def add(self, packet: str) -> None:
        """Add the counters of one packet; other metric types are ignored."""
        for line in packet.splitlines():
            name, _, sample = line.partition(':')
            amount, _, kind = sample.partition('|')
            if kind == 'c':
                self.counters[name] += int(float(amount))


async def open_sink_socket(host: str, port: int) -> UDPSocket:
    """Open the UDP socket that daemons send their counters to."""
    return await anyio.create_udp_socket(local_host=host, local_port=port)
