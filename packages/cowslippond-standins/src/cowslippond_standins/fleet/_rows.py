"""The rows of the store, with conditional writes and a change history.

All tables share one version counter.
"""

import base64
from collections import deque
from typing import Any, NamedTuple, Self

import anyio
from cowslippond_core import Millis

_MAX_CHANGES = 10_000
_MAX_ROWS_PER_READ = 500


class Row(NamedTuple):
    """A version of a row; a ``value`` of ``None`` marks a removed row."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int

    def encode(self) -> dict[str, Any]:
        """Return the row in its wire format."""
        encoded: dict[str, Any] = {
            'table': self.table,
            'part': self.part,
            'key': self.key,
            'row_version': self.version,
        }
        if self.value is None:
            encoded['deleted'] = True
        else:
            encoded['value'] = base64.b64encode(self.value).decode()
        return encoded


class Rows:
    """All tables of the store, with linearizable reads and writes.

    ``version`` counts transactions. Changes up to ``truncated_at`` are no
    longer in the history. ``era`` counts restores from a copy.
    """

    def __init__(self, era: int = 0) -> None:
        self.era = era
        self.version = 0
        self.written_at: list[tuple[Millis, Row]] = []
        self.truncated_at = 0
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.changes: deque[Row] = deque(maxlen=_MAX_CHANGES)
        self.changed = anyio.Event()

    def transact(
        self, puts: list[Row], expect: list[Row], at: Millis = 0
    ) -> list[Row] | None:
        """Apply writes, or return the current rows if a condition fails.

        :param puts: rows to write; a row without a value is removed.
        :param expect: rows with the versions that they must have.
        :param at: the time of the write.
        """
        current_rows = [self._get(row) for row in expect]
        if any(
            current.version != row.version
            for current, row in zip(current_rows, expect)
        ):
            return current_rows
        self.version += 1
        for put in puts:
            self.apply(put._replace(version=self.version), at)
        self.wake()
        return None

    def read(self, table: str, part: str, start: str) -> tuple[list[Row], bool]:
        """Return a page of rows sorted by key, and whether more follow."""
        keys = sorted(
            key
            for key in self.rows
            if key[0] == table and key[1] == part and key[2] >= start
        )
        rows = [self.rows[key] for key in keys[:_MAX_ROWS_PER_READ]]
        return rows, len(keys) > _MAX_ROWS_PER_READ

    def changes_since(self, table: str, after: int) -> list[Row] | None:
        """Return the changes after a version.

        :return: ``None`` if the history no longer reaches back to ``after``,
            or if there is no such version yet.
        """
        if after < self.truncated_at:
            return None
        if after > self.version:
            return None
        return [
            row
            for row in self.changes
            if row.table == table and row.version > after
        ]

    def wake(self) -> None:
        """Let all who wait for a change look again."""
        self.changed.set()
        self.changed = anyio.Event()

    def restored(self, copied_at: Millis) -> Self:
        """Return the rows as a copy of an earlier time has them.

        :param copied_at: what was written later is not in the copy.
        """
        copy = type(self)(self.era + 1)
        for at, row in self.written_at:
            if at <= copied_at:
                copy.version = row.version
                copy.apply(row, at)
        return copy

    def truncate_history(self) -> None:
        """Discard the change history."""
        self.changes.clear()
        self.truncated_at = self.version

    def _get(self, row: Row) -> Row:
        absent = row._replace(value=None, version=0)
        return self.rows.get(row[:3], absent)

    def apply(self, row: Row, at: Millis) -> None:
        """Write a row with its version, without counting a transaction."""
        self.written_at.append((at, row))
        if row.value is None:
            self.rows.pop(row[:3], None)
        else:
            self.rows[row[:3]] = row
        self.changes.append(row)
