"""Decides which daemons of a fleet read the store."""

import enum
import math
from collections.abc import Collection

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._fleet_contact import FleetContact
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._lost_reports import report_store_lost
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._open_waits import OpenWaits
from cowslippond_core._store_era import StoreEra
from cowslippond_core._takeover import (
    BeaconTakeover,
    address_fraction,
    takeover_delay,
)
from cowslippond_core._versions import Versions

#: Number of daemons that wait for changes, divided among the failure domains.
#: With three, one may be partitioned undetected while another one is killed.
READER_COUNT = 3

#: Age of the last confirmation above which a daemon reads the store itself. It
#: covers two waits for changes and the time to detect that a store is down.
STALE_AGE: Millis = 4000

#: The gossip table in which the daemons that read the store announce it.
STORE_READER_TABLE = 'store_readers'

# Lifetime of such an announcement, and the time between two of a daemon.
_READER_TTL: Millis = 8000
_READER_INTERVAL: Millis = 600

# A daemon that hears no beacons may take over reading if the newest announcement
# is older than this. With 1300 ms, announcements often came later, and 136
# daemons of a fleet without a fault made up to 13 calls a second over 5 s.
_MAX_READER_AGE: Millis = 2600

# Range of the additional wait of each daemon before it takes over. Few daemons
# have a short one, so that the first announcement reaches the others in time.
_TAKEOVER_SPREAD: Millis = 1000

# The same for each known daemon while readers report that the store refuses
# them, which keeps a store that is down for all from being called by all.
_OUTAGE_SPACING: Millis = 100

# A daemon that has exchanged nothing with any peer for this long is alone. Six
# exchanges a second are usual.
_MAX_CONTACT_AGE: Millis = 1200

# Ends the announcement of a daemon that reads for that reason.
_SUBSTITUTE = '*'

# Time that a starting daemon needs to discover most of a large fleet. Before
# that, it would rank itself first in its failure domain, so only the seeds are
# designated readers.
_DISCOVERY_PERIOD: Millis = 15_000


class ReadReason(enum.StrEnum):
    """Why a daemon reads the store."""

    ALONE = 'alone'
    UNCONFIRMED = 'unconfirmed'
    NO_BEACONS = 'no_beacons'
    NO_ANNOUNCEMENTS = 'no_announcements'
    RANK = 'rank'
    OTHERS_READ = ''


