"""Allocate free ports below the ephemeral range of outgoing connections."""

import random
import socket

_LOWEST = 10_000
_HIGHEST = 30_000
_MAX_ATTEMPTS = 1000

_allocated: set[int] = set()
_rng = random.SystemRandom()


def free_ports(count: int, host: str = '127.0.0.1') -> int:
    """Return the first port of a range of consecutive free ports.

    A port is allocated at most once by a process.
    """
    for _ in range(_MAX_ATTEMPTS):
        first = _rng.randrange(_LOWEST, _HIGHEST)
        ports = range(first, first + count)
        if _allocated.isdisjoint(ports) and _are_free(host, ports):
            _allocated.update(ports)
            return first
    raise OSError(f'found no {count} consecutive free ports on {host}')


def _are_free(host: str, ports: range) -> bool:
    return all(_is_free(host, port) for port in ports)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
