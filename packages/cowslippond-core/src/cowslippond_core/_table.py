"""Interface of the platform's transactional table."""

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
    """A condition on an item that must hold for a write to take effect.

    If ``expected`` is ``None`` the item must not exist; otherwise the
    attribute must equal ``expected``.
    """

    attribute: str
    expected: AttributeValue | None


class Put(NamedTuple):
    """A write of a complete item if all conditions hold."""

    key: ItemKey
    attributes: Attributes
    conditions: tuple[Condition, ...] = ()


class TableFault(enum.StrEnum):
    """The kind of failure of a call to the table.

    ``UNAVAILABLE`` means that the call had no effect. ``UNKNOWN`` means that
    it may have taken effect even though no conclusive answer was received.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class TableError(NamedTuple):
    """A failed call to the table."""

    fault: TableFault
    detail: str


class Table(Protocol):
    """The operations on the platform's table that this project uses."""

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        """Return the latest state of an item, or ``None`` if it is absent."""

    async def put(self, put: Put) -> Result[None, TableError]:
        """Write one item if its conditions hold."""

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        """Write all items if all conditions hold, and otherwise none."""

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        """Return the items of a partition whose sort key is above ``after``.

        :param limit: the maximum number of items, in order of the sort key.
        """
