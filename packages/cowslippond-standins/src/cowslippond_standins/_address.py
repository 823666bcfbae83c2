"""Network addresses in ``host:port`` form."""

from typing import NamedTuple


class Address(NamedTuple):
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address in ``host:port`` form."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))
