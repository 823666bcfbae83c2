"""The keys that a read of a whole table found, as an entry of a log.

A daemon that has read a table whole knows which entries exist, but not which
ended before. It passes the keys on, from which a peer that still has an ended
entry learns of the end.

The text of the entry is empty and its key is none of the table's: a daemon of
an earlier release takes it for the end of an unknown entry and passes it on.
"""

from collections.abc import Iterable

import orjson

from cowslippond_core._document import AcceptedDocument

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
        return None
    if not isinstance(keys, list):
        return None
    if not all(isinstance(key, str) for key in keys):
        return None
    return frozenset(keys)
