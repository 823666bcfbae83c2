"""The era of the store, which a restore from a copy increases.

A restored store issues its revisions again, so revisions are ordered by their
era first. Both are kept in one whole number, the era in its high bits. Era 0
is that of a store that sends none.
"""

import logging
from collections.abc import Callable

from cowslippond_core._peer_messages import Digest
from cowslippond_core._platform_store import StoreRow, StoreRows

_logger = logging.getLogger(__name__)

_REVISION_BITS = 40
_ERA_BITS = 22
_REVISION_MASK = (1 << _REVISION_BITS) - 1

#: The highest era; with it, a combined number still fits into 63 bits.
MAX_ERA = 1 << _ERA_BITS


def combine_era(era: int, revision: int) -> int:
    """Return the number that orders a revision of an era."""
    return era << _REVISION_BITS | plain_revision(revision)


def era_of(combined: int) -> int:
    """Return the era of a combined number."""
    return combined >> _REVISION_BITS


def plain_revision(combined: int) -> int:
    """Return the store's own revision in a combined number."""
    return combined & _REVISION_MASK


def lift_unknown(combined: int, era: int) -> int:
    """Return a number in a given era if its era is unknown."""
    if not combined or era_of(combined):
        return combined
    return combine_era(era, combined)


def lift_rows(rows: StoreRows, era: int) -> StoreRows:
    """Return rows of an unknown era as rows of a given one."""
    return StoreRows(
        tuple(_lift_row(row, era) for row in rows.rows),
        combine_era(era, rows.revision),
    )


def _lift_row(row: StoreRow, era: int) -> StoreRow:
    return row._replace(revision=combine_era(era, row.revision))


class StoreEra:
    """The highest era that the store or a peer has told of.

    ``current`` is 0 while none is known; the store's number is one lower.
    ``first`` is the lowest era that any daemon of the fleet remembers.
    ``changes`` counts the restores that this daemon has noticed.
    """

    def __init__(self) -> None:
        self.current = 0
        self.first = 0
        self.changes = 0
        self.listeners: list[Callable[[int], None]] = []
        self.is_missing = False

    def was_restored(self) -> bool:
        """Return whether a daemon of the fleet remembers an earlier era."""
        return self.first < self.current

    def store_number(self) -> int | None:
        """Return the era as the store counts it, or ``None`` if unknown."""
        return self.current - 1 if self.current else None

    def observe(self, era: int, source: str, first: int = 0) -> None:
        """Record an era; a lower one than the current one changes nothing.

        The listeners receive the previous era, which is 0 if none was known.

        :param era: 0 if it is unknown.
        :param source: who told it, for logs.
        :param first: the lowest era that the source remembers, 0 if unknown.
        """
        if not 0 < era <= MAX_ERA:
            return
        if era < self.current and first <= 0:
            return
        lowest = min(first, era) if first > 0 else era
        self.first = min(self.first, lowest) if self.first else lowest
        if era <= self.current:
            return
        previous = self.current
        self.current = era
        self._log_change(previous, source)
        for listener in self.listeners:
            listener(previous)

    def observe_digest(self, digest: Digest) -> None:
        """Record the era that a peer knows."""
        self.observe(digest.era, 'peer', digest.first_era)

    def record_presence(self, is_present: bool) -> None:
        """Log once that the store has stopped to send its era."""
        if not is_present and not self.is_missing and self.current:
            _logger.warning(
                'store sends no valid era; assuming that it is unchanged',
                extra={'era': self.store_number()},
            )
        self.is_missing = not is_present

    def _log_change(self, previous: int, source: str) -> None:
        if not previous:
            _logger.info(
                'era of the store is known',
                extra={'era': self.store_number(), 'source': source},
            )
            return
        self.changes += 1
        _logger.warning(
            'store was restored from a copy; reading all rows again',
            extra={
                'era': self.store_number(),
                'previous': previous - 1,
                'source': source,
            },
        )
