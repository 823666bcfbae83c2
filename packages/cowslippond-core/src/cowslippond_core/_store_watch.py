"""Keep a daemon's copy of store rows up to date.

A few daemons of each failure domain wait for changes in the store and pass
them on to their peers. The others read the store only when no peer confirms
their copy.
"""

import logging
import math
import random
from collections.abc import Callable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._platform_store import (
    RowSource,
    StoreError,
    StoreFault,
    StoreRows,
)
from cowslippond_core._versions import Versions

_logger = logging.getLogger(__name__)

#: Number of daemons that wait for changes, divided among the failure domains.
#: With three, one may be partitioned undetected while another one is killed.
READER_COUNT = 3

#: Age of the last confirmation above which a daemon reads the store itself. It
#: covers two waits for changes and the time to detect that a store is down.
STALE_AGE: Millis = 4000

#: The gossip table in which daemons report that they cannot read the store.
STORE_LOST_TABLE = 'store_lost'

# Lifetime of such a report unless it is renewed.
_STORE_LOST_TTL: Millis = 5000

# Bounds of the wait of one call for changes. A change must be in force 2 s after
# it was stored, and an open call may fail to report it, so calls have to end
# well before that. The random length keeps the readers out of step.
_MIN_CHANGE_WAIT: Millis = 700
_MAX_CHANGE_WAIT: Millis = 1300

_INITIAL_RETRY_DELAY: Millis = 150
_MAX_RETRY_DELAY: Millis = 1000

# The same while other daemons are served, as a confirmation of at most this
# age shows. Nothing waits for the refused daemon then.
_MAX_CONFIRMED_RETRY_DELAY: Millis = 2000
_FRESH_AGE: Millis = 2000
_ROLE_CHECK_INTERVAL: Millis = 250

# Minimum time from a call that returned changes to the next one. When many
# upstreams join or leave together, one call and one gossip round then cover
# several of them.
_MIN_CALL_INTERVAL: Millis = 400

# Mean time between two attempts across a fleet in which no daemon confirms the
# rows. It keeps a large fleet from overloading a store that is down.
_RETRY_SPACING: Millis = 24

# How long a starting daemon waits for its peers to pass on what they have read.
# Daemons discover each other within a few gossip rounds.
_PEER_WAIT_LIMIT: Millis = 1200
_PEER_CHECK_INTERVAL: Millis = 50

# Time that a starting daemon needs to discover most of a large fleet. Before
# that, it would rank itself first in its failure domain, so only the seeds are
# designated readers.
_DISCOVERY_PERIOD: Millis = 15_000

# Minimum range of the random delay before a daemon takes over reading, so that
# daemons whose copies become stale together do not all read at once.
_MIN_TAKEOVER_JITTER: Millis = 500

# The same for a daemon whose rank makes it a reader. Only few daemons rank
# first, also while their lists of daemons are incomplete.
_DESIGNATED_JITTER: Millis = 150


class ReaderRole:
    """Decides whether this daemon reads the store.

    :param membership: the other daemons.
    :param versions: the versions whose confirmation peers pass on.
    :param lost_reports: which daemons cannot read the store.
    :param clock: measures the age of confirmations.
    """

    def __init__(
        self,
        membership: Membership,
        versions: Versions,
        lost_reports: GossipTable,
        clock: Clock,
    ) -> None:
        self.membership = membership
        self.versions = versions
        self.lost_reports = lost_reports
        self.clock = clock
        self.started_at = clock.now()

    def is_reader(self) -> bool:
        """Return whether this daemon waits for changes in the store."""
        return not self.is_confirmed(STALE_AGE) or self.is_designated()

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


