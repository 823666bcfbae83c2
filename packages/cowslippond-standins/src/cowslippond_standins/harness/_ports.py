"""Find free ports below the range that outgoing connections use."""

import random
import socket

_LOWEST = 10_000
_HIGHEST = 30_000
_TRIES = 1000

_given: set[int] = set()
_draw = random.SystemRandom()


def free_ports(count: int, host: str = '127.0.0.1') -> int:
    """Return the first of several successive free ports.

    A port is given only once by one process.
    """
    for _ in range(_TRIES):
        first = _draw.randrange(_LOWEST, _HIGHEST)
        ports = range(first, first + count)
        if _given.isdisjoint(ports) and _are_free(host, ports):
            _given.update(ports)
            return first
    raise OSError(f'no {count} successive free ports on {host}')


def _are_free(host: str, ports: range) -> bool:
    return all(_is_free(host, port) for port in ports)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as trial:
        trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind((host, port))
        except OSError:
            return False
    return True
