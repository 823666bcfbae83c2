"""What the daemons ask of the platform's store, whatever it speaks."""

import enum
from typing import NamedTuple, Protocol

from expression import Result

from cowslippond_core._clock import Millis


class StoreFault(enum.StrEnum):
    """Why a call to the store brought nothing."""

    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    UNREADABLE = 'unreadable'
    HISTORY_LOST = 'history_lost'


class StoreError(NamedTuple):
    """A call to the store that brought nothing.

    ``detail`` is for logs.
    """

    fault: StoreFault
    detail: str


class StoreRow(NamedTuple):
    """A row as it is in the store; ``text`` is ``None`` once it is removed.

    ``revision`` counts the store's changes; a later one is newer.
    """

    key: str
    revision: int
    text: str | None


class StoreRows(NamedTuple):
    """Rows of one kind; ``revision`` is the store's newest that they cover."""

    rows: tuple[StoreRow, ...]
    revision: int


class RowSource(Protocol):
    """The rows of one kind in the store."""

    async def read(self) -> Result[StoreRows, StoreError]:
        """Return all rows."""

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        """Return the changes after a revision, as soon as there are any.

        :param after: a revision.
        :param wait: how long to wait for one, in milliseconds.
        """
