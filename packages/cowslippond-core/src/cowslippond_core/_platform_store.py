"""Interface to the platform's store, independent of its protocol."""

import enum
from typing import NamedTuple, Protocol

from expression import Result

from cowslippond_core._clock import Millis


class StoreFault(enum.StrEnum):
    """Why a call to the store failed."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    UNREADABLE = 'unreadable'
    HISTORY_LOST = 'history_lost'
    OLD_ERA = 'old_era'


class StoreError(NamedTuple):
    """A failed call to the store.

    ``detail`` is for logs. ``era`` is the era that the store sent with the
    failure, or 0 if it sent none.
    """

    fault: StoreFault
    detail: str
    era: int = 0


class StoreRow(NamedTuple):
    """A row as it is in the store.

    ``text`` is ``None`` if the row was removed. ``revision`` is the number of
    the store's change that wrote the row; a higher one is newer. The revisions
    of rows contain the era of the store in their high bits.
    """

    key: str
    revision: int
    text: str | None


class StoreRows(NamedTuple):
    """Rows of one kind.

    ``revision`` is the store's newest revision that the rows cover.
    """

    rows: tuple[StoreRow, ...]
    revision: int


class RowSource(Protocol):
    """The rows of one kind in the store."""

    async def read(self) -> Result[StoreRows, StoreError]:
        """Return all rows."""

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Return the changes after a revision as soon as there are any.

        :param after: the newest revision that the caller has read.
        :param wait: the longest wait for a change, in milliseconds. Without
            one, the result has no rows.
        """
