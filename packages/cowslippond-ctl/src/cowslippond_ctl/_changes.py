"""Search the change history of the platform table for one service."""

from cowslippond_core import (
    CatalogueRow,
    Table,
    TableError,
    read_change_rows,
    read_head,
)
from expression import Error, Ok, Result

# The history is searched backwards in windows of this many revisions. The
# revisions of all services count, as they share one sequence.
_WINDOW_REVISIONS = 200


async def find_changes(
    table: Table, service: str, limit: int
) -> Result[list[CatalogueRow], TableError]:
    """Return the latest changes of a service, newest first.

    :param limit: maximum number of changes to return.
    """
    head = await read_head(table)
    if head.is_error():
        return Error(head.error)
    matching_rows: list[CatalogueRow] = []
    upper = head.ok
    while upper > 0 and len(matching_rows) < limit:
        lower = max(upper - _WINDOW_REVISIONS, 0)
        window = await _read_window(table, lower, upper)
        if window.is_error():
            return Error(window.error)
        matching_rows.extend(
            row
            for row in reversed(window.ok)
            if row.document.service == service
        )
        upper = lower
    return Ok(matching_rows[:limit])


async def find_version(
    table: Table, service: str, version: int
) -> Result[CatalogueRow | None, TableError]:
    """Return one version of a service, or ``None`` if it does not exist."""
    newest = await find_changes(table, service, 1)
    if newest.is_error():
        return Error(newest.error)
    if not newest.ok or newest.ok[0].document.version < version:
        return Ok(None)
    count = newest.ok[0].document.version - version + 1
    changes = await find_changes(table, service, count)
    if changes.is_error():
        return Error(changes.error)
    for row in changes.ok:
        if row.document.version == version:
            return Ok(row)
    return Ok(None)


async def _read_window(
    table: Table, lower: int, upper: int
) -> Result[list[CatalogueRow], TableError]:
    """Return all changes from revision ``lower`` (exclusive) to ``upper``.

    Reads page by page, as the table may return fewer rows than requested.
    """
    rows: list[CatalogueRow] = []
    after = lower
    while after < upper:
        page = await read_change_rows(table, after, upper - after)
        if page.is_error():
            return Error(page.error)
        if not page.ok:
            break
        rows.extend(page.ok)
        after = page.ok[-1].document.revision
    return Ok(rows)
