"""Allocate free ports below the ephemeral range of outgoing connections."""

import random
import socket

_GUARD_HOST = '127.0.0.1'
_LOWEST = 10_000
_HIGHEST = 30_000
_BLOCK_SIZE = 200
_MAX_ATTEMPTS = 1000

_rng = random.SystemRandom()


class _PortBlocks:
    """The blocks of ports that this process has claimed.

    A socket that is bound to the first port of a block keeps other processes of
    tests from choosing the ports behind it, until this process has ended.
    """

    def __init__(self) -> None:
        self.guards: list[socket.socket] = []
        self.unused = range(0)

    def take(self, count: int) -> range:
        """Return consecutive ports that have not been taken before."""
        if len(self.unused) < count:
            self.unused = self._claim_block()
        ports = self.unused[:count]
        self.unused = self.unused[count:]
        return ports

    def _claim_block(self) -> range:
        starts = list(range(_LOWEST, _HIGHEST, _BLOCK_SIZE))
        _rng.shuffle(starts)
        for start in starts:
            guard = socket.socket()
            try:
                guard.bind((_GUARD_HOST, start))
            except OSError:
                guard.close()
                continue
            self.guards.append(guard)
            return range(start + 1, start + _BLOCK_SIZE)
        raise OSError('all blocks of ports are claimed')


_blocks = _PortBlocks()


def free_ports(count: int, host: str = '127.0.0.1') -> int:
    """Return the first port of a range of consecutive free ports.

    A port is allocated at most once by a process, and to one process at a time.
    """
    for _ in range(_MAX_ATTEMPTS):
        ports = _blocks.take(count)
        if _are_free(host, ports):
            return ports[0]
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
