"""Keeps a daemon's copy of some rows of the store up to date.

Few daemons of each failure domain wait for changes at the store and pass them
on to their peers; the others read it only when nobody confirms what they have.
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

#: Daemons that wait for changes, divided among the failure domains: one may be
#: cut off without noticing, and one may be killed meanwhile.
READER_COUNT = 3

#: The age at which a daemon reads for itself, in milliseconds: longer than two
#: waits for changes, with the time to notice a dead store.
STALE_AGE: Millis = 4000

#: The table in which daemons say that the store does not answer them.
STORE_LOST_TABLE = 'store_lost'

# How long that is believed unless it is said again, in milliseconds.
_STORE_LOST_TTL: Millis = 5000

# Waits in milliseconds: of one call for changes at least and at most, before the
# next try after an error, and between two looks at whose turn it is. A change
# has to be in force 2 s after it was stored, and an open call may stay silent
# about it; calls of different length keep the readers out of step.
_MIN_CHANGE_WAIT: Millis = 700
_MAX_CHANGE_WAIT: Millis = 1300
_INITIAL_RETRY_DELAY: Millis = 150
_MAX_RETRY_DELAY: Millis = 1000
_ROLE_CHECK_INTERVAL: Millis = 250

# The least time between two calls for changes, in milliseconds: where many
# upstreams come or go together, one call and one round of gossip tell of several.
_MIN_CALL_INTERVAL: Millis = 400

# Daemons that all find nobody confirming try this far apart on average, in
# milliseconds, so that a large fleet doesn't press on a store that is down.
_RETRY_SPACING: Millis = 20

# How long a daemon that starts waits for its peers to tell it what they read, in
# milliseconds; they meet within a few rounds.
_PEER_WAIT_LIMIT: Millis = 1200
_PEER_CHECK_INTERVAL: Millis = 50

# Until it has met most of a large fleet, in milliseconds, a daemon would take
# itself for the first of its failure domain.
_DISCOVERY_PERIOD: Millis = 15_000

# Daemons that all find nobody confirming don't read at once.
_MIN_TAKEOVER_JITTER: Millis = 500


class ReaderRole:
    """Tells whether this daemon reads the store.

    :param membership: the other daemons.
    :param versions: whose confirmation passes from daemon to daemon.
    :param lost: tells which daemons the store does not answer.
    :param clock: the clock of ages.
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
        """Tell whether this daemon waits for changes at the store."""
        confirmed_at = self.versions.confirmed_at
        if confirmed_at is None:
            return True
        if self.clock.now() - confirmed_at > STALE_AGE:
            return True
        return self.is_designated()

    def is_designated(self) -> bool:
        """Tell whether this daemon is among those that read for the others."""
        own = self.membership.own
        if own.is_leaving:
            return False
        if self.clock.now() - self.started_at < _DISCOVERY_PERIOD:
            return self.is_seed()
        eligible = [
            one
            for one in self.membership.known_daemons()
            if self._is_eligible(one)
        ]
        domains = {one.failure_domain for one in eligible} | {
            own.failure_domain
        }
        own_rank_key = self._rank_key(own.address)
        rank = sum(
            one.failure_domain == own.failure_domain
            and self._rank_key(one.address) < own_rank_key
            for one in eligible
        )
        return rank < math.ceil(READER_COUNT / len(domains))

    def is_seed(self) -> bool:
        """Tell whether this daemon is one of those that all others know."""
        membership = self.membership
        return membership.own.address in membership.configured_seeds

    def report_store_lost(self) -> None:
        """Tell the others to read in place of this daemon, if it is to read."""
        if not self.is_designated():
            return
        self.lost_reports.put(
            self.membership.own.address, 'lost', _STORE_LOST_TTL
        )

    def _rank_key(self, address: str) -> tuple[bool, str]:
        """Return a rank among daemons; those that all know go first."""
        return address not in self.membership.configured_seeds, address

    def _is_eligible(self, daemon: Daemon) -> bool:
        if daemon.is_leaving or not daemon.failure_domain:
            return False
        return not self.lost_reports.is_alive(daemon.address, self.clock.now())


class StoreWatch:
    """Reads rows of one kind while that is this daemon's duty.

    :param name: of the rows, for logs.
    :param source: the rows.
    :param duty: whether to read.
    :param take: gets what was read, whether it is all there is, whether the
        store was lost before, and when it was asked for.
    :param clock: the clock of all waits.
    :param rng: spreads reads.
    :param is_first_start: whether the whole fleet starts for the first time,
        before it is needed; then the first read is left to a few.
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
        """Read until cancelled."""
        await self._await_peers()
        while True:
            if not self.role.is_reader():
                self.revision = None
                await self._await_role()
                continue
            await self._read_once()

    async def _await_peers(self) -> None:
        """Leave the first read to the daemons that all others know.

        Where all start at once, they tell the others within a second.
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
            _logger.info('store forgot its history', extra={'rows': self.name})
            self.revision = None
            return
        if not self.is_store_lost:
            _logger.warning(
                'store lost',
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
        self.retry_delay = min(self.retry_delay * 2, _MAX_RETRY_DELAY)
        await self.clock.sleep(max_delay * (1 + self.rng.random()) / 2)

    def _retry_spacing(self) -> Millis:
        """Return the time between two tries of this daemon, 0 if it is to read."""
        if self.role.is_designated():
            return 0
        return _RETRY_SPACING * self.role.membership.count()

    def _record_success(self) -> bool:
        was_lost = self.is_store_lost
        self.is_store_lost = False
        self.retry_delay = _INITIAL_RETRY_DELAY
        if was_lost:
            _logger.warning('store regained', extra={'rows': self.name})
        return was_lost
