"""The keys that a read of a whole table found, as an entry of a log.

A daemon that has read a table whole knows which entries exist, but not which
ended before. It passes the keys on, from which a peer that still has an ended
entry learns of the end.

The text of the entry is empty and its key is none of the table's: a daemon of
an earlier release takes it for the end of an unknown entry and passes it on.
"""

import logging
import math
from collections.abc import Iterable

import orjson

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument

_logger = logging.getLogger(__name__)

#: The key of the entry; rows of the store have keys that are not empty.
WHOLE_READ_KEY = ''


def make_whole_read(
    revision: int, keys: Iterable[str], at: int
) -> AcceptedDocument:
    """Return the entry of a read.

    :param revision: the revision of the read.
    :param keys: the keys that were found.
    :param at: the wall-clock time, in milliseconds.
    """
    listed = orjson.dumps(sorted(keys)).decode()
    return AcceptedDocument(WHOLE_READ_KEY, revision, revision, '', listed, at)


def keys_of(entry: AcceptedDocument) -> frozenset[str] | None:
    """Return the keys that a read found, or ``None`` if they are unreadable."""
    try:
        keys = orjson.loads(entry.author)
    except ValueError:
        keys = None
    if isinstance(keys, list) and all(isinstance(key, str) for key in keys):
        return frozenset(keys)
    _logger.warning(
        'unreadable list of keys from a peer',
        extra={'revision': entry.revision},
    )
    return None


def removals_of(
    read: AcceptedDocument, known: Iterable[str]
) -> list[AcceptedDocument]:
    """Return tombstones of the known keys that a read lacked.

    An unreadable list removes nothing.
    """
    present = keys_of(read)
    if present is None:
        return []
    return [
        read._replace(service=key, author='')
        for key in known
        if key not in present
    ]


class KeySharing:
    """Decides when the keys of a read of all rows are passed on.

    A daemon that started after a restore of the store does not know of it, so
    the keys of each era are shared some time after it was first read.

    :param clock: the clock of all times.
    :param delay: the time in which rows that a copy lacks may return.
    """

    def __init__(self, clock: Clock, delay: Millis) -> None:
        self.clock = clock
        self.delay = delay
        self.era = 0
        self.era_read_at: Millis = -math.inf
        self.has_unshared = False

    def record_read(self, era: int) -> None:
        """Record that all rows were read."""
        if era > self.era:
            self.era = era
            self.era_read_at = self.clock.now()
        self.has_unshared = True

    def is_due(self) -> bool:
        """Return whether there are keys to share now."""
        since_era = self.clock.now() - self.era_read_at
        return self.has_unshared and since_era >= self.delay
