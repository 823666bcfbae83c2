"""What a daemon tells its peers, and what it learns from them."""

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
from cowslippond_core._versions import Versions

#: The bytes a second that gossip may take, both directions together. Beyond
#: it only digests, new documents and news of urgent tables are passed on.
GOSSIP_BYTES_PER_SECOND = 20_000
GOSSIP_BURST_BYTES = 65_536

#: The most rows in a message, and those among them that are not news.
MAX_MESSAGE_ROWS = 16
MAX_REPAIR_ROWS = 3

#: The most rows that a daemon which has just started may ask for.
MAX_INITIAL_ROWS = 700

# Documents in one message, by their text in bytes; at least one is sent.
_MAX_BATCH_BYTES = 131_072


#: The name of the log of the catalogue.
CATALOGUE_LOG = ''


class Gossip:
    """The state of a daemon as seen by its conversations with peers.

    :param fleet: daemons of other fleets are not talked to.
    :param address: the peer address of this daemon.
    :param catalogue: the documents in force.
    :param contact: the news of failure domains.
    :param tables: the rows to pass on, those that matter most first.
    :param clock: the clock of ages.
    :param codec: of the messages.
    :param logs: further texts in versions, by the names of their logs.
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
        """Return the state of this daemon.

        :param room: the most rows to tell.
        :param wanted: the most rows wanted in the answer.
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
        """Return the state of this daemon with all rows that it holds.

        :param room: the most rows of one table.
        """
        all_rows = [
            TableRows(table.name, tuple(table.rows()[-max_rows:]))
            for table in self.tables.values()
        ]
        return self.build_exchange(0, 0)._replace(tables=tuple(all_rows))

    def build_request(self, wants_all_rows: bool) -> Exchange:
        """Return the message that opens a round with a peer.

        It tells only the revision, since the peer could not tell how old the
        ages in it are.

        :param is_new: whether this daemon still lacks what peers know.
        """
        reply_rows = MAX_INITIAL_ROWS if wants_all_rows else MAX_MESSAGE_ROWS
        request = self.build_exchange(MAX_MESSAGE_ROWS, reply_rows)
        revisions = _revisions_of(self.logs)
        digest = Digest(request.digest.revision, None, (), revisions)
        return request._replace(digest=digest)

    def build_confirmation(self) -> Confirmation:
        """Return the message that ends a round with a peer."""
        return Confirmation(self.contact.failure_domain, self._digest())

    def apply_peer_state(
        self, peer_state: Exchange | Confirmation, requested_at: Millis
    ) -> None:
        """Take over what a peer confirms, after its documents.

        :param theirs: what the peer wrote.
        :param asked_at: a time before it was written, in milliseconds; ages
            count from then.
        """
        digest = peer_state.digest
        if digest.revision > self.catalogue.revision:
            return
        self.contact.record_witnesses(
            peer_state.failure_domain, digest.witnesses, requested_at
        )
        if digest.confirmed_age is not None:
            confirmed_at = requested_at - digest.confirmed_age
            self.catalogue.confirm(confirmed_at, digest.revision)

    def merge_rows(self, exchange: Exchange) -> None:
        """Take over rows; those of unknown tables are passed over."""
        for received in exchange.tables:
            table = self.tables.get(received.table)
            if table is None:
                continue
            for row in received.rows:
                table.merge(row)

    def check_fleet(self, exchange: Exchange) -> None:
        """Refuse a daemon of another fleet.

        :raises WireError: if it is one.
        """
        if exchange.fleet != self.fleet:
            raise WireError(f'a daemon of fleet {exchange.fleet!r}')

    def apply_documents(self, update: Documents) -> None:
        """Put documents in force that are newer."""
        log = self.log_of(update.log)
        for accepted in update.documents:
            log.offer(accepted)
        if update.is_last:
            log.advance(update.revision)

    def documents_after(
        self, revision: int, name: str = CATALOGUE_LOG
    ) -> Documents:
        """Return the next documents of a log above a revision."""
        log = self.log_of(name)
        newer = log.newer_than(revision)
        batch = _first_batch(newer)
        is_last = len(batch) == len(newer)
        return Documents(tuple(batch), is_last, log.revision, name)

    def log_of(self, name: str) -> Versions:
        """Return a log by its name.

        :raises WireError: if there is none.
        """
        log = self.logs.get(name)
        if log is None:
            raise WireError(f'no log {name!r}')
        return log

    def out_of_sync_logs(self, digest: Digest) -> list[tuple[str, int]]:
        """Return the logs that differ from a peer's, with its revision."""
        peer_revisions = {CATALOGUE_LOG: digest.revision, **digest.logs}
        return [
            (name, peer_revisions[name])
            for name, log in self.logs.items()
            if name in peer_revisions and peer_revisions[name] != log.revision
        ]

    @singledispatchmethod
    def answer(self, message: Message) -> Message:
        """Return the answer to a message of a peer.

        Nothing a peer says unasked confirms the catalogue, since it may have
        been on its way for any time.

        :raises WireError: if the message has no answer.
        """
        raise WireError(f'no answer to {message!r}')

    @answer.register
    def _answer_exchange(self, message: Exchange) -> Message:
        self.check_fleet(message)
        self.catalogue.hear_of(message.digest.revision)
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


def _first_batch(newer: list[AcceptedDocument]) -> list[AcceptedDocument]:
    size = 0
    batch: list[AcceptedDocument] = []
    for accepted in newer:
        size += len(accepted.text.encode())
        if batch and size > _MAX_BATCH_BYTES:
            break
        batch.append(accepted)
    return batch
