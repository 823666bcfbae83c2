"""A bounded key-value table that is replicated between daemons by gossip.

Of two rows with the same key, the one written last wins on every daemon,
whatever the order of arrival. Rows expire. A row is sent with its remaining
time to live, so expiry needs no synchronized clocks.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis

#: How many times a daemon sends a new row, unless a table sets its own value.
DEFAULT_SENDS = 6

#: The maximum number of rows, unless a table sets its own value.
DEFAULT_CAPACITY = 4096

# The maximum size of key and text together.
_MAX_ROW_BYTES = 480

# The maximum time to live of a row, and how far the writer's clock may run
# ahead.
_MAX_LIFETIME: Millis = 3_600_000
_MAX_CLOCK_LEAD: Millis = 86_400_000

# Minimum time between two searches for expired rows, which visit all rows.
_MIN_EXPIRY_INTERVAL: Millis = 500


class GossipRow(NamedTuple):
    """A row as it is sent to peers.

    ``stamp`` orders writes of the same key. It is the writer's time in
    milliseconds since the Unix epoch, or one more than the stamp of the row
    that it replaces, whichever is greater. ``remaining`` is the time to live
    in milliseconds.
    """

    key: str
    text: str
    stamp: int
    remaining: Millis


class _StoredRow(NamedTuple):
    text: str
    stamp: int
    expires_at: Millis


class GossipTable:
    """A table of rows of one kind, such as draining upstreams or ejections.

    When the table is full, the least recently written row is evicted.

    :param name: the table's name, the same on all daemons.
    :param clock: determines expiry.
    :param capacity: the maximum number of rows.
    :param sends: how many times a new row is sent.
    :param is_urgent: whether rows are sent even when gossip has used up its
        byte budget.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        capacity: int = DEFAULT_CAPACITY,
        sends: int = DEFAULT_SENDS,
        is_urgent: bool = True,
    ) -> None:
        self.name = name
        self.clock = clock
        self.capacity = capacity
        self.sends = sends
        self.is_urgent = is_urgent
        self.stored: OrderedDict[str, _StoredRow] = OrderedDict()
        self.send_counts: OrderedDict[str, int] = OrderedDict()
        self.rotation: list[str] = []
        self.window_start = 0
        # No row expires before this time.
        self.next_expiry: Millis = math.inf
        self.listeners: list[Callable[[GossipRow], None]] = []
        self.write_listeners: list[Callable[[], None]] = []
        # Called after a merge that added a key, or one that had expired.
        self.addition_listeners: list[Callable[[], None]] = []

    def put(self, key: str, text: str, time_to_live: Millis) -> None:
        """Write a row that is replicated to all daemons.

        :param time_to_live: in milliseconds.
        """
        stamp = self.clock.wall()
        current = self.stored.get(key)
        if current is not None:
            stamp = max(stamp, current.stamp + 1)
        self.merge(GossipRow(key, text, stamp, time_to_live))
        for notify in self.write_listeners:
            notify()

    def merge(self, row: GossipRow) -> bool:
        """Store a row if it is newer than the stored one.

        :returns: whether the row was stored.
        """
        if not self._is_plausible(row):
            return False
        if not _is_later(row, self.stored.get(row.key)):
            return False
        now = self.clock.now()
        is_addition = not self.is_alive(row.key, now)
        expires_at = now + min(row.remaining, _MAX_LIFETIME)
        self.stored[row.key] = _StoredRow(row.text, row.stamp, expires_at)
        self.stored.move_to_end(row.key)
        self.next_expiry = min(self.next_expiry, expires_at)
        self.send_counts[row.key] = 0
        self._trim()
        for listener in self.listeners:
            listener(row)
        if is_addition:
            self._notify_addition()
        return True

    def text_of(self, key: str) -> str | None:
        """Return the text of a row, or ``None`` if absent or expired."""
        current = self.stored.get(key)
        if current is None or current.expires_at <= self.clock.now():
            return None
        return current.text

    def is_alive(self, key: str, now: Millis) -> bool:
        """Return whether a row exists and has not expired.

        :param now: in milliseconds.
        """
        current = self.stored.get(key)
        return current is not None and current.expires_at > now

    def alive_keys(self) -> set[str]:
        """Return the keys of the rows that have not expired."""
        now = self.clock.now()
        return {
            key
            for key, stored_row in self.stored.items()
            if stored_row.expires_at > now
        }

    def rows(self) -> list[GossipRow]:
        """Return the rows that have not expired."""
        now = self.clock.now()
        return [
            _as_row(key, stored_row, now)
            for key, stored_row in self.stored.items()
            if stored_row.expires_at > now
        ]

    def next_window(self, limit: int) -> list[GossipRow]:
        """Return all rows, or successive parts of a large table.

        :param limit: the maximum number of rows.
        """
        rows = self.rows()
        if len(rows) <= limit:
            return rows
        start = self.window_start % len(rows)
        self.window_start = start + limit
        return [*rows[start:], *rows[:start]][:limit]

    def drop_expired(self) -> None:
        """Remove the rows that have expired."""
        now = self.clock.now()
        if now < self.next_expiry:
            return
        expired = [
            key
            for key, stored_row in self.stored.items()
            if stored_row.expires_at <= now
        ]
        for key in expired:
            self._remove(key)
        earliest = min(
            (stored_row.expires_at for stored_row in self.stored.values()),
            default=math.inf,
        )
        self.next_expiry = max(earliest, now + _MIN_EXPIRY_INTERVAL)

    def next_rows(self, limit: int, repair_limit: int) -> list[GossipRow]:
        """Select rows for the next message and count them as sent.

        New rows come first; each is included in ``sends`` messages. The
        remaining space goes to repair rows: all rows in rotation, for peers
        that missed those messages.

        :param limit: the maximum number of rows.
        :param repair_limit: the maximum number of repair rows.
        """
        self.drop_expired()
        chosen = self._next_updates(limit)
        remaining_limit = min(limit - len(chosen), repair_limit)
        chosen.extend(self._next_in_rotation(remaining_limit, set(chosen)))
        now = self.clock.now()
        return [_as_row(key, self.stored[key], now) for key in chosen]

    def _notify_addition(self) -> None:
        for notify in self.addition_listeners:
            notify()

    def _is_plausible(self, row: GossipRow) -> bool:
        if (
            row.remaining <= 0
            or row.stamp > self.clock.wall() + _MAX_CLOCK_LEAD
        ):
            return False
        return len(f'{row.key}{row.text}'.encode()) <= _MAX_ROW_BYTES

    def _next_updates(self, limit: int) -> list[str]:
        chosen = list(self.send_counts)[:limit]
        for key in chosen:
            sent = self.send_counts.pop(key) + 1
            if sent < self.sends:
                self.send_counts[key] = sent
        return chosen

    def _next_in_rotation(self, limit: int, chosen: set[str]) -> list[str]:
        if limit <= 0:
            return []
        if not self.rotation:
            self.rotation = list(self.stored)
        keys = self.rotation[:limit]
        self.rotation = self.rotation[limit:]
        return [key for key in keys if key in self.stored and key not in chosen]

    def _trim(self) -> None:
        while len(self.stored) > self.capacity:
            oldest = next(iter(self.stored))
            self._remove(oldest)

    def _remove(self, key: str) -> None:
        self.stored.pop(key, None)
        self.send_counts.pop(key, None)


def _as_row(key: str, stored_row: _StoredRow, now: Millis) -> GossipRow:
    return GossipRow(
        key, stored_row.text, stored_row.stamp, stored_row.expires_at - now
    )


def _is_later(row: GossipRow, current: _StoredRow | None) -> bool:
    if current is None:
        return True
    return (row.stamp, row.text) > (current.stamp, current.text)
