"""The keys of whole reads of a table, as daemons share them."""

import logging
import math
from collections.abc import Iterable, Mapping

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._store_era import lift_unknown, plain_revision
from cowslippond_core._store_outage import StoreSilence
from cowslippond_core._whole_read import (
    WholeRead,
    decode_whole_read,
    make_tombstone,
    make_whole_read,
)

_logger = logging.getLogger(__name__)


class SharedKeys:
    """Decides when keys are passed on, and what those of peers remove.

    Keys are passed on with the read that found them, and again some time after
    their era was first read: a daemon that started after a restore of the store
    does not know of it, so the first keys of each era are provisional.

    A daemon that started after an outage of the store does not know of it
    either. Provisional keys are therefore ignored where rows may still return,
    or where ``lost_reports`` tell of a daemon that cannot read the store, unless
    ``silence`` tells that others have read it all the while.

    ``newest_entry`` holds the keys of the newest read, ``usable_read`` is that
    read if it shows removals.

    :param clock: the clock of all times.
    :param delay: the time in which rows that a copy lacks may return.
    """

    def __init__(self, clock: Clock, delay: Millis) -> None:
        self.clock = clock
        self.delay = delay
        self.lost_reports: GossipTable | None = None
        self.silence: StoreSilence | None = None
        self.era = 0
        self.era_read_at: Millis = -math.inf
        self.has_new_read = False
        self.has_provisional = False
        self.newest_entry: AcceptedDocument | None = None
        self.usable_read: WholeRead | None = None

    def record_read(self, era: int) -> None:
        """Record that this daemon has read all rows."""
        if era > self.era:
            self.era = era
            self.era_read_at = self.clock.now()
        self.has_new_read = True

    def make_entry(
        self, revision: int, keys: Iterable[str]
    ) -> AcceptedDocument | None:
        """Return the entry to pass on now, or ``None`` if there is none.

        :param revision: the revision of the last read.
        :param keys: the keys that exist at that revision.
        """
        is_provisional = self.clock.now() < self.era_read_at + self.delay
        is_final_due = self.has_provisional and not is_provisional
        if not (self.has_new_read or is_final_due):
            return None
        self.has_new_read = False
        self.has_provisional = is_provisional
        _logger.info(
            'passing on the keys of all rows',
            extra={
                'revision': plain_revision(revision),
                'provisional': is_provisional,
            },
        )
        return make_whole_read(
            revision, keys, self.clock.wall(), is_provisional=is_provisional
        )

    def record_entry(
        self, entry: AcceptedDocument, *, may_return: bool
    ) -> None:
        """Keep the keys of the newest read, unless they show no removals.

        :param may_return: whether missing rows may still return.
        """
        self.newest_entry = entry
        self.usable_read = self._find_usable(entry, may_return)

    def find_removals(
        self,
        entry: AcceptedDocument,
        known: Mapping[str, AcceptedDocument],
        *,
        may_return: bool,
    ) -> list[AcceptedDocument]:
        """Return tombstones of the known entries that a read lacked.

        :param entry: the entry of the read.
        :param known: the entries that are not known to have ended, by key.
        :param may_return: whether missing rows may still return.
        """
        read = self._find_usable(entry, may_return)
        if read is None:
            return []
        ended = [key for key, one in known.items() if read.shows_end_of(one)]
        if ended:
            _logger.info(
                'a read of all rows lacks known ones; removing them',
                extra={
                    'revision': plain_revision(read.revision),
                    'removed': len(ended),
                    'provisional': read.is_provisional,
                },
            )
        return [make_tombstone(entry, key) for key in ended]

    def end_missing(self, offered: AcceptedDocument) -> AcceptedDocument:
        """Return a tombstone instead of an entry that the last read lacked.

        A lagging peer may offer an entry whose end this daemon never saw.
        """
        if (
            self.newest_entry is None
            or self.usable_read is None
            or not offered.text
        ):
            return offered
        if not self.usable_read.shows_end_of(offered):
            return offered
        return make_tombstone(self.newest_entry, offered.service)

    def lift_unknown(self, era: int) -> None:
        """Assign keys of an unknown era to a given one."""
        if self.newest_entry is None or self.usable_read is None:
            return
        revision = lift_unknown(self.usable_read.revision, era)
        self.usable_read = self.usable_read._replace(revision=revision)
        self.newest_entry = self.newest_entry._replace(
            version=revision, revision=revision
        )

    def _find_usable(
        self, entry: AcceptedDocument, may_return: bool
    ) -> WholeRead | None:
        """Return the keys of a read, or ``None`` if they show no removals."""
        read = decode_whole_read(entry)
        if read is None or not read.is_provisional:
            return read
        if may_return or self._may_be_outage():
            return None
        return read

    def _may_be_outage(self) -> bool:
        if self.lost_reports is None or not self.lost_reports.alive_keys():
            return False
        if self.silence is None:
            return True
        return self.silence.is_recent(self.delay)
