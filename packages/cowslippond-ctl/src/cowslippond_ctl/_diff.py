"""The ``diff`` command: compare documents with accepted versions."""

import difflib
import pathlib

from cowslippond_core import (
    Table,
    read_newest_document,
    read_text_file,
)

from cowslippond_ctl._changes import find_version
from cowslippond_ctl._check import findings_outcome, read_document_file
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._history import not_found
from cowslippond_ctl._outcome import CommandOutcome, table_unreadable


async def diff_file(table: Table, path: pathlib.Path) -> CommandOutcome:
    """Compare a file with the newest accepted version of its service."""
    document = read_document_file(path)
    if document.is_error():
        return findings_outcome(document.error)
    service = document.ok.service
    answer = await read_newest_document(table, service)
    if answer.is_error():
        return table_unreadable(answer.error)
    text = read_text_file(path).default_value('')
    if answer.ok is None:
        return _compare('', text, f'{service} (none accepted)', str(path))
    accepted = answer.ok
    name = f'{service} version {accepted.version}'
    return _compare(accepted.text, text, name, str(path))


async def diff_versions(
    table: Table, service: str, first: int, second: int
) -> CommandOutcome:
    """Compare two accepted versions of a service."""
    texts = []
    names = []
    for version in (first, second):
        name = f'{service} version {version}'
        answer = await find_version(table, service, version)
        if answer.is_error():
            return table_unreadable(answer.error)
        if answer.ok is None:
            return not_found(name)
        texts.append(answer.ok.document.text)
        names.append(name)
    return _compare(texts[0], texts[1], names[0], names[1])


def _compare(
    old: str, new: str, old_name: str, new_name: str
) -> CommandOutcome:
    lines = list(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            old_name,
            new_name,
            lineterm='',
        )
    )
    record = {'from': old_name, 'to': new_name, 'diff': lines}
    return CommandOutcome(ExitCode.DONE, record, lines or ['no difference'])