class StoreWatch:
    """Reads rows of one kind while this daemon is a reader.

    :param name: names the rows in logs.
    :param source: reads the rows.
    :param role: decides whether to read.
    :param on_rows: receives the rows, whether they are all rows of the store,
        whether the previous read failed, and when the read was requested.
    :param clock: measures all waits.
    :param rng: randomizes the time of reads.
    :param is_first_start: whether the whole fleet starts for the first time,
        before it takes calls; the first read is then left to the seeds.
    """

    def __init__(
        self,
        name: str,
        source: RowSource,
        role: ReaderRole,
        on_rows: Callable[[StoreRows, bool, bool, Millis], None],
        clock: Clock,
        rng: random.Random,
        *,
        is_first_start: bool = False,
    ) -> None:
        self.is_first_start = is_first_start
        self.name = name
        self.source = source
        self.role = role
        self.on_rows = on_rows
        self.clock = clock
        self.rng = rng
        self.revision: int | None = None
        self.is_store_lost = False
        self.retry_delay = _INITIAL_RETRY_DELAY

    async def run(self) -> None:
        """Read until cancelled.

        After an error in a previous run, all rows are read again, since some
        may not have been applied.
        """
        self.revision = None
        await self._await_peers()
        while True:
            if not self.role.is_reader():
                self.revision = None
                await self._await_role()
                continue
            await self._read_once()

    async def _await_peers(self) -> None:
        """Leave the first read to the seeds.

        When the whole fleet starts at once, the seeds pass on what they read
        within a second.
        """
        if self.role.is_seed() or not self.is_first_start:
            return
        ends_at = self.clock.now() + _PEER_WAIT_LIMIT
        while self.clock.now() < ends_at:
            if self.role.versions.revision:
                return
            await self.clock.sleep(_PEER_CHECK_INTERVAL)

    async def _await_role(self) -> None:
        while not self.role.is_reader():
            await self.clock.sleep(_ROLE_CHECK_INTERVAL)
        if self.role.is_designated():
            jitter = _DESIGNATED_JITTER
        else:
            jitter = max(_MIN_TAKEOVER_JITTER, self._retry_spacing())
        await self.clock.sleep(self.rng.random() * jitter)

    async def _read_once(self) -> None:
        requested_at = self.clock.now()
        is_full_read = self.revision is None
        if self.revision is None:
            answer = await self.source.read()
        else:
            wait = self.rng.uniform(_MIN_CHANGE_WAIT, _MAX_CHANGE_WAIT)
            answer = await self.source.wait(self.revision, wait)
        if answer.is_error():
            await self._record_error(answer.error)
            return
        rows = answer.ok
        was_lost = self._record_success()
        self.revision = rows.revision
        self.on_rows(rows, is_full_read, was_lost, requested_at)
        if rows.rows:
            ends_at = requested_at + _MIN_CALL_INTERVAL
            await self.clock.sleep(ends_at - self.clock.now())

    async def _record_error(self, error: StoreError) -> None:
        if error.fault is StoreFault.HISTORY_LOST:
            _logger.info(
                'store truncated its change history; reading all rows again',
                extra={'rows': self.name},
            )
            self.revision = None
            return
        if not self.is_store_lost:
            _logger.warning(
                'store cannot be read; retrying',
                extra={
                    'rows': self.name,
                    'reason': error.fault.value,
                    'detail': error.detail,
                },
            )
        self.is_store_lost = True
        self.revision = None
        self.role.report_store_lost()
        max_delay = max(self.retry_delay, self._retry_spacing())
        limit = (
            _MAX_CONFIRMED_RETRY_DELAY
            if self.role.is_confirmed(_FRESH_AGE)
            else _MAX_RETRY_DELAY
        )
        self.retry_delay = min(self.retry_delay * 2, limit)
        await self.clock.sleep(max_delay * (1 + self.rng.random()) / 2)

    def _retry_spacing(self) -> Millis:
        """Return the mean time between attempts; 0 for a designated reader."""
        if self.role.is_designated():
            return 0
        return _RETRY_SPACING * self.role.membership.count()

    def _record_success(self) -> bool:
        was_lost = self.is_store_lost
        self.is_store_lost = False
        self.retry_delay = _INITIAL_RETRY_DELAY
        if was_lost:
            _logger.warning(
                'store can be read again', extra={'rows': self.name}
            )
        return was_lost
