"""Keep a daemon's copy of store rows up to date.

A few daemons of each failure domain wait for changes in the store and pass
them on to their peers. The others read the store only when no peer confirms
their copy.
"""

import logging
import math
import random
from collections.abc import Callable

from expression import Result

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._platform_store import (
    RowSource,
    StoreError,
    StoreFault,
    StoreRows,
)
from cowslippond_core._reader_role import ReaderRole
from cowslippond_core._store_era import era_of, lift_rows
from cowslippond_core._store_outage import StoreOutage

_logger = logging.getLogger(__name__)

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
_MIN_ROLE_CHECK_INTERVAL: Millis = 5

# How much later than after the requested wait a store that works answers.
_ANSWER_SLACK: Millis = 100

# Minimum time from a call that returned changes to the next one. When many
# upstreams join or leave together, one call and one gossip round then cover
# several of them.
_MIN_CALL_INTERVAL: Millis = 400

# Mean time between two attempts across a fleet in which no daemon confirms the
# rows. It keeps a large fleet from overloading a store that is down.
_RETRY_SPACING: Millis = 100

# Bounds of the wait of a daemon that no peer tells of changes. A change has to
# be known after 2 s also if the open call fails to report it, and the daemons
# that are alone may make one call a second each for two tables.
_MIN_LONE_WAIT: Millis = 1900
_MAX_LONE_WAIT: Millis = 1970

# Maximum delay between attempts of such a daemon.
_MAX_LONE_RETRY_DELAY: Millis = 2600

# How long after its last read a daemon that reads again may go on from there.
# Later, there may be more changes than rows.
_MAX_RESUME_AGE: Millis = 60_000

# How long a starting daemon waits for its peers to pass on what they have read.
# Daemons discover each other within a few gossip rounds.
_PEER_WAIT_LIMIT: Millis = 1200
_PEER_CHECK_INTERVAL: Millis = 50

# Minimum range of the random delay before a daemon takes over reading, so that
# daemons whose copies become stale together do not all read at once.
_MIN_TAKEOVER_JITTER: Millis = 500

# The same for a daemon whose rank makes it a reader. Only few daemons rank
# first, also while their lists of daemons are incomplete.
_DESIGNATED_JITTER: Millis = 150


# Who told an era, in logs.
_STORE = 'store'


