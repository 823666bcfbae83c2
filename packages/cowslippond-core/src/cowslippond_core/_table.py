"""The platform's transactional table, as the parts of this library see it."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol, TypeAlias

from expression import Result

AttributeValue: TypeAlias = str | int | bytes
Attributes: TypeAlias = Mapping[str, AttributeValue]


class ItemKey(NamedTuple):
    """The primary key of an item: partition and sort key."""

    partition: str
    sort: str


class Condition(NamedTuple):
    """What must hold of an item for a write to take effect.

    ``expected`` of ``None`` means that the item must not exist; otherwise the
    attribute must equal it.
    """

    attribute: str
    expected: AttributeValue | None


class Put(NamedTuple):
    """A write of a whole item, under conditions that must all hold."""

    key: ItemKey
    attributes: Attributes
    conditions: tuple[Condition, ...] = ()


class TableFault(enum.StrEnum):
    """How a call to the table failed.

    A call that is ``UNAVAILABLE`` had no effect; one that is ``UNKNOWN`` may
    have taken effect although its answer was lost.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class TableError(NamedTuple):
    """A failed call to the table."""

    fault: TableFault
    detail: str


class Table(Protocol):
    """The calls on the platform's table that this project needs."""

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the newest state of an item, or ``None`` if it is absent."""

    async def put(self, put: Put) -> Result[None, TableError]:
        """Write one item if its conditions hold."""

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        """Write all items if all conditions hold, or none."""

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        """Return the items of a partition whose sort key is above ``after``.

        :param limit: the most items to return, in order of the sort key.
        """
