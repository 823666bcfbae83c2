"""Encodes the messages between daemons with thrift."""

import pathlib
from functools import singledispatch
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.thrift import TException
from thriftpy2.utils import deserialize, serialize

from cowslippond_core._codec import (
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

_IDL = pathlib.Path(__file__).with_name('cowslippond.thrift')

_idl: Any = thriftpy2.load(str(_IDL), module_name='cowslippond_thrift')
_protocol = TCyBinaryProtocolFactory()


class ThriftCodec:
    """Encodes messages in the binary protocol of ``cowslippond.thrift``."""

    def pack(self, message: Message) -> bytes:
        """Encode a message."""
        packed: bytes = serialize(_pack(message), _protocol)
        return packed

    def unpack(self, packed: bytes) -> Message:
        """Decode a message.

        :raises WireError: if the bytes are not a valid message.
        """
        try:
            frame = deserialize(_idl.Frame(), packed, _protocol)
        except (TException, ValueError, EOFError) as error:
            raise WireError(f'unreadable frame: {error!r}') from error
        if frame.exchange is not None:
            return _unpack_exchange(frame.exchange)
        if frame.confirmation is not None:
            return _unpack_confirmation(frame.confirmation)
        if frame.pull is not None:
            return Pull(read_number(frame.pull.after), frame.pull.log or '')
        if frame.documents is not None:
            return _unpack_documents(frame.documents)
        raise WireError('frame contains no message')


@singledispatch
def _pack(message: Message) -> Any:
    raise TypeError(message)


@_pack.register
def _pack_exchange(message: Exchange) -> Any:
    exchange = _idl.Exchange(
        fleet=message.fleet,
        sender=message.sender,
        failure_domain=message.failure_domain,
        digest=_pack_digest(message.digest),
        tables=[_pack_table(table) for table in message.tables],
        row_limit=message.row_limit,
    )
    return _idl.Frame(exchange=exchange)


@_pack.register
def _pack_confirmation(message: Confirmation) -> Any:
    confirmation = _idl.Confirmation(
        failure_domain=message.failure_domain,
        digest=_pack_digest(message.digest),
    )
    return _idl.Frame(confirmation=confirmation)


@_pack.register
def _pack_pull(message: Pull) -> Any:
    pull = _idl.Pull(after=message.after, log=message.log or None)
    return _idl.Frame(pull=pull)


@_pack.register
def _pack_documents(message: Documents) -> Any:
    documents = _idl.Documents(
        documents=[_pack_document(entry) for entry in message.documents],
        is_last=message.is_last,
        revision=message.revision,
        log=message.log or None,
    )
    return _idl.Frame(documents=documents)


def _pack_digest(digest: Digest) -> Any:
    age = digest.confirmed_age
    return _idl.Digest(
        revision=digest.revision,
        confirmed_age_ms=None if age is None else round_age_up(age),
        witnesses=[
            _idl.Witness(
                failure_domain=witness.failure_domain,
                age_ms=round_age_up(witness.age),
            )
            for witness in digest.witnesses
        ],
        logs=dict(digest.logs) or None,
        daemons=digest.daemons or None,
    )


def _pack_table(table: TableRows) -> Any:
    rows = [
        _idl.Row(
            key=row.key,
            text=row.text,
            stamp=row.stamp,
            remaining_ms=int(row.remaining),
        )
        for row in table.rows
    ]
    return _idl.TableRows(table=table.table, rows=rows)


def _pack_document(entry: AcceptedDocument) -> Any:
    return _idl.Document(
        service_name=entry.service,
        version=entry.version,
        revision=entry.revision,
        text=entry.text,
        author=entry.author,
        accepted_at=entry.accepted_at,
    )


def _unpack_exchange(exchange: Any) -> Exchange:
    return Exchange(
        read_text(exchange.fleet),
        read_text(exchange.sender),
        read_text(exchange.failure_domain),
        _unpack_digest(exchange.digest),
        tuple(_unpack_table(table) for table in read_list(exchange.tables)),
        read_number(exchange.row_limit),
    )


def _unpack_confirmation(confirmation: Any) -> Confirmation:
    return Confirmation(
        read_text(confirmation.failure_domain),
        _unpack_digest(confirmation.digest),
    )


def _unpack_digest(digest: Any) -> Digest:
    if digest is None:
        raise WireError('message has no digest')
    age = digest.confirmed_age_ms
    return Digest(
        read_number(digest.revision),
        None if age is None else read_number(age),
        tuple(
            Witness(
                read_text(witness.failure_domain), read_number(witness.age_ms)
            )
            for witness in read_list(digest.witnesses)
        ),
        {
            read_text(name): read_number(revision)
            for name, revision in (digest.logs or {}).items()
        },
        read_number(digest.daemons or 0),
    )


def _unpack_table(table: Any) -> TableRows:
    rows = [
        GossipRow(
            read_text(row.key),
            read_text(row.text),
            read_number(row.stamp),
            read_number(row.remaining_ms),
        )
        for row in read_list(table.rows)
    ]
    return TableRows(read_text(table.table), tuple(rows))


def _unpack_documents(documents: Any) -> Documents:
    entries = [
        AcceptedDocument(
            read_text(entry.service_name),
            read_number(entry.version),
            read_number(entry.revision),
            read_text(entry.text),
            read_text(entry.author),
            read_number(entry.accepted_at),
        )
        for entry in read_list(documents.documents)
    ]
    if documents.is_last is None:
        raise WireError('documents message has no is_last')
    revision = read_number(documents.revision)
    return Documents(
        tuple(entries),
        bool(documents.is_last),
        revision,
        documents.log or '',
    )
