"""A bounded map whose rows are passed on between daemons.

Of two rows with the same key the later written one wins on every daemon, in
whatever order they arrive. Rows expire; a row that arrives brings the time it
still has to live, so that daemons need no common clock for expiry.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis

#: How often a daemon sends a row as news unless a table is told otherwise.
DEFAULT_SENDS = 6

#: How many rows a table holds unless it is told otherwise.
DEFAULT_CAPACITY = 4096

# The largest key and text together, in bytes.
_MAX_ROW_BYTES = 480

# The longest time that a row lives, and how far the clock of its writer may
# run ahead, in milliseconds.
_MAX_LIFETIME: Millis = 3_600_000
_MAX_CLOCK_LEAD: Millis = 86_400_000


class GossipRow(NamedTuple):
    """One row as it is passed on.

    ``stamp`` orders writes of the same key: milliseconds since the Unix epoch
    at the writer, or one more than the row it replaces. ``remaining`` is the
    time to live in milliseconds.
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
    """Rows of one kind, such as draining upstreams or ejections.

    When the table is full, the row that was written longest ago goes.

    :param name: the same on all daemons.
    :param clock: the clock of expiry.
    :param capacity: the most rows kept.
    :param sends: how often a row is sent as news.
    :param is_urgent: whether news is passed on beyond the bytes a second that
        gossip may take.
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
        self.listeners: list[Callable[[GossipRow], None]] = []
        self.write_listeners: list[Callable[[], None]] = []

    def put(self, key: str, text: str, time_to_live: Millis) -> None:
        """Write a row that is passed on to all daemons.

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
        """Keep a row if it is newer than the one known.

        :returns: whether the row was news.
        """
        if not self._is_plausible(row):
            return False
        if not _is_later(row, self.stored.get(row.key)):
            return False
        lifetime = min(row.remaining, _MAX_LIFETIME)
        expires_at = self.clock.now() + lifetime
        self.stored[row.key] = _StoredRow(row.text, row.stamp, expires_at)
        self.stored.move_to_end(row.key)
        self.send_counts[row.key] = 0
        self._trim()
        for listener in self.listeners:
            listener(row)
        return True

    def text_of(self, key: str) -> str | None:
        """Return the text of a row that has not expired."""
        current = self.stored.get(key)
        if current is None or current.expires_at <= self.clock.now():
            return None
        return current.text

    def is_alive(self, key: str, now: Millis) -> bool:
        """Return whether there is a row that has not expired.

        :param now: in milliseconds.
        """
        current = self.stored.get(key)
        return current is not None and current.expires_at > now

    def rows(self) -> list[GossipRow]:
        """Return the rows that have not expired."""
        now = self.clock.now()
        return [
            _as_row(key, stored_row, now)
            for key, stored_row in self.stored.items()
            if stored_row.expires_at > now
        ]

    def drop_expired(self) -> None:
        """Forget the rows that have expired."""
        now = self.clock.now()
        expired = [
            key
            for key, stored_row in self.stored.items()
            if stored_row.expires_at <= now
        ]
        for key in expired:
            self._remove(key)

    def next_rows(self, limit: int, repair_limit: int) -> list[GossipRow]:
        """Choose rows for the next message and note that they are sent.

        Rows that are news go first, each for a number of messages. The rest
        is taken in turn, which mends what those messages missed.

        :param limit: the most rows.
        :param fillers: the most rows that are not news.
        """
        self.drop_expired()
        chosen = self._next_updates(limit)
        remaining_limit = min(limit - len(chosen), repair_limit)
        chosen.extend(self._next_in_rotation(remaining_limit, set(chosen)))
        now = self.clock.now()
        return [_as_row(key, self.stored[key], now) for key in chosen]

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
