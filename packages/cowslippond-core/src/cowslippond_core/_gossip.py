"""Builds and applies the gossip messages of a daemon."""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod

from cowslippond_core._byte_budget import ByteBudget
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._codec import (
    Codec,
    WireError,
)
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._fleet_contact import FleetContact
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._peer_messages import (
    Confirmation,
    Digest,
    Documents,
    Exchange,
    Message,
    Pull,
    TableRows,
)
from cowslippond_core._store_era import StoreEra
from cowslippond_core._versions import Versions

#: Limit on gossip traffic, both directions together. Above it, only digests,
#: new documents and rows of urgent tables are sent.
GOSSIP_BYTES_PER_SECOND = 20_000
GOSSIP_BURST_BYTES = 65_536

#: Maximum rows in a message, and how many of them may be repair rows, which
#: are resent in case a peer missed them.
MAX_MESSAGE_ROWS = 16
MAX_REPAIR_ROWS = 3

#: Maximum rows that a daemon with an incomplete list of daemons may request.
MAX_INITIAL_ROWS = 700

# Maximum total text size of the documents in one message. At least one
# document is sent, whatever its size.
_MAX_BATCH_BYTES = 131_072


#: The name of the catalogue's log.
CATALOGUE_LOG = ''


class Gossip:
    """The state that a daemon exchanges with its peers.

    Peers are told the era of the store, ``era``.

    :param fleet: the fleet's name; daemons of other fleets are refused.
    :param address: the peer address of this daemon.
    :param catalogue: the documents in force.
    :param contact: records contact with peers and failure domains, and what
        peers tell of the fleet's size.
    :param tables: the tables to replicate, the most important first.
    :param clock: measures ages.
    :param codec: encodes the messages.
    :param logs: additional logs of versioned texts, by name.
    """

    def __init__(
        self,
        fleet: str,
        address: str,
        catalogue: Versions,
        contact: FleetContact,
        tables: Iterable[GossipTable],
        clock: Clock,
        codec: Codec,
        logs: Mapping[str, Versions] | None = None,
    ) -> None:
        self.era = StoreEra()
        self.fleet = fleet
        self.address = address
        self.catalogue = catalogue
        self.logs = {CATALOGUE_LOG: catalogue, **(logs or {})}
        self.contact = contact
        self.tables = {table.name: table for table in tables}
        self.clock = clock
        self.codec = codec
        self.budget = ByteBudget(
            clock, GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES
        )

    def build_exchange(self, max_rows: int, reply_rows: int) -> Exchange:
        """Return a message with the state of this daemon.

        :param max_rows: the maximum number of rows to include.
        :param reply_rows: the maximum number of rows requested in the answer.
        """
        return Exchange(
            self.fleet,
            self.address,
            self.contact.failure_domain,
            self._digest(),
            self._next_rows(max_rows),
            reply_rows,
        )

    def build_full_exchange(self, max_rows: int) -> Exchange:
        """Return a message with the state of this daemon and all its rows.

        :param max_rows: the maximum number of rows of each table.
        """
        all_rows = [
            TableRows(table.name, tuple(table.next_window(max_rows)))
            for table in self.tables.values()
        ]
        return self.build_exchange(0, 0)._replace(tables=tuple(all_rows))

    def build_request(self, wants_all_rows: bool) -> Exchange:
        """Return the message that opens a gossip round with a peer.

        Its digest holds only revisions and no ages: the peer does not know
        when the message was written, so it could not use them.

        :param wants_all_rows: whether to request the full tables.
        """
        reply_rows = MAX_INITIAL_ROWS if wants_all_rows else MAX_MESSAGE_ROWS
        request = self.build_exchange(MAX_MESSAGE_ROWS, reply_rows)
        digest = request.digest._replace(confirmed_age=None, witnesses=())
        return request._replace(digest=digest)

    def build_confirmation(self) -> Confirmation:
        """Return the message that ends a gossip round with a peer."""
        return Confirmation(self.contact.failure_domain, self._digest())

    def apply_peer_state(
        self, peer_state: Exchange | Confirmation, requested_at: Millis
    ) -> None:
        """Record the contact and the confirmation in a peer's message.

        Call it after the peer's documents are applied: a message with a
        revision above this daemon's is ignored.

        :param peer_state: the peer's message.
        :param requested_at: a time before the message was written, in
            milliseconds; its ages are counted from then.
        """
        digest = peer_state.digest
        self.contact.record_contact(requested_at)
        self.era.observe_digest(digest)
        if digest.revision > self.catalogue.revision:
            return
        self.contact.record_witnesses(
            peer_state.failure_domain, digest.witnesses, requested_at
        )
        if digest.confirmed_age is not None:
            confirmed_at = requested_at - digest.confirmed_age
            self.catalogue.confirm(confirmed_at, digest.revision)

    def merge_rows(self, exchange: Exchange) -> None:
        """Merge the rows of a message; unknown tables are ignored."""
        for received in exchange.tables:
            table = self.tables.get(received.table)
            if table is None:
                continue
            for row in received.rows:
                table.merge(row)

    def check_fleet(self, exchange: Exchange) -> None:
        """Check that a message comes from a daemon of this fleet.

        :raises WireError: if it does not.
        """
        if exchange.fleet != self.fleet:
            raise WireError(f'peer belongs to fleet {exchange.fleet!r}')

    def apply_documents(self, update: Documents) -> None:
        """Put the documents in force that are newer than the known ones."""
        log = self.log_of(update.log)
        log.offer_all(update.documents)
        if update.is_last:
            log.advance(update.revision)

    def documents_after(
        self, revision: int, name: str = CATALOGUE_LOG
    ) -> Documents:
        """Return the next batch of a log's documents above a revision."""
        log = self.log_of(name)
        newer = log.newer_than(revision)
        batch = _first_batch(newer)
        is_last = len(batch) == len(newer)
        return Documents(tuple(batch), is_last, log.revision, name)

    def log_of(self, name: str) -> Versions:
        """Return a log by its name.

        :raises WireError: if there is no such log.
        """
        log = self.logs.get(name)
        if log is None:
            raise WireError(f'unknown log {name!r}')
        return log

    def out_of_sync_logs(self, digest: Digest) -> list[tuple[str, int]]:
        """Return the logs whose revision differs from a peer's.

        Each comes with the peer's revision.
        """
        peer_revisions = {CATALOGUE_LOG: digest.revision, **digest.logs}
        return [
            (name, peer_revisions[name])
            for name, log in self.logs.items()
            if name in peer_revisions
            and log.successor not in digest.logs
            and _is_out_of_sync(log, peer_revisions[name])
        ]

    @singledispatchmethod
    def answer(self, message: Message) -> Message:
        """Return the answer to a message from a peer.

        An unsolicited message never confirms the catalogue, since it may have
        been in transit for any length of time.

        :raises WireError: if the message has no answer.
        """
        raise WireError(f'message cannot be answered: {message!r}')

    @answer.register
    def _answer_exchange(self, message: Exchange) -> Message:
        self.check_fleet(message)
        self.contact.record_fleet_size(message.digest)
        self.era.observe_digest(message.digest)
        self.catalogue.observe_revision(message.digest.revision)
        self.merge_rows(message)
        reply_rows = min(max(message.row_limit, 0), MAX_INITIAL_ROWS)
        if reply_rows > MAX_MESSAGE_ROWS:
            return self.build_full_exchange(reply_rows)
        return self.build_exchange(reply_rows, 0)

    @answer.register
    def _answer_pull(self, message: Pull) -> Message:
        return self.documents_after(message.after, message.log)

    @answer.register
    def _answer_documents(self, message: Documents) -> Message:
        self.apply_documents(message)
        return Pull(self.log_of(message.log).revision, message.log)

    def _digest(self) -> Digest:
        now = self.clock.now()
        confirmed_at = self.catalogue.confirmed_at
        return Digest(
            self.catalogue.revision,
            None if confirmed_at is None else now - confirmed_at,
            self.contact.witnesses(now),
            _revisions_of(self.logs),
            self.contact.size.count_known(),
            self.contact.size.is_settled(),
            self.era.current,
            self.era.first,
        )

    def _next_rows(self, max_rows: int) -> tuple[TableRows, ...]:
        is_within_budget = self.budget.has_room()
        repair_rows = MAX_REPAIR_ROWS if is_within_budget else 0
        selected = []
        for table in self.tables.values():
            if not (is_within_budget or table.is_urgent):
                continue
            rows = table.next_rows(max_rows, repair_rows)
            if not rows:
                continue
            max_rows -= len(rows)
            selected.append(TableRows(table.name, tuple(rows)))
        return tuple(selected)


def _revisions_of(logs: Mapping[str, Versions]) -> dict[str, int]:
    return {
        name: log.revision
        for name, log in logs.items()
        if name != CATALOGUE_LOG
    }


def _is_out_of_sync(log: Versions, peer_revision: int) -> bool:
    if peer_revision > log.revision:
        return log.accepts()
    return peer_revision < log.revision


def _first_batch(newer: list[AcceptedDocument]) -> list[AcceptedDocument]:
    size = 0
    batch: list[AcceptedDocument] = []
    for accepted in newer:
        size += len(accepted.text.encode())
        if batch and size > _MAX_BATCH_BYTES:
            break
        batch.append(accepted)
    return batch
