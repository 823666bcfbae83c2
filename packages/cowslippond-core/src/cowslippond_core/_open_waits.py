"""Records up to when this daemon has read all changes from the store."""

import math
from typing import NamedTuple

import anyio

from cowslippond_core._clock import Clock, Millis

# A change that was stored this long ago has been reported in an open wait, and
# in the answer that has just ended one.
_REPORT_TIME: Millis = 20


class _TableState(NamedTuple):
    """What is known of one table.

    All changes up to ``read_up_to`` have been read. A wait that was opened at
    ``opened_at`` reports further ones until ``ends_at``.
    """

    read_up_to: Millis
    opened_at: Millis = math.inf
    ends_at: Millis = -math.inf


class OpenWaits:
    """The tables that this daemon reads, and its waits for their changes.

    ``has_begun`` is set while this daemon reads.

    :param clock: measures how long a wait has been open.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tables: dict[str, _TableState] = {}
        self.has_begun = anyio.Event()

    def forget(self, table: str) -> None:
        """Record that changes of a table may have been missed.

        :param table: its name.
        """
        self.tables[table] = _TableState(-math.inf)

    def open(self, table: str, ends_at: Millis) -> None:
        """Record that the store is asked for all further changes of a table.

        :param ends_at: when the store has answered at the latest.
        """
        state = self.tables[table]
        self.tables[table] = state._replace(
            opened_at=self.clock.now(), ends_at=ends_at
        )
        self.has_begun.set()

    def record_answer(self, table: str, requested_at: Millis) -> None:
        """Record that the store has returned all changes of a table.

        :param requested_at: when it was asked, in milliseconds.
        """
        opened_at = self.tables[table].opened_at
        reported_up_to = requested_at
        if opened_at >= requested_at and math.isfinite(opened_at):
            reported_up_to = max(requested_at, self.clock.now() - _REPORT_TIME)
        self.tables[table] = _TableState(reported_up_to)

    def note_end(self, max_age: Millis) -> None:
        """Reset ``has_begun`` if this daemon no longer reads.

        :param max_age: for how long changes may be unknown while it reads.
        """
        if self.age() > max_age:
            self.has_begun = anyio.Event()

    def age(self) -> Millis:
        """Return for how long changes of any table may be unknown."""
        now = self.clock.now()
        ages = [
            0
            if state.opened_at + _REPORT_TIME <= now <= state.ends_at
            else now - state.read_up_to
            for state in self.tables.values()
        ]
        return max(ages, default=math.inf)
