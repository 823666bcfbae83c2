"""The evacuated failure domains, replicated from the store and from peers."""

import logging
import math
from collections.abc import Callable, Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._platform_store import StoreRows
from cowslippond_core._store_era import StoreEra, era_of, plain_revision
from cowslippond_core._versions import Versions
from cowslippond_core._whole_read import (
    WHOLE_READ_KEY,
    keys_of,
    make_whole_read,
)

_logger = logging.getLogger(__name__)

#: The name of the log through which daemons exchange evacuations.
EVACUATION_LOG = 'evacuations'

#: Keys of rows that evacuate a failure domain; its name follows.
EVACUATION_PREFIX = 'evacuation/'

# Operators repeat within this time what the store has lost in an outage or a
# restore.
_GRACE_PERIOD: Millis = 2300

# The text of an evacuation. What the operator wrote is not passed on, as it has
# no meaning, may be long and must not be taken for the mark of a removal.
_EVACUATED = 'evacuated'

# Tombstones keep a lagging peer from restoring evacuations that have ended.
_MAX_TOMBSTONES = 256


class EvacuationLog(Versions):
    """The evacuations by failure domain, versioned by the store's revision.

    The one with the higher revision wins. An empty text marks the end of an
    evacuation. ``domains`` are the evacuated failure domains; the set stays the
    same object. ``watchers`` are called with the domains whose evacuation began
    and those whose evacuation ended.

    The last read of the whole table is an entry as well, so that peers learn of
    ends for which nobody that they hear of has a tombstone. While the table may
    lack what operators are about to write again, the entry is held back and the
    revision stays low: this daemon would not ask peers with a lower one for
    what they still have.

    :param clock: the clock of the grace period.
    :param era: the era of the store.
    """

    def __init__(self, clock: Clock, era: StoreEra | None = None) -> None:
        super().__init__()
        self.clock = clock
        if era is not None:
            era.listeners.append(self._begin_era)
        self.domains: set[str] = set()
        self.watchers: list[
            Callable[[frozenset[str], frozenset[str]], None]
        ] = []
        self.notified: frozenset[str] = frozenset()
        self.pending_removals: dict[str, int] = {}
        self.store_back_at: Millis | None = None
        self.newest_revision = 0
        self.whole_revision = 0
        self.whole_read_at: Millis = -math.inf
        self.whole_domains: frozenset[str] = frozenset()
        # When the table was first read whole in its era.
        self.era_read_at: Millis = -math.inf

    def apply_rows(
        self,
        rows: StoreRows,
        is_whole: bool,
        returned_at: Millis | None,
        requested_at: Millis,
    ) -> None:
        """Apply rows of the store, some of which may be evacuations.

        After an outage or a restore of the store, the end of an evacuation
        whose row is missing is deferred, as the operator may write it again.

        :param rows: the rows.
        :param is_whole: whether a missing row means that it has been removed.
        :param returned_at: when the store has returned from an outage that this
            daemon had noticed since its last read, in milliseconds, or ``None``.
        :param requested_at: unused.
        """
        if returned_at is not None:
            self.store_back_at = max(self.store_back_at or 0, returned_at)
        present = set()
        entries = []
        for row in rows.rows:
            domain = row.key.removeprefix(EVACUATION_PREFIX)
            if domain == row.key:
                continue
            present.add(domain)
            self.pending_removals.pop(domain, None)
            text = '' if row.text is None else _EVACUATED
            entries.append(self._make_entry(domain, text, row.revision))
        if is_whole:
            missing = dict.fromkeys(self.domains - present, rows.revision)
            self.pending_removals.update(missing)
            self._record_whole_read(rows.revision, frozenset(present))
        self._put_all(entries)
        self.apply_pending_removals()

    def apply_pending_removals(self) -> None:
        """End the evacuations whose rows are missing, after the grace period.

        A read of the whole table that was held back is passed on.
        """
        if self._is_in_grace_period():
            return
        removals = self.pending_removals
        self.pending_removals = {}
        self._put_all(
            [
                self._make_entry(domain, '', revision)
                for domain, revision in removals.items()
            ]
        )

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Begin or end an evacuation."""
        domain = accepted.service
        if domain == WHOLE_READ_KEY:
            return self._end_missing(accepted)
        if not accepted.text:
            self.domains.discard(domain)
            self._trim_tombstones()
            return True
        self.domains.add(domain)
        return True

    def _is_newer(self, accepted: AcceptedDocument) -> bool:
        """Return whether a version replaces the stored one.

        A peer may offer an evacuation that had ended before this daemon read
        the whole table, so that it knows no tombstone. It then makes one, from
        which the peer learns of the end. After a restore of the store, the
        operator is given time to write the row again before.
        """
        revision = self.revision
        is_newer = super()._is_newer(accepted)
        if self._is_read_held():
            # The next revision may be that of the read.
            self.revision = revision
        if not is_newer or not self._has_ended(accepted):
            return is_newer
        domain = accepted.service
        if self._may_be_rewritten(accepted):
            known = self.store_back_at
            self.store_back_at = (
                self.whole_read_at
                if known is None
                else max(known, self.whole_read_at)
            )
            self.pending_removals[domain] = self.whole_revision
            return True
        self.latest[domain] = self._make_entry(domain, '', self.whole_revision)
        # A peer that is at the same revision would not get the tombstone.
        self.newest_revision = max(self.newest_revision, self.whole_revision)
        self._advance_revision()
        return False

    def _record_whole_read(
        self, revision: int, present: frozenset[str]
    ) -> None:
        """Remember a read of the whole table, unless a later one is known."""
        if revision < self.whole_revision:
            return
        now = self.clock.now()
        if era_of(revision) > era_of(self.whole_revision):
            self.era_read_at = now
        self.whole_revision = revision
        self.whole_read_at = now
        self.whole_domains = present

    def _end_missing(self, read: AcceptedDocument) -> bool:
        """End the evacuations that a peer's read of the whole table lacked.

        The peer has given operators time to write them again.
        """
        present = keys_of(read)
        if present is None:
            return False
        for domain in self.domains - present:
            if self.latest[domain].revision > read.revision:
                continue
            self.pending_removals.pop(domain, None)
            self.latest[domain] = self._make_entry(domain, '', read.revision)
            self.domains.discard(domain)
        if read.revision > self.whole_revision:
            self.whole_revision = read.revision
            self.whole_read_at = -math.inf
            self.whole_domains = present
            self.era_read_at = -math.inf
        return True

    def _has_ended(self, accepted: AcceptedDocument) -> bool:
        """Return whether the last read of the whole table lacked an entry."""
        domain = accepted.service
        if not accepted.text or domain in self.pending_removals:
            return False
        is_covered = accepted.revision <= self.whole_revision
        return is_covered and domain not in self.whole_domains

    def _may_be_rewritten(self, accepted: AcceptedDocument) -> bool:
        """Return whether a restored copy may have lacked a missing row."""
        if era_of(accepted.revision) >= era_of(self.whole_revision):
            return False
        return self.clock.now() < self.whole_read_at + _GRACE_PERIOD

    def _put_all(self, entries: Iterable[AcceptedDocument]) -> None:
        """Apply entries of the store."""
        batch = tuple(entries)
        self.offer_all(batch)
        revisions = (entry.revision for entry in batch)
        self.newest_revision = max(self.newest_revision, *revisions, 0)
        self._pass_on_read()
        self._advance_revision()

    def _pass_on_read(self) -> None:
        """Make an entry of the last read of the whole table.

        Without other entries, the revision is below that of any peer that has
        an evacuation, so that the peer offers it to this daemon.
        """
        has_read = self.whole_revision > 0
        if not has_read or not self.latest or self._is_read_held():
            return
        self.offer(
            make_whole_read(
                self.whole_revision, self.whole_domains, self.clock.wall()
            )
        )
        self.newest_revision = max(self.newest_revision, self.whole_revision)

    def _is_read_held(self) -> bool:
        """Return whether the last read is not to be passed on yet.

        A daemon that started after a restore of the store does not know of it,
        so the first read of an era is always held back.
        """
        known = self.latest.get(WHOLE_READ_KEY)
        known_revision = 0 if known is None else known.revision
        if known_revision >= self.whole_revision:
            return False
        if self._is_in_grace_period():
            return True
        if not era_of(self.whole_revision):
            # A store without eras is never restored.
            return False
        return self.clock.now() < self.era_read_at + _GRACE_PERIOD

    def _advance_revision(self) -> None:
        """Advance the revision, but not beyond the first pending removal.

        It only advances to that of an entry, since other changes of the store
        concern no peer. While the first read of an era is held back, the
        revision contains no era: daemons that know nothing get the entries, and
        those that know of an earlier era offer theirs.
        """
        newest = self.newest_revision
        first_missing = min(self.pending_removals.values(), default=newest + 1)
        era = era_of(self.whole_revision)
        if self._is_read_held() and era_of(self.revision) != era:
            newest = plain_revision(newest)
            first_missing = min(first_missing, self.whole_revision)
        self.advance(min(newest, first_missing - 1))

    def _notify(self) -> None:
        """Call the watchers once for all changes since the last call."""
        current = frozenset(self.domains)
        begun = current - self.notified
        ended = self.notified - current
        self.notified = current
        for domain in sorted(begun | ended):
            _logger.warning(
                'evacuation of a failure domain has begun'
                if domain in begun
                else 'evacuation of a failure domain has ended',
                extra={
                    'domain': domain,
                    'revision': self.latest[domain].revision
                    if domain in self.latest
                    else self.revision,
                },
            )
        if begun or ended:
            for watcher in self.watchers:
                watcher(begun, ended)
        super()._notify()

    def _begin_era(self, previous: int) -> None:
        """Give evacuations that the restored copy lacks time to return."""
        if previous:
            self.store_back_at = self.clock.now()

    def _is_in_grace_period(self) -> bool:
        if self.store_back_at is None:
            return False
        return self.clock.now() < self.store_back_at + _GRACE_PERIOD

    def _make_entry(
        self, domain: str, text: str, revision: int
    ) -> AcceptedDocument:
        at = self.clock.wall()
        return AcceptedDocument(domain, revision, revision, text, '', at)

    def _trim_tombstones(self) -> None:
        tombstones = [entry for entry in self.latest.values() if not entry.text]
        if len(tombstones) > _MAX_TOMBSTONES:
            oldest = min(tombstones, key=lambda one: one.revision)
            self.latest.pop(oldest.service)
