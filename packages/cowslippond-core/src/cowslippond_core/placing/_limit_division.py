"""Divides the call rate that an upstream accepts among the daemons.

Designed for limits far below one call per second and daemon: a few daemons, the
same in every daemon's view, get the whole rate and the others none. Equal shares
would let all daemons send their first call at once.
"""

import bisect
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# How many daemons share a limit below one call per second. Each may send one call
# ahead of its share, so more would exceed the limit in bursts.
_MIN_HOLDERS = 2


class _RingPosition(NamedTuple):
    position: int
    daemon: str


class LimitDivision:
    """Chooses the daemons that share the limit of an upstream.

    All daemons with the same list of daemons make the same choice. Consistent
    hashing keeps most choices when a daemon joins or leaves.

    :param own: the address of this daemon.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: frozenset[str] = frozenset()
        self.ring: list[_RingPosition] = []
        self.daemon_count = 1
        self.update((), 1)

    def update(self, others: Iterable[str], daemon_count: int) -> None:
        """Apply a new list of daemons.

        :param others: the addresses of the other daemons.
        :param daemon_count: how many daemons are known to run, of which the
            list may still lack some.
        """
        self.daemon_count = daemon_count
        members = frozenset((self.own, *others))
        if members == self.members:
            return
        self.members = members
        self.ring = sorted(
            _RingPosition(_hash(member), member) for member in members
        )

    def share_of(self, upstream: str, rate: float) -> float:
        """Return the calls per second that this daemon may send.

        While the list of daemons is incomplete, several daemons may believe
        that they hold the same part of the limit. The share is lower then.

        :param upstream: identifies the upstream on all daemons.
        :param rate: the calls per second that it accepts from all daemons.
        """
        count = min(int(rate) + _MIN_HOLDERS, len(self.ring))
        start = bisect.bisect(self.ring, _RingPosition(_hash(upstream), ''))
        holders = {
            self.ring[(start + offset) % len(self.ring)].daemon
            for offset in range(count)
        }
        if self.own not in holders:
            return 0
        completeness = min(len(self.ring) / max(self.daemon_count, 1), 1)
        return rate / count * completeness


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
