"""Accept a service document with one conditional write to the table."""

import random
import uuid
from typing import NamedTuple

from expression import Error, Ok, Result

from cowslippond_core import _catalogue_layout as layout
from cowslippond_core._apply_errors import ApplyError, ApplyFault
from cowslippond_core._catalogue_reader import read_documents, read_head
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._document import AcceptedDocument, ServiceDocument
from cowslippond_core._document_reader import read_document
from cowslippond_core._route_overlap import Overlap, find_overlaps
from cowslippond_core._table import (
    Condition,
    Put,
    Table,
    TableError,
    TableFault,
)

_MAX_ATTEMPTS = 10
_BASE_BACKOFF_MS: Millis = 20
_MAX_BACKOFF_MS: Millis = 1000


class _CatalogueState(NamedTuple):
    """The newest document of each service.

    The documents are at least as new as ``revision``.
    """

    revision: int
    documents: tuple[AcceptedDocument, ...]

    def newest_of(self, service: str) -> AcceptedDocument | None:
        """Return the newest document of a service, if it has one."""
        for accepted in self.documents:
            if accepted.service == service:
                return accepted
        return None


async def accept_document(
    table: Table,
    text: str,
    author: str,
    expected_version: int | None,
    clock: Clock,
) -> Result[AcceptedDocument, ApplyError]:
    """Write a new version of a service's document to the platform's table.

    A concurrent change of another service is not a conflict; the write is
    retried a limited number of times. If the response to a write is lost, the
    row of the change is read back, and its token shows whose write took
    effect.

    :param text: the document as its author wrote it.
    :param author: who made the change, for the history.
    :param expected_version: the version that the change is based on, 0 if the
        service has no document. ``None`` stands for the newest version that
        is read before the first write.
    """
    read = read_document(text, 'document')
    if read.is_error():
        return Error(ApplyError(ApplyFault.INVALID, findings=read.error))
    change = _DocumentChange(
        table, read.ok, text, author, expected_version, clock
    )
    return await change.run()


