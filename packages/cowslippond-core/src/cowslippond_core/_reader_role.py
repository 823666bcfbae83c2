"""Decides which daemons of a fleet read the store."""

import math

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._store_era import StoreEra
from cowslippond_core._versions import Versions

#: Number of daemons that wait for changes, divided among the failure domains.
#: With three, one may be partitioned undetected while another one is killed.
READER_COUNT = 3

#: Age of the last confirmation above which a daemon reads the store itself. It
#: covers two waits for changes and the time to detect that a store is down.
STALE_AGE: Millis = 4000

#: The gossip table in which daemons report that they cannot read the store.
STORE_LOST_TABLE = 'store_lost'

#: The gossip table in which the daemons that read the store announce it.
STORE_READER_TABLE = 'store_readers'

# Lifetime of such an announcement, and the time between two of a daemon.
_READER_TTL: Millis = 8000
_READER_INTERVAL: Millis = 3000

# A daemon reads for itself if no announcement was valid for this long. Readers
# of the previous release announce nothing and do not pass on all rows. In a
# starting fleet, announcements arrive within this time; with 2500 ms, 100
# daemons made 114 instead of 96 calls between 1 and 16 s after their start.
_MAX_READER_GAP: Millis = 4000

# Ends the announcement of a daemon that reads for that reason.
_SUBSTITUTE = '*'

# Lifetime of such a report unless it is renewed.
_STORE_LOST_TTL: Millis = 5000

# Time that a starting daemon needs to discover most of a large fleet. Before
# that, it would rank itself first in its failure domain, so only the seeds are
# designated readers.
_DISCOVERY_PERIOD: Millis = 15_000


class ReaderRole:
    """Decides whether this daemon reads the store.

    :param membership: the other daemons.
    :param versions: the versions whose confirmation peers pass on.
    :param lost_reports: which daemons cannot read the store.
    :param clock: measures the age of confirmations.
    :param era: the era of the store.
    :param readers: announces which daemons read, and the era that they see.
    """

    def __init__(
        self,
        membership: Membership,
        versions: Versions,
        lost_reports: GossipTable,
        clock: Clock,
        era: StoreEra | None = None,
        readers: GossipTable | None = None,
    ) -> None:
        self.era = era or StoreEra()
        self.readers = readers or GossipTable(STORE_READER_TABLE, clock)
        self.announces = readers is not None
        self.reader_seen_at = clock.now()
        self.announced_at: Millis = -math.inf
        self.announced_era = ''
        self.is_substitute = False
        self.membership = membership
        self.versions = versions
        self.lost_reports = lost_reports
        self.clock = clock
        self.started_at = clock.now()

    def is_reader(self) -> bool:
        """Return whether this daemon waits for changes in the store."""
        if not self.is_confirmed(STALE_AGE) or self.is_designated():
            return True
        return self.announces and self._lacks_reader()

    def announce_reading(self) -> None:
        """Announce that this daemon has read the store."""
        now = self.clock.now()
        era = str(self.era.current)
        if not self.is_designated():
            if not self.is_substitute:
                return
            era = f'{era}{_SUBSTITUTE}'
        is_recent = now - self.announced_at < _READER_INTERVAL
        if not self.announces or (is_recent and era == self.announced_era):
            return
        self.announced_at = now
        self.announced_era = era
        self.readers.put(self.membership.own.address, era, _READER_TTL)

    def known_readers(self) -> list[str]:
        """Return the peer addresses of the daemons that announced reading."""
        return sorted(self._readers_by_address())

    def _readers_by_address(self) -> dict[str, bool]:
        """Return for each known reader whether it is a substitute."""
        lost = self.lost_reports.alive_keys()
        era = str(self.era.current)
        return {
            row.key: row.text.endswith(_SUBSTITUTE)
            for row in self.readers.rows()
            if row.text.removesuffix(_SUBSTITUTE) == era and row.key not in lost
        }

    def _lacks_reader(self) -> bool:
        """Return whether no other daemon of this release reads.

        Of several substitutes, the one with the lowest address goes on.
        """
        now = self.clock.now()
        readers = self._readers_by_address()
        own = self.membership.own.address
        readers.pop(own, None)
        if readers:
            self.reader_seen_at = now
        if self.is_substitute:
            self.is_substitute = all(
                is_substitute and own < address
                for address, is_substitute in readers.items()
            )
        else:
            self.is_substitute = now - self.reader_seen_at > _MAX_READER_GAP
        return self.is_substitute

    def is_confirmed(self, max_age: Millis) -> bool:
        """Return whether the versions were confirmed recently.

        :param max_age: the maximum age of the confirmation, in milliseconds.
        """
        confirmed_at = self.versions.confirmed_at
        if confirmed_at is None:
            return False
        return self.clock.now() - confirmed_at <= max_age

    def is_designated(self) -> bool:
        """Return whether this daemon is one that reads for the others.

        A daemon that only took over, and that the store refused as well, makes
        room for the next one; otherwise an outage would leave more and more
        daemons retrying.
        """
        own = self.membership.own
        if own.is_leaving:
            return False
        lost = self.lost_reports.alive_keys()
        peers = [
            peer
            for peer in self.membership.known_daemons()
            if _is_eligible(peer)
        ]
        if self._ranks_first(peers):
            return True
        if own.address in lost or not self._may_take_over(peers, lost):
            return False
        served = [peer for peer in peers if peer.address not in lost]
        return self._has_reader_rank(served)

    def _ranks_first(self, peers: list[Daemon]) -> bool:
        """Return whether this daemon reads while the store serves everybody."""
        if self._is_discovering():
            return self.is_seed()
        return self._has_reader_rank(peers)

    def _may_take_over(self, peers: list[Daemon], lost: set[str]) -> bool:
        """Return whether the ranks of daemons without a report count.

        While daemons discover each other, they count only once no seed that
        has announced itself is served, and one of the seeds has said so.
        """
        if not self._is_discovering():
            return True
        seeds = self.membership.configured_seeds
        if lost.isdisjoint(seeds):
            return False
        return all(
            peer.address in lost for peer in peers if peer.address in seeds
        )

    def _is_discovering(self) -> bool:
        return self.clock.now() - self.started_at < _DISCOVERY_PERIOD

    def _has_reader_rank(self, peers: list[Daemon]) -> bool:
        """Return whether few enough of some peers come before this daemon."""
        own = self.membership.own
        own_key = self._rank_key(own.address)
        domains = {own.failure_domain}
        rank = 0
        for peer in peers:
            domains.add(peer.failure_domain)
            if peer.failure_domain != own.failure_domain:
                continue
            rank += self._rank_key(peer.address) < own_key
        return rank < math.ceil(READER_COUNT / len(domains))

    def is_seed(self) -> bool:
        """Return whether this daemon is a seed, which all others know."""
        membership = self.membership
        return membership.own.address in membership.configured_seeds

    def report_store_lost(self) -> None:
        """Ask another daemon to take over if this one is a designated reader."""
        if not self.is_designated():
            return
        self.lost_reports.put(
            self.membership.own.address, 'lost', _STORE_LOST_TTL
        )

    def _rank_key(self, address: str) -> tuple[bool, str]:
        """Return the sort key that ranks daemons; seeds come first."""
        return address not in self.membership.configured_seeds, address


def _is_eligible(daemon: Daemon) -> bool:
    return bool(daemon.failure_domain) and not daemon.is_leaving