class ReaderRole:
    """Decides whether this daemon reads the store.

    :param membership: the other daemons.
    :param versions: the versions whose confirmation peers pass on.
    :param lost_reports: which daemons cannot read the store.
    :param clock: measures the age of confirmations.
    :param era: the era of the store.
    :param readers: announces which daemons read, and the era that they see.
    :param contact: records when a peer last answered; without it, a daemon
        never counts as alone.
    :param takeover: decides by the beacons of readers whether others read;
        without it, or while it cannot tell, announcements decide.

    ``reason`` is why this daemon reads, for logs.
    """

    def __init__(
        self,
        membership: Membership,
        versions: Versions,
        lost_reports: GossipTable,
        clock: Clock,
        era: StoreEra | None = None,
        readers: GossipTable | None = None,
        contact: FleetContact | None = None,
        takeover: BeaconTakeover | None = None,
    ) -> None:
        self.contact = contact
        self.takeover = takeover
        self.waits = OpenWaits(clock)
        self.era = era or StoreEra()
        self.readers = readers or GossipTable(STORE_READER_TABLE, clock)
        self.announces = readers is not None
        self.reader_seen_at = clock.now()
        self.announced_at: Millis = -math.inf
        self.announced_era = ''
        self.is_substitute = False
        self.reason = ReadReason.OTHERS_READ
        self.membership = membership
        self.versions = versions
        self.lost_reports = lost_reports
        self.clock = clock
        self.started_at = clock.now()

    def is_reader(self) -> bool:
        """Return whether this daemon waits for changes in the store."""
        self.reason = self._find_reason()
        return self.reason is not ReadReason.OTHERS_READ

    def _find_reason(self) -> ReadReason:
        if self.is_alone():
            # Once a peer answers again, announcements need time to arrive.
            self.reader_seen_at = self.clock.now()
            return ReadReason.ALONE
        if not self.is_confirmed(STALE_AGE):
            return ReadReason.UNCONFIRMED
        if self.announces and self._lacks_reader():
            if self.takeover is not None and self.takeover.is_possible():
                return ReadReason.NO_BEACONS
            return ReadReason.NO_ANNOUNCEMENTS
        if self.is_designated():
            return ReadReason.RANK
        return ReadReason.OTHERS_READ

    def is_chosen(self) -> bool:
        """Return whether few daemons besides this one take over reading."""
        return self.is_alone() or self.is_substitute or self.is_designated()

    def is_alone(self) -> bool:
        """Return whether no peer has been heard of for some time."""
        if self.contact is None or not self.membership.known_daemons():
            return False
        if self.takeover and self.takeover.beacons.are_heard(_MAX_CONTACT_AGE):
            return False
        contacted_at = self.contact.contacted_at
        if contacted_at is None:
            contacted_at = self.started_at
        return self.clock.now() - contacted_at > _MAX_CONTACT_AGE

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
        return sorted(self._readers_within(_READER_TTL))

    def _readers_within(self, max_age: Millis) -> dict[str, bool]:
        """Return the readers that announced themselves within a time span."""
        lost = self.lost_reports.alive_keys()
        return {
            row.key: row.text.endswith(_SUBSTITUTE)
            for row in _announcements(self.readers, self.era.current)
            if row.key not in lost and _READER_TTL - row.remaining <= max_age
        }

    def _record_announcements(self) -> None:
        """Record when the newest announcement was written.

        Those of refused readers count, since others replace these by rank.
        """
        lifetimes = [
            row.remaining
            for row in _announcements(self.readers, self.era.current)
        ]
        if lifetimes:
            age = _READER_TTL - max(lifetimes)
            self.reader_seen_at = max(
                self.reader_seen_at, self.clock.now() - age
            )

    def _lacks_reader(self) -> bool:
        """Return whether no other daemon of this release reads.

        Of several substitutes, the one with the lowest address goes on.
        """
        own = self.membership.own.address
        self._record_announcements()
        if self.takeover is not None and self.takeover.is_possible():
            self.is_substitute = self.takeover.is_needed(
                is_substitute=self.is_substitute
            )
        elif own in self.lost_reports.alive_keys():
            self.is_substitute = False
        elif self.is_substitute:
            readers = self._readers_within(_MAX_READER_AGE)
            readers.pop(own, None)
            self.is_substitute = all(
                is_substitute and own < address
                for address, is_substitute in readers.items()
            )
        else:
            delay = _announcement_delay(
                own,
                self.membership.count(),
                is_outage=bool(self.lost_reports.alive_keys()),
            )
            age = self.clock.now() - self.reader_seen_at
            self.is_substitute = age > _MAX_READER_AGE + delay
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
        seeds = self.membership.configured_seeds
        own_key = _rank_key(own.address, seeds)
        domains = {own.failure_domain}
        rank = 0
        for peer in peers:
            domains.add(peer.failure_domain)
            if peer.failure_domain != own.failure_domain:
                continue
            rank += _rank_key(peer.address, seeds) < own_key
        return rank < math.ceil(READER_COUNT / len(domains))

    def is_seed(self) -> bool:
        """Return whether this daemon is a seed, which all others know."""
        membership = self.membership
        return membership.own.address in membership.configured_seeds

    def report_store_lost(self, missed: Millis = 0) -> None:
        """Ask another daemon to take over if this one reads for others.

        A substitute stops being one, so that its retries are delayed like those
        of other daemons.

        :param missed: for how long this daemon may have missed changes, in
            milliseconds.
        """
        if not (self.is_substitute or self.is_designated()):
            return
        own = self.membership.own.address
        report_store_lost(self.lost_reports, own, missed)
        self.is_substitute = False


def _rank_key(address: str, seeds: Collection[str]) -> tuple[bool, str]:
    """Return the sort key that ranks daemons; seeds come first."""
    return address not in seeds, address


def _is_eligible(daemon: Daemon) -> bool:
    return bool(daemon.failure_domain) and not daemon.is_leaving


def _announcements(readers: GossipTable, era: int) -> list[GossipRow]:
    """Return the announcements of an era, also of readers that are refused."""
    return [
        row
        for row in readers.rows()
        if row.text.removesuffix(_SUBSTITUTE) == str(era)
    ]


def _announcement_delay(address: str, count: int, *, is_outage: bool) -> Millis:
    """Return how much longer than others a daemon waits for announcements."""
    if is_outage:
        return address_fraction(address) * _OUTAGE_SPACING * count
    return takeover_delay(address, count, _TAKEOVER_SPREAD)
