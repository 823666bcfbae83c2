"""A log of store entries as daemons of the previous release exchange it."""

from collections.abc import Iterable

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._store_era import (
    StoreEra,
    combine_era,
    plain_revision,
)
from cowslippond_core._versions import Versions
from cowslippond_core._whole_read import WHOLE_READ_KEY


class PlainLog(Versions):
    """The entries of the current era, with revisions that contain no era.

    A daemon of the previous release compares revisions without their era.
    While the store was never restored, entries pass in both directions. After
    that, such a daemon cannot tell which era its entries are from, so they are
    not applied.

    :param entries: the entries, with eras in their revisions.
    :param era: the era of the store.
    :param successor: the name of the log that replaces this one between
        daemons that know eras.
    """

    def __init__(
        self, entries: Versions, era: StoreEra, successor: str
    ) -> None:
        self.entries = entries
        self.successor = successor
        self.era = era
        super().__init__()

    @property
    def revision(self) -> int:
        """The revision, without its era, up to which no change is missing."""
        return plain_revision(self.entries.revision)

    @revision.setter
    def revision(self, revision: int) -> None:
        """Ignored: the revision is that of the entries."""

    def accepts(self) -> bool:
        """Return whether entries of daemons that know no era are applied."""
        return not self.era.was_restored()

    def offer_all(self, batch: Iterable[AcceptedDocument]) -> None:
        """Put the newer entries in force, unless the store was restored."""
        if self.accepts():
            self.entries.offer_all(
                _with_revision(
                    entry, combine_era(self.era.current, entry.revision)
                )
                for entry in batch
            )

    def advance(self, revision: int) -> None:
        """Record that no change is missing, unless the store was restored."""
        if self.accepts():
            self.entries.advance(combine_era(self.era.current, revision))

    def newer_than(self, revision: int) -> list[AcceptedDocument]:
        """Return the entries of the current era above a revision."""
        above = combine_era(self.era.current, revision)
        return [
            _with_revision(entry, plain_revision(entry.revision))
            for entry in self.entries.newer_than(above)
            if entry.service != WHOLE_READ_KEY
        ]


def _with_revision(entry: AcceptedDocument, revision: int) -> AcceptedDocument:
    return entry._replace(version=revision, revision=revision)