class _DocumentChange:
    """One change of a document, over all attempts to write it.

    All attempts write the same token. ``unconfirmed_revisions`` holds the
    revisions of writes whose response was lost, so that their outcome is
    unknown.
    """

    def __init__(
        self,
        table: Table,
        document: ServiceDocument,
        text: str,
        author: str,
        expected_version: int | None,
        clock: Clock,
    ) -> None:
        self.table = table
        self.document = document
        self.text = text
        self.author = author
        self.clock = clock
        self.expected_version = expected_version
        self.token = uuid.uuid4().hex
        self.unconfirmed_revisions: set[int] = set()
        self.last_error = TableError(TableFault.CONFLICT, 'not attempted')

    async def run(self) -> Result[AcceptedDocument, ApplyError]:
        """Attempt the write until its outcome is certain or attempts run out."""
        for attempt in range(_MAX_ATTEMPTS):
            await self._back_off(attempt)
            outcome = await self._attempt_once()
            if outcome is not None:
                return outcome
        resolved = await self._resolve_unconfirmed()
        if resolved.is_ok() and resolved.ok is not None:
            return Ok(resolved.ok)
        return Error(self._build_error())

    async def _back_off(self, attempt: int) -> None:
        if not attempt:
            return
        ceiling = min(_BASE_BACKOFF_MS * 2**attempt, _MAX_BACKOFF_MS)
        await self.clock.sleep(random.uniform(0, ceiling))

    async def _attempt_once(
        self,
    ) -> Result[AcceptedDocument, ApplyError] | None:
        """Return the outcome, or ``None`` if another attempt is needed."""
        read = await _read_catalogue(self.table)
        if read.is_error():
            self.last_error = read.error
            return None
        # Must follow the read of the catalogue: a late write of this change
        # that the catalogue already contains is then recognized here instead
        # of being reported as a conflict.
        resolved = await self._resolve_unconfirmed()
        if resolved.is_error():
            self.last_error = resolved.error
            return None
        if resolved.ok is not None:
            return Ok(resolved.ok)
        refusal = self._find_refusal(read.ok)
        if refusal is not None:
            return Error(refusal)
        return await self._write(self._next_version(read.ok))

    async def _resolve_unconfirmed(
        self,
    ) -> Result[AcceptedDocument | None, TableError]:
        """Return the document that an unconfirmed write stored, if any."""
        for revision in tuple(self.unconfirmed_revisions):
            answer = await self.table.get(layout.change_key(revision))
            if answer.is_error():
                return Error(answer.error)
            attributes = answer.ok
            if attributes is None:
                continue
            row = layout.decode_row(attributes)
            if row.token == self.token:
                return Ok(row.document)
            # Another change has this revision, so a late write cannot succeed.
            self.unconfirmed_revisions.discard(revision)
        return Ok(None)

    def _find_refusal(self, catalogue: _CatalogueState) -> ApplyError | None:
        """Return why the document cannot be accepted, or ``None``."""
        newest = catalogue.newest_of(self.document.service)
        version = newest.version if newest else 0
        if self.expected_version is None:
            self.expected_version = version
        if version != self.expected_version:
            return ApplyError(ApplyFault.CONFLICT, newest=newest)
        return self._find_blocking_service(catalogue)

    def _find_blocking_service(
        self, catalogue: _CatalogueState
    ) -> ApplyError | None:
        """Return an error if another service's document blocks this one.

        A document of another service that cannot be parsed was written by a
        newer release. The calls it matches are unknown, so no change is
        accepted.
        """
        overlaps: list[Overlap] = []
        for accepted in catalogue.documents:
            if accepted.service == self.document.service:
                continue
            other = read_document(accepted.text, accepted.service)
            if other.is_error():
                return ApplyError(ApplyFault.UNREADABLE, newest=accepted)
            overlaps.extend(find_overlaps(self.document, other.ok))
        if overlaps:
            return ApplyError(ApplyFault.OVERLAP, overlaps=tuple(overlaps))
        return None

    def _next_version(self, catalogue: _CatalogueState) -> AcceptedDocument:
        newest = catalogue.newest_of(self.document.service)
        return AcceptedDocument(
            service=self.document.service,
            version=newest.version + 1 if newest else 1,
            revision=catalogue.revision + 1,
            text=self.text,
            author=self.author,
            accepted_at=self.clock.wall(),
        )

    async def _write(
        self, accepted: AcceptedDocument
    ) -> Result[AcceptedDocument, ApplyError] | None:
        answer = await self.table.transact(_build_puts(accepted, self.token))
        if answer.is_ok():
            return Ok(accepted)
        self.last_error = answer.error
        if answer.error.fault is TableFault.UNKNOWN:
            self.unconfirmed_revisions.add(accepted.revision)
        return None

    def _build_error(self) -> ApplyError:
        detail = self.last_error.detail or self.last_error.fault
        if self.unconfirmed_revisions:
            revisions = tuple(sorted(self.unconfirmed_revisions))
            return ApplyError(
                ApplyFault.UNKNOWN,
                detail,
                revisions=revisions,
                token=self.token,
            )
        if self.last_error.fault is TableFault.CONFLICT:
            return ApplyError(ApplyFault.CONTENTION, detail)
        return ApplyError(ApplyFault.UNAVAILABLE, detail)


async def _read_catalogue(table: Table) -> Result[_CatalogueState, TableError]:
    """Read the head, then the documents, which may be newer.

    If they are newer, the condition on the head makes the write fail.
    """
    head = await read_head(table)
    if head.is_error():
        return Error(head.error)
    documents = await read_documents(table)
    if documents.is_error():
        return Error(documents.error)
    return Ok(_CatalogueState(head.ok, tuple(documents.ok)))


def _build_puts(accepted: AcceptedDocument, token: str) -> tuple[Put, ...]:
    row = layout.encode_row(layout.CatalogueRow(accepted, token))
    head = {layout.REVISION: accepted.revision}
    return (
        Put(
            layout.HEAD,
            head,
            _expect_previous(layout.REVISION, accepted.revision - 1),
        ),
        Put(
            layout.document_key(accepted.service),
            row,
            _expect_previous(layout.VERSION, accepted.version - 1),
        ),
        Put(
            layout.change_key(accepted.revision),
            row,
            (Condition(layout.TOKEN, None),),
        ),
    )


def _expect_previous(attribute: str, previous: int) -> tuple[Condition, ...]:
    """Return the condition that a counter still has its previous value.

    A previous value of 0 means that the row must not exist.
    """
    return (Condition(attribute, previous or None),)
