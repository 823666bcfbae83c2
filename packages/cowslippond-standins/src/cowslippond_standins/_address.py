"""Addresses as ``host:port``."""

from typing import NamedTuple


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address that ``host:port`` states."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
