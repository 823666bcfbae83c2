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
_MAX_ROW = 480

# The longest time that a row lives, and how far the clock of its writer may
# run ahead, in milliseconds.
_MAX_LIFETIME: Millis = 3_600_000
_MAX_AHEAD: Millis = 86_400_000


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


class _Kept(NamedTuple):
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
        self.kept: OrderedDict[str, _Kept] = OrderedDict()
        self.fresh: OrderedDict[str, int] = OrderedDict()
        self.cursor: list[str] = []
        self.listeners: list[Callable[[GossipRow], None]] = []
        self.writers: list[Callable[[], None]] = []

    def put(self, key: str, text: str, time_to_live: Millis) -> None:
        """Write a row that is passed on to all daemons.

        :param time_to_live: in milliseconds.
        """
        stamp = self.clock.wall()
        kept = self.kept.get(key)
        if kept is not None:
            stamp = max(stamp, kept.stamp + 1)
        self.merge(GossipRow(key, text, stamp, time_to_live))
        for wake in self.writers:
            wake()

    def merge(self, row: GossipRow) -> bool:
        """Keep a row if it is newer than the one known.

        :returns: whether the row was news.
        """
        if not self._is_plausible(row):
            return False
        if not _is_later(row, self.kept.get(row.key)):
            return False
        lifetime = min(row.remaining, _MAX_LIFETIME)
        expires_at = self.clock.now() + lifetime
        self.kept[row.key] = _Kept(row.text, row.stamp, expires_at)
        self.kept.move_to_end(row.key)
        self.fresh[row.key] = 0
        self._trim()
        for listener in self.listeners:
            listener(row)
        return True

    def text_of(self, key: str) -> str | None:
        """Return the text of a row that has not expired."""
        kept = self.kept.get(key)
        if kept is None or kept.expires_at <= self.clock.now():
            return None
        return kept.text

    def is_alive(self, key: str, now: Millis) -> bool:
        """Return whether there is a row that has not expired.

        :param now: in milliseconds.
        """
        kept = self.kept.get(key)
        return kept is not None and kept.expires_at > now

    def rows(self) -> list[GossipRow]:
        """Return the rows that have not expired."""
        now = self.clock.now()
        return [
            _as_row(key, kept, now)
            for key, kept in self.kept.items()
            if kept.expires_at > now
        ]

    def drop_expired(self) -> None:
        """Forget the rows that have expired."""
        now = self.clock.now()
        expired = [
            key for key, kept in self.kept.items() if kept.expires_at <= now
        ]
        for key in expired:
            self._forget(key)

    def take(self, limit: int, fillers: int) -> list[GossipRow]:
        """Choose rows for the next message and note that they are sent.

        Rows that are news go first, each for a number of messages. The rest
        is taken in turn, which mends what those messages missed.

        :param limit: the most rows.
        :param fillers: the most rows that are not news.
        """
        self.drop_expired()
        chosen = self._take_news(limit)
        room = min(limit - len(chosen), fillers)
        chosen.extend(self._take_in_turn(room, set(chosen)))
        now = self.clock.now()
        return [_as_row(key, self.kept[key], now) for key in chosen]

    def _is_plausible(self, row: GossipRow) -> bool:
        if row.remaining <= 0 or row.stamp > self.clock.wall() + _MAX_AHEAD:
            return False
        return len(f'{row.key}{row.text}'.encode()) <= _MAX_ROW

    def _take_news(self, limit: int) -> list[str]:
        chosen = list(self.fresh)[:limit]
        for key in chosen:
            sent = self.fresh.pop(key) + 1
            if sent < self.sends:
                self.fresh[key] = sent
        return chosen

    def _take_in_turn(self, room: int, seen: set[str]) -> list[str]:
        if room <= 0:
            return []
        if not self.cursor:
            self.cursor = list(self.kept)
        turn = self.cursor[:room]
        self.cursor = self.cursor[room:]
        return [key for key in turn if key in self.kept and key not in seen]

    def _trim(self) -> None:
        while len(self.kept) > self.capacity:
            oldest = next(iter(self.kept))
            self._forget(oldest)

    def _forget(self, key: str) -> None:
        self.kept.pop(key, None)
        self.fresh.pop(key, None)


def _as_row(key: str, kept: _Kept, now: Millis) -> GossipRow:
    return GossipRow(key, kept.text, kept.stamp, kept.expires_at - now)


def _is_later(row: GossipRow, kept: _Kept | None) -> bool:
    if kept is None:
        return True
    return (row.stamp, row.text) > (kept.stamp, kept.text)
