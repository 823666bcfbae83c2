"""The ``show`` and ``history`` commands: accepted documents and changes."""

from cowslippond_core import (
    AcceptedDocument,
    CatalogueRow,
    Table,
    read_documents,
    read_newest_document,
)

from cowslippond_ctl._changes import find_changes, find_version
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import (
    CommandOutcome,
    fail,
    record_of,
    table_unreadable,
)
from cowslippond_ctl._times import format_time
from cowslippond_ctl._views import grid

_NOT_FOUND_FAULT = 'not_found'


async def list_services(table: Table) -> CommandOutcome:
    """List all services with their newest version."""
    answer = await read_documents(table)
    if answer.is_error():
        return table_unreadable(answer.error)
    record = {'services': [record_of(accepted) for accepted in answer.ok]}
    view = grid(
        ('service', 'version', 'revision', 'accepted', 'author'),
        (_cells_of(accepted) for accepted in answer.ok),
    )
    return CommandOutcome(ExitCode.DONE, record, [view])


async def show_newest(table: Table, service: str) -> CommandOutcome:
    """Show the newest document of a service, exactly as submitted."""
    answer = await read_newest_document(table, service)
    if answer.is_error():
        return table_unreadable(answer.error)
    if answer.ok is None:
        return not_found(service)
    return _text_outcome(answer.ok)


async def show_version(
    table: Table, service: str, version: int
) -> CommandOutcome:
    """Show one version of a service's document."""
    answer = await find_version(table, service, version)
    if answer.is_error():
        return table_unreadable(answer.error)
    if answer.ok is None:
        return not_found(f'{service} version {version}')
    return _text_outcome(answer.ok.document)


async def show_history(
    table: Table, service: str, limit: int
) -> CommandOutcome:
    """Show the latest changes of a service, newest first.

    :param limit: maximum number of changes to show.
    """
    answer = await find_changes(table, service, limit)
    if answer.is_error():
        return table_unreadable(answer.error)
    if not answer.ok:
        return not_found(service)
    record = {
        'changes': [
            {**record_of(row.document), 'token': row.token} for row in answer.ok
        ]
    }
    view = grid(
        ('version', 'revision', 'accepted', 'author', 'token'),
        (_change_cells(row) for row in answer.ok),
    )
    return CommandOutcome(ExitCode.DONE, record, [view])


def not_found(missing_name: str) -> CommandOutcome:
    """Return the outcome for a service or version that was never accepted."""
    message = (
        f'{missing_name} was never accepted; '
        '"cowslippondctl show" lists the services'
    )
    return fail(ExitCode.NOT_FOUND, _NOT_FOUND_FAULT, message)


def _text_outcome(accepted: AcceptedDocument) -> CommandOutcome:
    record = {**record_of(accepted), 'text': accepted.text}
    return CommandOutcome(
        ExitCode.DONE, record, [accepted.text.removesuffix('\n')]
    )


def _cells_of(accepted: AcceptedDocument) -> tuple[str, ...]:
    return (
        accepted.service,
        str(accepted.version),
        str(accepted.revision),
        format_time(accepted.accepted_at),
        accepted.author,
    )


def _change_cells(row: CatalogueRow) -> tuple[str, ...]:
    return (*_cells_of(row.document)[1:], row.token)
