"""Passes on the rows that operators write, each kind to its log."""

from collections.abc import Callable
from typing import TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core._platform_store import StoreRows

ApplyRows: TypeAlias = Callable[[StoreRows, bool, Millis | None, Millis], None]


class OperatorRows:
    """The logs that share one watch of the store.

    Each takes the rows whose keys it knows and ignores the others.

    :param apply_rows: the methods that apply the rows. The evacuations come
        before the configuration, since a daemon is ready once it has one.
    """

    def __init__(self, *apply_rows: ApplyRows) -> None:
        self.apply_rows = apply_rows

    def apply(
        self,
        rows: StoreRows,
        is_whole: bool,
        returned_at: Millis | None,
        requested_at: Millis,
    ) -> None:
        """Apply rows of the store; see :class:`StoreWatch`."""
        for apply_rows in self.apply_rows:
            apply_rows(rows, is_whole, returned_at, requested_at)
