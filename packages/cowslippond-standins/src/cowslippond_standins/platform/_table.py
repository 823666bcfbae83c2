"""The table: items, conditional writes and transactions."""

import bisect
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple, TypeAlias

import orjson
from cowslippond_core import Clock, Millis
from expression import Error, Ok, Result

from cowslippond_standins._history import History

Item: TypeAlias = Mapping[str, Mapping[str, str]]
Key: TypeAlias = tuple[str, str]

MAX_ITEM_BYTES = 409_600
MAX_TRANSACTION_ITEMS = 100
_CONJUNCTION = ' AND '
_ABSENT_CLAUSE = 'attribute_not_exists(pk)'
_QUERY_CLAUSE = 'pk = :pk AND sk > :sk'


class TableFailure(NamedTuple):
    """An error of the table's protocol; ``kind`` is its exception name."""

    kind: str
    message: str


class Write(NamedTuple):
    """A ``Put`` request with its condition expression.

    ``names`` and ``expected`` are the expression's attribute names and values.
    """

    item: Item
    condition: str
    names: Mapping[str, str]
    expected: Item


def parse_write(body: Mapping[str, Any]) -> Write:
    """Parse the body of a ``PutItem`` request."""
    return Write(
        body['Item'],
        body.get('ConditionExpression', ''),
        body.get('ExpressionAttributeNames', {}),
        body.get('ExpressionAttributeValues', {}),
    )


class TableStore:
    """Items by partition key and sort key, with their history."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.partitions: dict[str, dict[str, History[Item | None]]] = {}
        self.sort_keys: dict[str, list[str]] = {}

    def get(self, key: Item, at: Millis) -> Item | None:
        """Return an item as of a time, or ``None`` if it did not exist."""
        partition, sort = _key_of(key)
        history = self._history(partition, sort)
        return history.read(at) if history else None

    def query(
        self, body: Mapping[str, Any], at: Millis
    ) -> Result[list[Item], TableFailure]:
        """Return the items of a partition after a sort key, sorted by it."""
        if body.get('KeyConditionExpression') != _QUERY_CLAUSE:
            return Error(_invalid('KeyConditionExpression is not supported'))
        bounds = body['ExpressionAttributeValues']
        matching = self._items_after(bounds[':pk']['S'], bounds[':sk']['S'], at)
        limit = int(body.get('Limit', MAX_ITEM_BYTES))
        return Ok(
            [item for item, _ in zip(matching, range(limit), strict=False)]
        )

    def put(self, write: Write) -> Result[None, TableFailure]:
        """Write one item if its condition holds."""
        failure = _invalid_write(write)
        if failure:
            return Error(failure)
        if not self._condition_holds(write):
            return Error(
                TableFailure(
                    'ConditionalCheckFailedException',
                    'The conditional request failed',
                )
            )
        self._apply(write)
        return Ok(None)

    def transact(self, writes: Sequence[Write]) -> Result[None, TableFailure]:
        """Write all items if every condition holds, otherwise none."""
        keys = {_key_of(write.item) for write in writes}
        if len(keys) < len(writes) or len(writes) > MAX_TRANSACTION_ITEMS:
            return Error(_invalid('Items repeat, or are too many'))
        for checked in writes:
            failure = _invalid_write(checked)
            if failure:
                return Error(failure)
        conditions_met = [self._condition_holds(write) for write in writes]
        if not all(conditions_met):
            return Error(_cancelled(conditions_met))
        for write in writes:
            self._apply(write)
        return Ok(None)

    def _items_after(
        self, partition: str, after: str, at: Millis
    ) -> Iterator[Item]:
        rows = self.partitions.get(partition, {})
        keys = self.sort_keys.get(partition, [])
        for sort in keys[bisect.bisect_right(keys, after) :]:
            item = rows[sort].read(at)
            if item is not None:
                yield item

    def _history(
        self, partition: str, sort: str
    ) -> History[Item | None] | None:
        return self.partitions.get(partition, {}).get(sort)

    def _apply(self, write: Write) -> None:
        partition, sort = _key_of(write.item)
        rows = self.partitions.setdefault(partition, {})
        if sort not in rows:
            rows[sort] = History[Item | None](None)
            bisect.insort(self.sort_keys.setdefault(partition, []), sort)
        rows[sort].write(self.clock.now(), write.item)

    def _condition_holds(self, write: Write) -> bool:
        history = self._history(*_key_of(write.item))
        item = history.newest() if history else None
        for clause in _clauses(write):
            if not _clause_holds(clause, write, item):
                return False
        return True


def _key_of(item: Item) -> Key:
    return item['pk']['S'], item['sk']['S']


def _clauses(write: Write) -> list[str]:
    return write.condition.split(_CONJUNCTION) if write.condition else []


def _clause_holds(clause: str, write: Write, item: Item | None) -> bool:
    if clause == _ABSENT_CLAUSE:
        return item is None
    name, _, placeholder = clause.partition(' = ')
    expected = write.expected[placeholder]
    return item is not None and item.get(write.names[name]) == expected


def _invalid_write(write: Write) -> TableFailure | None:
    if len(orjson.dumps(write.item)) > MAX_ITEM_BYTES:
        return _invalid('Item size has exceeded the maximum allowed size')
    for clause in _clauses(write):
        name, _, placeholder = clause.partition(' = ')
        is_equality = name in write.names and placeholder in write.expected
        if clause != _ABSENT_CLAUSE and not is_equality:
            return _invalid(f'Clause {clause!r} is not supported')
    return None


def _invalid(message: str) -> TableFailure:
    return TableFailure('ValidationException', message)


def _cancelled(conditions_met: Sequence[bool]) -> TableFailure:
    reasons = [
        'None' if holds else 'ConditionalCheckFailed'
        for holds in conditions_met
    ]
    listed = ', '.join(reasons)
    return TableFailure(
        'TransactionCanceledException',
        f'Transaction cancelled, reasons [{listed}]',
    )
