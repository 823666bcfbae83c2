"""Encodes the messages between daemons as JSON arrays.

An alternative to thrift, whose library alone takes 7.4 MB of memory in each
process, whereas the JSON parser is loaded anyway. Arrays are shorter than
objects, since they contain no field names.
"""

import zlib
from collections.abc import Callable, Mapping
from functools import singledispatch
from types import MappingProxyType
from typing import Any

import orjson

from cowslippond_core._codec import (
    MAX_MESSAGE_BYTES,
    WireError,
    read_list,
    read_number,
    read_text,
    round_age_up,
)
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._gossip_table import GossipRow
from cowslippond_core._peer_messages import (
    Confirmation,
    Digest,
    Documents,
    Exchange,
    Message,
    Pull,
    TableRows,
    Witness,
)

# Messages of this size and larger are compressed. Uncompressed, a configuration
# of 1,200 routes blocks the calls of a machine on a 5 Mbit/s link for half a
# second.
_MIN_COMPRESSED_BYTES = 4096
# The fastest level, since a daemon has only half a core.
_COMPRESSION_LEVEL = 1

# The first byte of an uncompressed message; compressed messages never start
# with it.
_ARRAY_START = b'['

_EXCHANGE = 'x'
_CONFIRMATION = 'c'
_PULL = 'p'
_DOCUMENTS = 'd'

# These fields are sent among the revisions of the logs, since releases without
# them ignore unknown logs but refuse a longer digest.
_DAEMONS = '#daemons'
_SETTLED = '#settled'

# The same for the era of the store, which is left out while none is known.
_ERA = '#era'
_FIRST_ERA = '#first_era'


class JsonCodec:
    """Encodes a message as an array of its kind and its fields in order.

    The kind is a single letter. Long messages are compressed.
    """

    def pack(self, message: Message) -> bytes:
        """Encode a message."""
        packed = orjson.dumps(_pack(message))
        if len(packed) < _MIN_COMPRESSED_BYTES:
            return packed
        return zlib.compress(packed, _COMPRESSION_LEVEL)

    def unpack(self, packed: bytes) -> Message:
        """Decode a message.

        :raises WireError: if the bytes are not a valid message.
        """
        try:
            kind, *fields = read_list(orjson.loads(_decompress(packed)))
            message: Message = _UNPACKERS[kind](*fields)
        except (ValueError, TypeError, KeyError) as error:
            raise WireError(f'unreadable message: {error!r}') from error
        return message


def _decompress(packed: bytes) -> bytes:
    if packed.startswith(_ARRAY_START):
        return packed
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(packed, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise WireError(f'unreadable message: {error!r}') from error
    if not decompressor.eof:
        raise WireError('compressed message is truncated or too long')
    return decompressed


@singledispatch
def _pack(message: Message) -> list[Any]:
    raise TypeError(message)


@_pack.register
def _pack_exchange(message: Exchange) -> list[Any]:
    return [
        _EXCHANGE,
        message.fleet,
        message.sender,
        message.failure_domain,
        _pack_digest(message.digest),
        [_pack_table(table) for table in message.tables],
        message.row_limit,
    ]


@_pack.register
def _pack_confirmation(message: Confirmation) -> list[Any]:
    return [
        _CONFIRMATION,
        message.failure_domain,
        _pack_digest(message.digest),
    ]


@_pack.register
def _pack_pull(message: Pull) -> list[Any]:
    return [_PULL, message.after, message.log]


@_pack.register
def _pack_documents(message: Documents) -> list[Any]:
    entries = [list(entry) for entry in message.documents]
    return [
        _DOCUMENTS,
        entries,
        message.is_last,
        message.revision,
        message.log,
    ]


def _pack_digest(digest: Digest) -> list[Any]:
    age = digest.confirmed_age
    return [
        digest.revision,
        None if age is None else round_age_up(age),
        [
            [witness.failure_domain, round_age_up(witness.age)]
            for witness in digest.witnesses
        ],
        _pack_logs(digest),
    ]


def _pack_logs(digest: Digest) -> dict[str, int]:
    packed = {
        **digest.logs,
        _DAEMONS: digest.daemons,
        _SETTLED: int(digest.is_settled),
    }
    if digest.era:
        packed[_ERA] = digest.era
        packed[_FIRST_ERA] = digest.first_era
    return packed


def _pack_table(batch: TableRows) -> list[Any]:
    rows = [
        [row.key, row.text, row.stamp, int(row.remaining)] for row in batch.rows
    ]
    return [batch.table, rows]


def _unpack_exchange(
    fleet: Any,
    sender: Any,
    failure_domain: Any,
    digest: Any,
    tables: Any,
    row_limit: Any,
) -> Exchange:
    return Exchange(
        read_text(fleet),
        read_text(sender),
        read_text(failure_domain),
        _unpack_digest(*read_list(digest)),
        tuple(_unpack_table(*read_list(table)) for table in read_list(tables)),
        read_number(row_limit),
    )


def _unpack_confirmation(failure_domain: Any, digest: Any) -> Confirmation:
    return Confirmation(
        read_text(failure_domain), _unpack_digest(*read_list(digest))
    )


def _unpack_pull(after: Any, log: Any) -> Pull:
    return Pull(read_number(after), read_text(log))


def _unpack_documents(
    entries: Any, is_last: Any, revision: Any, log: Any
) -> Documents:
    if not isinstance(is_last, bool):
        raise WireError('documents message has no valid is_last')
    return Documents(
        tuple(
            _unpack_document(*read_list(entry)) for entry in read_list(entries)
        ),
        is_last,
        read_number(revision),
        read_text(log),
    )


def _unpack_digest(
    revision: Any, age: Any, witnesses: Any, logs: dict[str, Any]
) -> Digest:
    revisions = {
        name: read_number(log_revision)
        for name, log_revision in dict(logs).items()
    }
    daemons = revisions.pop(_DAEMONS, 0)
    is_settled = bool(revisions.pop(_SETTLED, 0))
    era = revisions.pop(_ERA, 0)
    first_era = revisions.pop(_FIRST_ERA, 0)
    return Digest(
        read_number(revision),
        None if age is None else read_number(age),
        tuple(
            _unpack_witness(*read_list(witness))
            for witness in read_list(witnesses)
        ),
        revisions,
        daemons,
        is_settled,
        era,
        first_era,
    )


def _unpack_witness(failure_domain: Any, age: Any) -> Witness:
    return Witness(read_text(failure_domain), read_number(age))


def _unpack_table(table: Any, rows: Any) -> TableRows:
    return TableRows(
        read_text(table),
        tuple(_unpack_row(*read_list(row)) for row in read_list(rows)),
    )


def _unpack_row(key: Any, text: Any, stamp: Any, remaining: Any) -> GossipRow:
    return GossipRow(
        read_text(key),
        read_text(text),
        read_number(stamp),
        read_number(remaining),
    )


def _unpack_document(
    service: Any,
    version: Any,
    revision: Any,
    text: Any,
    author: Any,
    accepted_at: Any,
) -> AcceptedDocument:
    return AcceptedDocument(
        read_text(service),
        read_number(version),
        read_number(revision),
        read_text(text),
        read_text(author),
        read_number(accepted_at),
    )


_UNPACKERS: Mapping[str, Callable[..., Message]] = MappingProxyType(
    {
        _EXCHANGE: _unpack_exchange,
        _CONFIRMATION: _unpack_confirmation,
        _PULL: _unpack_pull,
        _DOCUMENTS: _unpack_documents,
    }
)
