"""What a daemon tells its peers, and what it learns from them."""

from collections.abc import Iterable, Mapping
from functools import singledispatchmethod

from cowslippond_core._byte_budget import ByteBudget
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._codec import (
    Codec,
    WireError,
)
from cowslippond_core._contact import Contact
from cowslippond_core._document import AcceptedDocument
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
GOSSIP_RATE = 20_000
GOSSIP_DEPTH = 65_536

#: The most rows in a message, and those among them that are not news.
MESSAGE_ROWS = 16
FILLER_ROWS = 3

#: The most rows that a daemon which has just started may ask for.
MAX_ROWS = 700

# Documents in one message, by their text in bytes; at least one is sent.
_BATCH_BYTES = 131_072


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
        contact: Contact,
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
        self.budget = ByteBudget(clock, GOSSIP_RATE, GOSSIP_DEPTH)

    def compose(self, room: int, wanted: int) -> Exchange:
        """Return the state of this daemon.

        :param room: the most rows to tell.
        :param wanted: the most rows wanted in the answer.
        """
        return Exchange(
            self.fleet,
            self.address,
            self.contact.failure_domain,
            self._digest(),
            self._take_rows(room),
            wanted,
        )

    def compose_all(self, room: int) -> Exchange:
        """Return the state of this daemon with all rows that it holds.

        :param room: the most rows of one table.
        """
        told = [
            TableRows(table.name, tuple(table.rows()[-room:]))
            for table in self.tables.values()
        ]
        return self.compose(0, 0)._replace(tables=tuple(told))

    def ask(self, is_new: bool) -> Exchange:
        """Return the message that opens a round with a peer.

        It tells only the revision, since the peer could not tell how old the
        ages in it are.

        :param is_new: whether this daemon still lacks what peers know.
        """
        wanted = MAX_ROWS if is_new else MESSAGE_ROWS
        asked = self.compose(MESSAGE_ROWS, wanted)
        revisions = _revisions_of(self.logs)
        digest = Digest(asked.digest.revision, None, (), revisions)
        return asked._replace(digest=digest)

    def confirmation(self) -> Confirmation:
        """Return the message that ends a round with a peer."""
        return Confirmation(self.contact.failure_domain, self._digest())

    def learn(self, theirs: Exchange | Confirmation, asked_at: Millis) -> None:
        """Take over what a peer confirms, after its documents.

        :param theirs: what the peer wrote.
        :param asked_at: a time before it was written, in milliseconds; ages
            count from then.
        """
        digest = theirs.digest
        if digest.revision > self.catalogue.revision:
            return
        self.contact.hear(theirs.failure_domain, digest.witnesses, asked_at)
        if digest.confirmed_age is not None:
            confirmed_at = asked_at - digest.confirmed_age
            self.catalogue.confirm(confirmed_at, digest.revision)

    def merge_rows(self, theirs: Exchange) -> None:
        """Take over rows; those of unknown tables are passed over."""
        for told in theirs.tables:
            table = self.tables.get(told.table)
            if table is None:
                continue
            for row in told.rows:
                table.merge(row)

    def check_fleet(self, theirs: Exchange) -> None:
        """Refuse a daemon of another fleet.

        :raises WireError: if it is one.
        """
        if theirs.fleet != self.fleet:
            raise WireError(f'a daemon of fleet {theirs.fleet!r}')

    def take_documents(self, told: Documents) -> None:
        """Put documents in force that are newer."""
        log = self.log_of(told.log)
        for accepted in told.documents:
            log.offer(accepted)
        if told.is_last:
            log.advance(told.revision)

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

    def lagging(self, digest: Digest) -> list[tuple[str, int]]:
        """Return the logs that differ from a peer's, with its revision."""
        theirs = {CATALOGUE_LOG: digest.revision, **digest.logs}
        return [
            (name, theirs[name])
            for name, log in self.logs.items()
            if name in theirs and theirs[name] != log.revision
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
        wanted = min(max(message.row_limit, 0), MAX_ROWS)
        if wanted > MESSAGE_ROWS:
            return self.compose_all(wanted)
        return self.compose(wanted, 0)

    @answer.register
    def _answer_pull(self, message: Pull) -> Message:
        return self.documents_after(message.after, message.log)

    @answer.register
    def _answer_documents(self, message: Documents) -> Message:
        self.take_documents(message)
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

    def _take_rows(self, room: int) -> tuple[TableRows, ...]:
        has_room = self.budget.has_room()
        fillers = FILLER_ROWS if has_room else 0
        told = []
        for table in self.tables.values():
            if not (has_room or table.is_urgent):
                continue
            rows = table.take(room, fillers)
            if not rows:
                continue
            room -= len(rows)
            told.append(TableRows(table.name, tuple(rows)))
        return tuple(told)


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
        if batch and size > _BATCH_BYTES:
            break
        batch.append(accepted)
    return batch
