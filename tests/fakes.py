"""Fakes of external interfaces, for tests that start no processes."""

from collections.abc import Sequence

import anyio
from cowslippond_core import (
    Clock,
    Condition,
    ItemKey,
    Millis,
    Put,
    TableError,
    TableFault,
)
from cowslippond_core._table import Attributes
from expression import Error, Ok, Result


class FakeTable:
    """An in-memory table with faults that a test can enable.

    While ``is_down`` is set, every call fails without effect. ``lost_answers``
    is how many of the next writes take effect although their answer is lost;
    ``lost_requests`` is how many fail as unknown without effect. Every call
    yields once before it takes effect, so that tasks interleave.
    """

    def __init__(self) -> None:
        self.rows: dict[ItemKey, Attributes] = {}
        self.is_down = False
        self.down_detail = 'down'
        self.lost_answers = 0
        self.lost_requests = 0
        self.read_count = 0
        self.write_count = 0

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        self.read_count += 1
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            return Error(TableError(TableFault.UNAVAILABLE, self.down_detail))
        return Ok(self.rows.get(key))

    async def put(self, put: Put) -> Result[None, TableError]:
        return await self.transact([put])

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        self.write_count += 1
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            return Error(TableError(TableFault.UNAVAILABLE, self.down_detail))
        if self.lost_requests:
            self.lost_requests -= 1
            return Error(TableError(TableFault.UNKNOWN, 'request lost'))
        if not all(self._conditions_met(put) for put in puts):
            return Error(TableError(TableFault.CONFLICT, 'condition failed'))
        for put in puts:
            self.rows[put.key] = dict(put.attributes)
        if self.lost_answers:
            self.lost_answers -= 1
            return Error(TableError(TableFault.UNKNOWN, 'answer lost'))
        return Ok(None)

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        self.read_count += 1
        await anyio.lowlevel.checkpoint()
        if self.is_down:
            return Error(TableError(TableFault.UNAVAILABLE, self.down_detail))
        matches = [
            (key, attributes)
            for key, attributes in sorted(self.rows.items())
            if key.partition == partition and key.sort > after
        ]
        return Ok(matches[:limit])

    def _conditions_met(self, put: Put) -> bool:
        return all(
            self._is_met(put.key, condition) for condition in put.conditions
        )

    def _is_met(self, key: ItemKey, condition: Condition) -> bool:
        stored = self.rows.get(key)
        if condition.expected is None:
            return stored is None
        if stored is None:
            return False
        return stored.get(condition.attribute) == condition.expected


class DelayedWriteTable(FakeTable):
    """A table whose first write takes effect only after a number of reads.

    The writer gets no answer to that write.

    :param reads: the number of the read just before which the write takes
        effect.
    """

    def __init__(self, reads: int) -> None:
        super().__init__()
        self.reads_left = reads
        self.pending: Sequence[Put] | None = None

    async def get(self, key: ItemKey) -> Result[Attributes | None, TableError]:
        self._apply_when_due()
        return await super().get(key)

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        if self.pending is None:
            self.pending = puts
            return Error(TableError(TableFault.UNKNOWN, 'no answer'))
        return await super().transact(puts)

    async def query(
        self, partition: str, after: str, limit: int
    ) -> Result[list[tuple[ItemKey, Attributes]], TableError]:
        self._apply_when_due()
        return await super().query(partition, after, limit)

    def _apply_when_due(self) -> None:
        if not self.pending:
            return
        self.reads_left -= 1
        if self.reads_left:
            return
        if all(self._conditions_met(put) for put in self.pending):
            self.rows.update({put.key: put.attributes for put in self.pending})
        self.pending = ()


class FakeClock(Clock):
    """A clock that advances only by ``advance`` and ``sleep``."""

    def __init__(self, now: Millis = 0) -> None:
        self.current: Millis = now

    def now(self) -> Millis:
        return self.current

    def wall(self) -> int:
        return int(self.current)

    def advance(self, span: Millis) -> None:
        self.current += span

    async def sleep(self, delay: Millis) -> None:
        self.current += max(delay, 0)
        await anyio.lowlevel.checkpoint()