class StoreWatch:
    """Reads rows of one kind while this daemon is a reader.

    :param name: names the rows in logs.
    :param source: reads the rows.
    :param role: decides whether to read.
    :param on_rows: receives the rows, whether they are all rows of the store,
        when the store had returned from an outage that this daemon had noticed
        since its last read, or ``None``, and when the read was requested.
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
        on_rows: Callable[[StoreRows, bool, Millis | None, Millis], None],
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
        self.outage = StoreOutage(role.versions)
        self.requested_at: Millis = -math.inf
        self.answer_due_at: Millis = -math.inf
        self.logged_role = ''
        self.era = role.era
        self.read_at: Millis = -math.inf
        self.retry_delay = _INITIAL_RETRY_DELAY
        self.has_caught_up = False
        role.waits.forget(name)

    async def run(self) -> None:
        """Read until cancelled.

        After an error in a previous run, all rows are read again, since some
        may not have been applied.
        """
        self.revision = None
        await self._await_peers()
        while True:
            if not self.role.is_reader():
                self._log_role('other daemons read the store')
                self.has_caught_up = False
                await self._await_role()
                self._forget_old_revision()
                continue
            self._log_role('this daemon reads the store')
            await self._read_once()

    def _log_role(self, message: str) -> None:
        """Log who reads the store, once for each change."""
        if message == self.logged_role:
            return
        self.logged_role = message
        _logger.info(
            message,
            extra={
                'rows': self.name,
                'designated': self.role.is_designated(),
                'reason': self.role.reason,
                'readers': self.role.known_readers(),
            },
        )

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

    def _forget_old_revision(self) -> None:
        """Read all rows next if the last read was long ago."""
        if self.clock.now() - self.read_at > _MAX_RESUME_AGE:
            self.revision = None

    async def _await_role(self) -> None:
        while not self.role.is_reader():
            await self.clock.sleep(self._role_check_interval())
        takeover = self.role.takeover
        if takeover is not None and takeover.is_possible():
            # Daemons take over at different times, which needs no jitter.
            await self.clock.sleep(_MIN_ROLE_CHECK_INTERVAL)
            return
        if self.role.is_chosen():
            await self.clock.sleep(self.rng.random() * _DESIGNATED_JITTER)
            return
        jitter = max(_MIN_TAKEOVER_JITTER, self._retry_spacing())
        await self._sleep_unless_chosen(self.rng.random() * jitter)

    def _role_check_interval(self) -> Millis:
        takeover = self.role.takeover
        if takeover is None:
            return _ROLE_CHECK_INTERVAL
        interval = min(takeover.time_left(), _ROLE_CHECK_INTERVAL)
        return max(interval, _MIN_ROLE_CHECK_INTERVAL)

    async def _sleep_unless_chosen(self, delay: Millis) -> None:
        """Sleep, but end early once this daemon has to read or others do.

        Delays that are spread over a large fleet take longer than a daemon that
        has lost its peers may wait. Daemons that read again may be lost before
        such a delay ends.
        """
        ends_at = self.clock.now() + delay
        while self.clock.now() < ends_at:
            if self.role.is_chosen() or not self.role.is_reader():
                return
            left = ends_at - self.clock.now()
            await self.clock.sleep(min(left, _ROLE_CHECK_INTERVAL))

    async def _read_once(self) -> None:
        requested_at = self.clock.now()
        self.requested_at = requested_at
        self.answer_due_at = requested_at
        if self.revision is not None:
            self._restart_in_new_era(self.era.current)
        is_full_read = self.revision is None
        if self.revision is None:
            answer = await self.source.read()
        else:
            answer = await self._wait_for_changes(self.revision)
        if answer.is_error():
            self.era.observe(answer.error.era, _STORE)
            await self._record_error(answer.error)
            return
        rows = self._with_era(answer.ok)
        if era_of(rows.revision) < self.era.current:
            await self._record_error(
                StoreError(StoreFault.OLD_ERA, 'response of an earlier era')
            )
            return
        self.era.observe(era_of(rows.revision), _STORE)
        if not is_full_read and self._restart_in_new_era(self.era.current):
            self.role.waits.forget(self.name)
            return
        is_first = not self.has_caught_up
        returned_at = self._record_success()
        self.has_caught_up = True
        self.role.waits.record_answer(self.name, requested_at)
        if not is_full_read:
            self.retry_delay = _INITIAL_RETRY_DELAY
        self.revision = rows.revision
        self.read_at = requested_at
        self.role.announce_reading()
        self.on_rows(rows, is_full_read, returned_at, requested_at)
        if is_first and self.role.is_substitute:
            await self._leave_reading_to_others()
        elif rows.rows:
            ends_at = requested_at + _MIN_CALL_INTERVAL
            await self.clock.sleep(ends_at - self.clock.now())

    async def _wait_for_changes(
        self, revision: int
    ) -> Result[StoreRows, StoreError]:
        """Wait for changes, or only look for them when beginning to read.

        Other daemons rely on this one while it waits, so it must not wait
        before it has what changed while nobody may have read.
        """
        if not self.has_caught_up:
            return await self.source.wait(revision, 0)
        wait = self._choose_wait()
        self.answer_due_at = self.clock.now() + wait
        self.role.waits.open(self.name, self.answer_due_at + _ANSWER_SLACK)
        return await self.source.wait(revision, wait)

    async def _leave_reading_to_others(self) -> None:
        """Stop reading if another daemon begins to wait for changes.

        When readers are lost, many daemons look for changes at once, and few
        of them need to go on.
        """
        takeover = self.role.takeover
        if takeover is None:
            return
        age = self.role.waits.age()
        if math.isfinite(age):
            takeover.beacons.record_own_read(age)
        caught_up_at = self.clock.now()
        ends_at = caught_up_at + takeover.delay()
        while self.clock.now() < ends_at:
            await self.clock.sleep(_MIN_ROLE_CHECK_INTERVAL)
            if takeover.is_relieved(caught_up_at):
                self.role.is_substitute = False
                return

    def _with_era(self, rows: StoreRows) -> StoreRows:
        """Return the rows in the known era if the store has not sent one."""
        is_present = bool(era_of(rows.revision))
        self.era.record_presence(is_present)
        if is_present or not self.era.current:
            return rows
        if self.revision is None:
            return lift_rows(rows, self.era.current)
        return lift_rows(rows, era_of(self.revision))

    def _restart_in_new_era(self, era: int) -> bool:
        """Read all rows next if the last read was of another era."""
        if self.revision is None or era_of(self.revision) == era:
            return False
        self.revision = None
        return True

    async def _record_error(self, error: StoreError) -> None:
        self.role.waits.forget(self.name)
        is_watch = self.revision is not None
        if is_watch and error.fault is StoreFault.HISTORY_LOST:
            _logger.info(
                'store truncated its change history; reading all rows again',
                extra={'rows': self.name},
            )
            self.revision = None
            return
        if not self.outage.is_noticed:
            _logger.warning(
                'store cannot be read; retrying',
                extra={
                    'rows': self.name,
                    'reason': error.fault.value,
                    'detail': error.detail,
                },
            )
        self.outage.record_failure(min(self.answer_due_at, self.clock.now()))
        self.has_caught_up = False
        self.revision = None
        # The connection of a call without an answer may have been dead from the
        # start of the call.
        now = self.clock.now()
        is_silent = now > self.answer_due_at + _ANSWER_SLACK
        self.role.report_store_lost(now - self.requested_at if is_silent else 0)
        own_delay = self.retry_delay
        max_delay = max(own_delay, self._retry_spacing())
        self.retry_delay = min(self.retry_delay * 2, self._max_retry_delay())
        delay = max_delay * (1 + self.rng.random()) / 2
        await self.clock.sleep(min(delay, own_delay))
        await self._sleep_unless_chosen(delay - own_delay)

    def _choose_wait(self) -> Millis:
        """Return how long the store may wait for a change."""
        if self.role.is_alone():
            return self.rng.uniform(_MIN_LONE_WAIT, _MAX_LONE_WAIT)
        return self.rng.uniform(_MIN_CHANGE_WAIT, _MAX_CHANGE_WAIT)

    def _max_retry_delay(self) -> Millis:
        if self.role.is_alone():
            return _MAX_LONE_RETRY_DELAY
        if self.role.is_confirmed(_FRESH_AGE):
            return _MAX_CONFIRMED_RETRY_DELAY
        return _MAX_RETRY_DELAY

    def _retry_spacing(self) -> Millis:
        """Return the mean time between attempts; 0 if none is shared."""
        if self.role.is_alone() or self.role.is_designated():
            return 0
        return _RETRY_SPACING * self.role.membership.count()

    def _record_success(self) -> Millis | None:
        """Return when the store has returned from an outage, if there was one."""
        now = self.clock.now()
        returned_at = self.outage.end(now)
        if returned_at is not None:
            _logger.warning(
                'store can be read again',
                extra={'rows': self.name, 'since_ms': round(now - returned_at)},
            )
        return returned_at
