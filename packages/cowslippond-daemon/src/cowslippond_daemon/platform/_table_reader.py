"""Reads the fields of a decoded JSON table and collects what is wrong."""

import math
from typing import Any

_NUMBERS = (int, float)


class FieldReader:
    """Reads the fields of one table.

    A field of another type is added to the findings, and a value of the
    expected type is returned in its place, so that one pass finds all faults.

    :param table: the decoded JSON value, which should be an object.
    :param path: names the table in findings, such as ``routes.shop``.
    :param findings: receives one text for each fault.
    """

    __slots__ = ('findings', 'path', 'table')

    def __init__(self, table: Any, path: str, findings: list[str]) -> None:
        self.path = path
        self.findings = findings
        self.table: dict[str, Any] = {}
        if isinstance(table, dict):
            self.table = table
        else:
            findings.append(f'{path}: expected a table')

    def text(self, name: str) -> str:
        """Return a text that must not be empty."""
        found = self.table.get(name)
        if isinstance(found, str) and found:
            return found
        self.reject(name, 'expected a text')
        return ''

    def number(self, name: str, default: float) -> float:
        """Return a number that is not negative, or the default if absent."""
        found = self.table.get(name)
        if found is None:
            return default
        is_number = isinstance(found, _NUMBERS) and not isinstance(found, bool)
        if is_number and found >= 0 and math.isfinite(found):
            return float(found)
        self.reject(name, 'expected a finite number that is not negative')
        return default

    def flag(self, name: str) -> bool:
        """Return a truth value, which is false if absent."""
        found = self.table.get(name, False)
        if not isinstance(found, bool):
            self.reject(name, 'expected true or false')
            return False
        return found

    def entries(self, name: str) -> dict[str, Any]:
        """Return a table of named entries, which must be present."""
        found = self.table.get(name)
        if isinstance(found, dict):
            return found
        self.reject(name, 'expected a table')
        return {}

    def reject(self, name: str, why: str) -> None:
        """Add a fault of a field to the findings."""
        field = f'{self.path}.{name}' if self.path else name
        self.findings.append(f'{field}: {why}')
