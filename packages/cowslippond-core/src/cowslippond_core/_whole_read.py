"""The keys that a read of a whole table found, as an entry of a log.

A daemon that has read a table whole knows which entries exist, but not which
ended before. It passes the keys on, from which a peer that still has an ended
entry learns of the end.

The table may have been restored from a copy that lacks rows which their writers
are about to write again. Until they had the time, the keys are provisional: they
show only the end of entries that were in the table in the same era.

The text of the entry is empty and its key is none of the table's: a daemon of
an earlier release takes it for the end of an unknown entry and passes it on.
Such a daemon takes provisional keys for an unreadable list.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

import orjson

from cowslippond_core._document import AcceptedDocument
from cowslippond_core._store_era import era_of

_logger = logging.getLogger(__name__)

#: The key of the entry; rows of the store have keys that are not empty.
WHOLE_READ_KEY = ''

# The field of the list that holds provisional keys.
_PROVISIONAL = 'provisional'


class WholeRead(NamedTuple):
    """The keys that a read of a whole table found.

    ``revision`` is that of the read. While ``is_provisional`` is set, rows of an
    earlier era may be written again.
    """

    revision: int
    keys: frozenset[str]
    is_provisional: bool

    def shows_end_of(self, entry: AcceptedDocument) -> bool:
        """Return whether an entry had ended when the table was read."""
        if entry.service in self.keys or entry.revision > self.revision:
            return False
        is_same_era = era_of(entry.revision) == era_of(self.revision)
        return is_same_era or not self.is_provisional


def make_whole_read(
    revision: int,
    keys: Iterable[str],
    at: int,
    *,
    is_provisional: bool = False,
) -> AcceptedDocument:
    """Return the entry of a read.

    :param revision: the revision of the read.
    :param keys: the keys that were found.
    :param at: the wall-clock time, in milliseconds.
    :param is_provisional: whether rows of an earlier era may be written again.
    """
    found = sorted(keys)
    listing = {_PROVISIONAL: found} if is_provisional else found
    author = orjson.dumps(listing).decode()
    return AcceptedDocument(WHOLE_READ_KEY, revision, revision, '', author, at)


def decode_whole_read(entry: AcceptedDocument) -> WholeRead | None:
    """Return the keys that a read found, or ``None`` if they are unreadable."""
    try:
        keys = orjson.loads(entry.author)
    except ValueError:
        keys = None
    is_provisional = isinstance(keys, dict)
    if is_provisional:
        keys = keys.get(_PROVISIONAL)
    if isinstance(keys, list) and all(isinstance(key, str) for key in keys):
        return WholeRead(entry.revision, frozenset(keys), is_provisional)
    _logger.warning(
        'unreadable list of keys from a peer',
        extra={'revision': entry.revision},
    )
    return None


def keys_of(entry: AcceptedDocument) -> frozenset[str] | None:
    """Return keys that are not provisional, or ``None`` if there are none."""
    read = decode_whole_read(entry)
    if read is None or read.is_provisional:
        return None
    return read.keys


def make_tombstone(entry: AcceptedDocument, key: str) -> AcceptedDocument:
    """Return the entry that marks the end of a key that a read lacked.

    :param entry: the entry of the read.
    :param key: the key.
    """
    return entry._replace(service=key, author='')
