"""Chooses the daemons that own shares of a workspace's quota.

Each owner holds an equal share of the rate and burst, so that the loss of one
owner costs only its share until it is removed from the list of daemons. An owner
is never replaced on the suspicion that it is gone: it may be on the other side
of a network partition, where it still grants its share.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from cowslippond_core._clock import Millis

#: How long a daemon must be among the owners before it grants tokens. Daemons
#: that it displaces learn of it within this time and stop.
SETTLE_TIME: Millis = 2500

# Workspaces with more than 15 calls per second for each of the least owners get
# more of them: the loss of one of nine leaves 89 % of the quota.
_MIN_OWNERS = 3
_MAX_OWNERS = 9
_RATE_PER_OWNER = 15

# How long old lists are kept. A bucket that is created when a workspace becomes
# active is filled for the time since its daemon became an owner.
_HISTORY_TIME: Millis = 30_000

# A fleet that shrank without announcement may be partitioned. Shares are scaled
# down by the part that is missing for this time.
_PEAK_TIME: Millis = 900_000

_HASH_BITS = 64

# Daemons whose lists lack different others choose different owners. The number
# of daemons that then own a share varies by chance; shares are small enough for
# this many standard deviations above the mean.
_OWNER_DEVIATIONS = 4

# The variance of the number of owners, in standard deviations of the rank of
# the last one. It is 1 / sqrt(pi) if each rank is decided independently.
_RANK_FACTOR = 1 / math.sqrt(math.pi)


class DaemonList:
    """The daemons that take part in quotas, as this daemon knows them.

    :param domains: the failure domains of the daemons, by address.
    """

    def __init__(self, domains: Mapping[str, str]) -> None:
        self.domains = dict(domains)
        self.chosen: dict[tuple[str, int], tuple[str, ...]] = {}
        domain_count = len(set(self.domains.values()))
        self.domain_count = max(domain_count, 1)

    def owners(self, workspace: str, rate: float) -> tuple[str, ...]:
        """Return the owners of a workspace, spread over failure domains.

        :param rate: the calls per second of the workspace.
        """
        wanted = min(_owner_count(rate), len(self.domains))
        owners = self.chosen.get((workspace, wanted))
        if owners is None:
            owners = self._choose(workspace, wanted)
            self.chosen[(workspace, wanted)] = owners
        return owners

    def _choose(self, workspace: str, wanted: int) -> tuple[str, ...]:
        ranked = sorted(
            self.domains, key=lambda address: _hash(workspace, address)
        )
        per_domain = math.ceil(wanted / self.domain_count)
        in_domain: Counter[str] = Counter()
        chosen = []
        passed_over = []
        for address in ranked:
            domain = self.domains[address]
            if in_domain[domain] >= per_domain:
                passed_over.append(address)
                continue
            in_domain[domain] += 1
            chosen.append(address)
        return tuple([*chosen, *passed_over][:wanted])


class _Period(NamedTuple):
    since: Millis
    daemons: DaemonList


class Ownership:
    """Which shares this daemon owns, and since when.

    :param own_address: the address of this daemon.
    :param now: the clock time, in milliseconds.
    """

    def __init__(
        self,
        own_address: str,
        now: Millis,
    ) -> None:
        self.own_address = own_address
        self.periods = [_Period(now, DaemonList({}))]
        # How many daemons run, as far as any daemon in contact knows.
        self.known_size = 1
        self.peak_size = 1
        self.peak_until: Millis = now
        # The least size to suppose while daemons discover each other.
        self.assumed_size = 1
        # Owners need not settle in a fleet that has never served before.
        self.is_first_until: Millis = now
        # Known daemons that announced that they leave.
        self.leaving: frozenset[str] = frozenset()

    @property
    def daemons(self) -> DaemonList:
        """The newest list of daemons."""
        return self.periods[-1].daemons

    def update(
        self,
        domains: Mapping[str, str],
        fleet_size: int,
        leaving: Iterable[str],
        now: Millis,
    ) -> None:
        """Apply a new list of daemons.

        :param domains: the failure domains of the daemons, by address.
        :param fleet_size: how many daemons are known or supposed to run, of
            which the list may lack some; leaving ones included.
        :param leaving: the addresses of daemons that announced that they leave.
        """
        self._update_size(len(domains), fleet_size, frozenset(leaving), now)
        if domains != self.daemons.domains:
            self.periods.append(_Period(now, DaemonList(domains)))
        while (
            len(self.periods) > 1
            and self.periods[1].since < now - _HISTORY_TIME
        ):
            self.periods.pop(0)

    def supposed_size(self) -> int:
        """Return the size of the fleet, partitioned daemons included."""
        return max(self.peak_size, len(self.daemons.domains), self.assumed_size)

    def completeness(self) -> float:
        """Return the part of the fleet that the list contains."""
        return len(self.daemons.domains) / self.supposed_size()

    def share(self, workspace: str, rate: float, excess: float) -> float:
        """Return the part of a workspace's quota that each owner grants.

        Daemons that the fleet has lost lack the same others as this one, so
        that each side of a partition has the wanted number of owners. Daemons
        in contact whose lists differ have more.

        :param excess: the factor by which all shares together may exceed the
            quota while lists differ.
        """
        owners = len(self.daemons.owners(workspace, rate))
        listed = len(self.daemons.domains)
        known = max(self.known_size, listed)
        usual = owners * known / listed
        most = usual + _OWNER_DEVIATIONS * _deviation(owners, listed / known)
        expected = min(max(usual, most / excess), known)
        return self.completeness() * known / listed / expected

    def granting_since(self, workspace: str, rate: float) -> Millis | None:
        """Return since when this daemon may grant tokens of a workspace.

        :return: ``None`` if it is not an owner. The time may lie ahead.
        """
        since: Millis | None = None
        for period in reversed(self.periods):
            owners = period.daemons.owners(workspace, rate)
            if self.own_address not in owners:
                break
            since = period.since
        if since is None or since < self.is_first_until:
            return since
        return since + SETTLE_TIME

    def _update_size(
        self,
        listed: int,
        fleet_size: int,
        leaving: frozenset[str],
        now: Millis,
    ) -> None:
        """Remember the largest size, less the daemons that have left since."""
        self.peak_size -= len(leaving - self.leaving)
        self.leaving = leaving
        size = max(fleet_size - len(leaving), listed)
        self.known_size = size
        if size >= self.peak_size or now >= self.peak_until:
            self.peak_size = size
            self.peak_until = now + _PEAK_TIME


def is_chosen(workspace: str, address: str, share: float) -> bool:
    """Choose a share of the daemons for a workspace, whatever the list says."""
    return _hash(workspace, address) < math.ldexp(share, _HASH_BITS)


def _deviation(wanted: int, completeness: float) -> float:
    """Return the standard deviation of the number of owners.

    The rank of the last owner in a list that lacks others at random has a
    negative binomial distribution.

    :param completeness: the part of the daemons in contact that a list has.
    """
    of_rank = math.sqrt(wanted * (1 - completeness)) / completeness
    return math.sqrt(of_rank * _RANK_FACTOR)


def _owner_count(rate: float) -> int:
    return min(max(round(rate / _RATE_PER_OWNER), _MIN_OWNERS), _MAX_OWNERS)


def _hash(workspace: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f'{workspace}\n{address}'.encode())
