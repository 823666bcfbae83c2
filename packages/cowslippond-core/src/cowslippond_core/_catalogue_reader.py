"""Read accepted service documents from the platform's table."""

from expression import Error, Ok, Result

from cowslippond_core._catalogue_layout import (
    CHANGES,
    DOCUMENTS,
    HEAD,
    REVISION,
    CatalogueRow,
    change_key,
    decode_row,
    document_key,
)
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._table import (
    Attributes,
    ItemKey,
    Table,
    TableError,
    TableFault,
)

# Maximum number of rows per query.
_PAGE_ROWS = 100


async def read_head(table: Table) -> Result[int, TableError]:
    """Return the newest revision, or 0 if no document was ever accepted."""
    answer = await table.get(HEAD)
    return answer.map(_decode_head)


async def read_changes(
    table: Table, after_revision: int, limit: int
) -> Result[list[AcceptedDocument], TableError]:
    """Return changes of all services in the order of their revisions.

    :param after_revision: only changes above this revision are returned.
    :param limit: the maximum number of changes to return.
    """
    rows = await read_change_rows(table, after_revision, limit)
    return rows.map(_extract_documents)


async def read_change_rows(
    table: Table, after_revision: int, limit: int
) -> Result[list[CatalogueRow], TableError]:
    """Return the same changes as :func:`read_changes`, with their tokens."""
    answer = await table.query(CHANGES, change_key(after_revision).sort, limit)
    return answer.bind(_decode_page)


async def read_documents(
    table: Table,
) -> Result[list[AcceptedDocument], TableError]:
    """Return the newest document of every service, read in pages.

    The pages are not a consistent snapshot: a document may be newer than a
    head that was read before.
    """
    documents: list[AcceptedDocument] = []
    after = ''
    while True:
        answer = await table.query(DOCUMENTS, after, _PAGE_ROWS)
        page = answer.bind(_decode_page).map(_extract_documents)
        if page.is_error():
            return page
        if not page.ok:
            return Ok(documents)
        documents.extend(page.ok)
        after = page.ok[-1].service


async def read_newest_document(
    table: Table, service: str
) -> Result[AcceptedDocument | None, TableError]:
    """Return the newest document of a service, or ``None`` if it has none."""
    answer = await table.get(document_key(service))
    return answer.bind(_decode_document)


def _decode_head(found: Attributes | None) -> int:
    return 0 if found is None else int(found[REVISION])


def _extract_documents(rows: list[CatalogueRow]) -> list[AcceptedDocument]:
    return [row.document for row in rows]


def _decode_document(
    found: Attributes | None,
) -> Result[AcceptedDocument | None, TableError]:
    if found is None:
        return Ok(None)
    decoded = _decode_row(found)
    if decoded.is_error():
        return Error(decoded.error)
    return Ok(decoded.ok.document)


def _decode_page(
    found: list[tuple[ItemKey, Attributes]],
) -> Result[list[CatalogueRow], TableError]:
    rows = []
    for _, attributes in found:
        decoded = _decode_row(attributes)
        if decoded.is_error():
            return Error(decoded.error)
        rows.append(decoded.ok)
    return Ok(rows)


def _decode_row(attributes: Attributes) -> Result[CatalogueRow, TableError]:
    try:
        return Ok(decode_row(attributes))
    except (KeyError, ValueError) as fault:
        detail = f'malformed row {attributes!r}: {fault!r}'
        return Error(TableError(TableFault.UNAVAILABLE, detail))
