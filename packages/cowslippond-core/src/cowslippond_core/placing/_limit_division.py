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

_HASH_BITS = 64


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
        self.own_index = 0
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
        own_position = _RingPosition(_hash(self.own), self.own)
        self.own_index = self.ring.index(own_position)

    def share_of(self, upstream: str, rate: float) -> float:
        """Return the calls per second that this daemon may send.

        While the list of daemons is incomplete, several daemons may believe
        that they hold the same part of the limit. The share is lower then.

        :param upstream: identifies the upstream on all daemons.
        :param rate: the calls per second that it accepts from all daemons.
        """
        count = min(int(rate) + _MIN_HOLDERS, len(self.ring))
        if self._rank_for(upstream) >= count:
            return 0
        return rate / count * self._completeness()

    def is_holder(self, upstream: str, holders: float) -> bool:
        """Tell whether this daemon is one of the holders of a limit.

        While the list of daemons is incomplete, more daemons rank among the
        first. Each then believes itself a holder with a lower probability, so
        that about as many do as with complete lists.

        :param upstream: identifies the upstream on all daemons.
        :param holders: how many daemons hold a part of the limit.
        """
        expected = holders * self._completeness()
        chance = expected - self._rank_for(upstream)
        if 0 < chance < 1:
            draw = _hash(f'{self.own} {upstream}') / 2**_HASH_BITS
            return bool(draw < chance)
        return chance >= 1

    def _rank_for(self, upstream: str) -> int:
        """Return how many daemons come before this one for an upstream."""
        start = bisect.bisect(self.ring, _RingPosition(_hash(upstream), ''))
        return (self.own_index - start) % len(self.ring)

    def _completeness(self) -> float:
        return min(len(self.ring) / max(self.daemon_count, 1), 1)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
