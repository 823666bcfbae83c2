"""The upstreams of all services, replicated from the store and from peers."""

import logging
from collections.abc import Callable, Iterable

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._platform_store import StoreRows
from cowslippond_core._shared_keys import SharedKeys
from cowslippond_core._store_era import (
    StoreEra,
    era_of,
    lift_unknown,
    plain_revision,
)
from cowslippond_core._versions import Versions
from cowslippond_core._vm import Vm, VmState
from cowslippond_core._whole_read import WHOLE_READ_KEY

_logger = logging.getLogger(__name__)

#: The name of the log through which daemons exchange upstream entries.
UPSTREAM_LOG = 'upstreams'

#: The name under which daemons that know eras exchange the same entries.
UPSTREAM_ERA_LOG = 'upstreams.era'

# Entries that expired during an outage of the store are registered again about
# two seconds after its return.
_GRACE_PERIOD: Millis = 2300

# Tombstones of removed entries prevent a slow peer from restoring them.
_MAX_TOMBSTONES = 2048

# Above this number of changes at once, such as after a start, only a summary is
# logged.
_MAX_LOGGED_CHANGES = 8


class UpstreamRegistry(Versions):
    """The entries of upstreams, versioned by the revision of the store.

    The entry with the higher revision wins, so that neither a slow peer nor a
    late answer of the store restores an old one. An entry with an empty text is
    a tombstone, which marks a removal.

    Revisions contain the era of the store. In a restored store, an entry that
    had ended or announced its end after the copy was made is found again as it
    was before; it keeps its later state until the store has a newer row.

    After a read of all rows, their keys are an entry as well, from which peers
    learn of removals for which nobody that they hear of has a tombstone. What a
    lagging peer offers later is compared with them, too.

    :param clock: the clock of the grace period.
    :param decode: returns the VM of an entry, or ``None`` if it has none.
    :param era: the era of the store.
    """

    def __init__(
        self,
        clock: Clock,
        decode: Callable[[str, str], Vm | None],
        era: StoreEra | None = None,
    ) -> None:
        super().__init__()
        self.era = era or StoreEra()
        self.era.listeners.append(self._begin_era)
        self.clock = clock
        self.decode = decode
        self.by_key: dict[str, Vm] = {}
        self.watchers: list[Callable[[], None]] = []
        self.changes: list[AcceptedDocument] = []
        self.pending_removals: dict[str, int] = {}
        self.read_revision = 0
        self.store_back_at: Millis | None = None
        self.shared_keys = SharedKeys(clock, _GRACE_PERIOD)

    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs that have an entry."""
        return tuple(self.by_key.values())

    def apply_rows(
        self,
        rows: StoreRows,
        is_whole: bool,
        returned_at: Millis | None,
        requested_at: Millis,
    ) -> None:
        """Apply rows read from the store.

        After an outage of the store, removals are deferred for a grace period,
        in which entries that expired during the outage may return.

        :param rows: the rows.
        :param is_whole: whether a missing row means that it has been removed.
        :param returned_at: when the store has returned from an outage that this
            daemon had noticed since its last read, in milliseconds, or ``None``.
        :param requested_at: when the rows were requested.
        """
        if returned_at is not None:
            self.store_back_at = max(self.store_back_at or 0, returned_at)
        offered = []
        removed = {}
        for row in rows.rows:
            if row.text is None:
                removed[row.key] = row.revision
                continue
            self.pending_removals.pop(row.key, None)
            offered.append(self._make_entry(row.key, row.text, row.revision))
        if is_whole:
            present = {entry.key for entry in rows.rows}
            missing = set(self.by_key) - present
            removed.update(dict.fromkeys(missing, rows.revision))
            self.shared_keys.record_read(era_of(rows.revision))
        self.offer_all([*offered, *self._accept_removals(removed)])
        # A peer asks for the keys only if the revision is new to it.
        if rows.revision > self.read_revision:
            self._share_keys(rows.revision)
        self.read_revision = max(self.read_revision, rows.revision)
        self._advance_revision()

    def apply_pending_removals(self) -> None:
        """Apply deferred removals once the grace period is over."""
        if not self.pending_removals or self._is_in_grace_period():
            return
        removals = self.pending_removals
        self.pending_removals = {}
        self.offer_all(
            self._make_entry(key, '', revision)
            for key, revision in removals.items()
        )
        self._advance_revision()

    def offer(self, accepted: AcceptedDocument) -> bool:
        """Put a newer entry in force, unless it comes from a copy."""
        return super().offer(self._reconcile(accepted))

    def offer_all(self, batch: Iterable[AcceptedDocument]) -> None:
        """Put the newer entries in force, except those from a copy."""
        entries = list(batch)
        for read in tuple(entries):
            if read.service != WHOLE_READ_KEY:
                continue
            entries.extend(
                self.shared_keys.find_removals(
                    read,
                    {key: self.latest[key] for key in self.by_key},
                    may_return=self._is_in_grace_period(),
                )
            )
        super().offer_all([self._reconcile(entry) for entry in entries])

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        """Put a newer entry of an upstream in force."""
        key = accepted.service
        if key == WHOLE_READ_KEY:
            self.shared_keys.record_entry(
                accepted, may_return=self._is_in_grace_period()
            )
            return True
        vm = self.decode(key, accepted.text) if accepted.text else None
        if vm is not None and vm.warm_up:
            # An upstream that turns cold again repeats its entry.
            vm = vm._replace(listed_at=self.clock.now())
        previous = self.by_key.get(key)
        if previous == vm:
            return True
        if vm is None:
            self.by_key.pop(key, None)
            self._trim_tombstones()
        else:
            self.by_key[key] = vm
        self.changes.append(accepted)
        return True

    def _share_keys(self, revision: int) -> None:
        """Make an entry of the keys that were read, unless more may return."""
        if self.pending_removals or self._is_in_grace_period():
            return
        entry = self.shared_keys.make_entry(revision, self.by_key)
        if entry is not None:
            self.offer(entry)

    def _reconcile(self, accepted: AcceptedDocument) -> AcceptedDocument:
        """Return an entry of a new era with the state that it had reached.

        Rows that were written before the copy was made have the revisions that
        they had in the earlier era. Once this daemon has all entries of the new
        era, rows are known to be written in it.

        An entry that had ended when all rows were read becomes a tombstone.
        """
        accepted = self.shared_keys.end_missing(accepted)
        if not 0 < era_of(self.revision) < era_of(accepted.revision):
            return accepted
        known = self.latest.get(accepted.service)
        if known is None or era_of(known.revision) == era_of(accepted.revision):
            return accepted
        is_older = plain_revision(accepted.revision) <= plain_revision(
            known.revision
        )
        if not is_older or not self._has_ended(known):
            return accepted
        if self._has_ended(accepted):
            return accepted
        _logger.info(
            'store was restored without the end of an upstream; keeping it',
            extra={
                'upstream': accepted.service,
                'revision': plain_revision(accepted.revision),
                'ended': plain_revision(known.revision),
            },
        )
        return accepted._replace(text=known.text)

    def _has_ended(self, entry: AcceptedDocument) -> bool:
        """Return whether an entry marks a removal or a draining upstream."""
        if not entry.text:
            return True
        vm = self.decode(entry.service, entry.text)
        return vm is not None and vm.state is VmState.LEAVING

    def _begin_era(self, previous: int) -> None:
        """Give entries that the copy lacks time to return.

        Entries of an unknown era are assigned to the first era of the store.
        """
        if previous:
            self.store_back_at = self.clock.now()
            return
        first = self.era.first
        self.latest = {
            key: entry._replace(
                version=lift_unknown(entry.version, first),
                revision=lift_unknown(entry.revision, first),
            )
            for key, entry in self.latest.items()
        }
        self.pending_removals = {
            key: lift_unknown(revision, first)
            for key, revision in self.pending_removals.items()
        }
        self.shared_keys.lift_unknown(first)
        self.revision = lift_unknown(self.revision, first)
        self.read_revision = lift_unknown(self.read_revision, first)

    def _notify(self) -> None:
        """Call the watchers once for all changes since the last call."""
        if self.changes:
            self._log_changes()
            self.changes.clear()
            for watcher in self.watchers:
                watcher()
        super()._notify()

    def _log_changes(self) -> None:
        if len(self.changes) > _MAX_LOGGED_CHANGES:
            _logger.info(
                'upstreams changed',
                extra={
                    'changes': len(self.changes),
                    'upstreams': len(self.by_key),
                    'revision': plain_revision(self.changes[-1].revision),
                },
            )
            return
        for accepted in self.changes:
            vm = self.by_key.get(accepted.service)
            _logger.info(
                'upstream changed',
                extra={
                    'upstream': accepted.service,
                    'revision': plain_revision(accepted.revision),
                    'state': vm.state.value if vm else 'gone',
                    'service': vm.service if vm else '',
                },
            )

    def _accept_removals(
        self, removed: dict[str, int]
    ) -> list[AcceptedDocument]:
        """Return the removals to apply now; defer the others."""
        tombstones = []
        is_deferred = self._is_in_grace_period()
        for key, revision in removed.items():
            if is_deferred and key in self.by_key:
                self.pending_removals[key] = revision
                continue
            tombstones.append(self._make_entry(key, '', revision))
        return tombstones

    def _is_in_grace_period(self) -> bool:
        """Return whether expired entries may still return after an outage."""
        if self.store_back_at is None:
            return False
        return self.clock.now() < self.store_back_at + _GRACE_PERIOD

    def _make_entry(
        self, key: str, text: str, revision: int
    ) -> AcceptedDocument:
        at = self.clock.wall()
        return AcceptedDocument(key, revision, revision, text, '', at)

    def _advance_revision(self) -> None:
        """Advance the complete revision up to the first pending removal."""
        first = min(
            self.pending_removals.values(), default=self.read_revision + 1
        )
        self.advance(min(self.read_revision, first - 1))

    def _trim_tombstones(self) -> None:
        tombstones = [
            entry
            for entry in self.latest.values()
            if not entry.text and entry.service != WHOLE_READ_KEY
        ]
        if len(tombstones) > _MAX_TOMBSTONES:
            oldest = min(tombstones, key=lambda one: one.revision)
            self.latest.pop(oldest.service)
