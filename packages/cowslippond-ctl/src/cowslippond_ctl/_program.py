"""The command line of the operator tool."""

import contextlib
import getpass
import pathlib
import sys
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import defopt
from cowslippond_core import Clock, DynamoTable, Table

from cowslippond_ctl._apply import DocumentApplier
from cowslippond_ctl._check import check_files, findings_outcome
from cowslippond_ctl._diff import diff_file, diff_versions
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._fields import FieldSubject, show_fields
from cowslippond_ctl._history import (
    list_services,
    show_history,
    show_newest,
    show_version,
)
from cowslippond_ctl._outcome import Outcome, fail, print_outcome
from cowslippond_ctl._platform import PlatformSettings, read_platform_settings
from cowslippond_ctl._status import StatusReader
from cowslippond_ctl._story import show_story

_INTERRUPTED_MESSAGE = (
    'interrupted; a change that was being applied may have been accepted, '
    'see "cowslippondctl history SERVICE"\n'
)
_MILLIS_PER_SECOND = 1000
_DEFAULT_HISTORY_LIMIT = 20
_MAX_AUTHOR_CHARS = 128


def main() -> None:
    """Run the ``cowslippondctl`` command."""
    try:
        code = defopt.run(
            [check, apply, show, history, status, diff, fields, story],
            argparse_kwargs={
                'prog': 'cowslippondctl',
                'description': 'Change and watch services.',
            },
        )
    except KeyboardInterrupt:
        sys.stderr.write(_INTERRUPTED_MESSAGE)
        code = ExitCode.INTERRUPTED
    sys.exit(int(code))


def check(*files: pathlib.Path, json: bool = False) -> int:
    """Check service documents without sending them.

    Exits with 0 if they are valid, and with 2 if there are findings.

    :param files: the documents, JSON with comments.
    :param json: print one JSON object.
    """
    return _finish(check_files(files), is_json=json)


def apply(
    *files: pathlib.Path,
    author: str = '',
    expected_version: int | None = None,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Make new versions of service documents accepted.

    Exits with 0 if they are accepted, 2 for findings, 3 if another change or
    service is in the way, 4 if the platform cannot be reached and nothing
    changed, 5 if it is not known whether the change was accepted.

    :param files: the documents, JSON with comments.
    :param author: who makes the change, for the history; by default the user.
    :param expected_version: refuse the change if the newest version is
        another one; 0 for a new service.
    :param platform: file that names the platform's services; by default the
        one that the environment variable COWSLIPPOND_PLATFORM names.
    :param json: print one JSON object.
    """
    if expected_version is not None and len(files) != 1:
        message = '--expected-version takes exactly one file'
        outcome = fail(ExitCode.FAULTY, 'command_line', message)
        return _finish(outcome, is_json=json)
    author_name = author or getpass.getuser()
    if not author_name.isprintable() or len(author_name) > _MAX_AUTHOR_CHARS:
        message = f'--author takes at most {_MAX_AUTHOR_CHARS} characters'
        outcome = fail(ExitCode.FAULTY, 'command_line', message)
        return _finish(outcome, is_json=json)
    run = partial(_apply, files, author_name, expected_version)
    return _run(run, platform, is_json=json)


def show(
    service: str = '',
    version: int = 0,
    *,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show the accepted services, or the document of one.

    Exits with 0, with 4 if the platform cannot be reached, and with 7 if
    there is no such document.

    :param service: name of the service; without it all are listed.
    :param version: the version to show; 0 is the newest.
    :param platform: file that names the platform's services; by default the
        one that the environment variable COWSLIPPOND_PLATFORM names.
    :param json: print one JSON object.
    """
    run = partial(_show, service, version)
    return _run(run, platform, is_json=json)


def history(
    service: str,
    *,
    limit: int = _DEFAULT_HISTORY_LIMIT,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show who changed a service, newest first.

    Exits with 0, with 4 if the platform cannot be reached, and with 7 if
    there is no such service.

    :param service: name of the service.
    :param limit: the most changes to show.
    :param platform: file that names the platform's services; by default the
        one that the environment variable COWSLIPPOND_PLATFORM names.
    :param json: print one JSON object.
    """
    return _run(partial(_history, service, limit), platform, is_json=json)


def status(
    *,
    wait: float = 0,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show which versions the daemons have in force, and who lags.

    Exits with 0 if the newest versions are in force everywhere, with 6 if
    they are not, and with 4 if the platform cannot be reached.

    :param wait: seconds to wait until they are in force everywhere.
    :param platform: file that names the platform's services; by default the
        one that the environment variable COWSLIPPOND_PLATFORM names.
    :param json: print one JSON object.
    """
    return _run(partial(_status, wait), platform, is_json=json)


def diff(
    target: str,
    first: int = 0,
    second: int = 0,
    *,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Compare a file with the newest version, or two versions of a service.

    Exits with 0, with 2 for findings in the file, with 4 if the platform
    cannot be reached, and with 7 if there is no such version.

    :param target: a document, or the name of a service if versions follow.
    :param first: the older version.
    :param second: the newer version.
    :param platform: file that names the platform's services; by default the
        one that the environment variable COWSLIPPOND_PLATFORM names.
    :param json: print one JSON object.
    """
    if bool(first) != bool(second):
        message = 'name both versions, or none to compare a file'
        outcome = fail(ExitCode.FAULTY, 'command_line', message)
        return _finish(outcome, is_json=json)
    return _run(partial(_diff, target, first, second), platform, is_json=json)


def fields(
    subject: FieldSubject = 'document',
    *,
    markdown: bool = False,
    json: bool = False,
) -> int:
    """Show every field with its form, default and meaning.

    :param subject: the kind of file.
    :param markdown: print the table as it stands in the documentation.
    :param json: print one JSON object.
    """
    outcome = show_fields(subject, is_markdown=markdown)
    return _finish(outcome, is_json=json)


def story(request_id: str, *files: pathlib.Path, json: bool = False) -> int:
    """Show what the logs of daemons say of one request.

    Exits with 0 if there is a line about it, and with 7 if there is none.

    :param request_id: as the caller sent it.
    :param files: logs of one or more daemons.
    :param json: print one JSON object.
    """
    return _finish(show_story(request_id, files), is_json=json)


async def _apply(
    files: tuple[pathlib.Path, ...],
    author: str,
    expected_version: int | None,
    table: Table,
    platform_settings: PlatformSettings,
) -> Outcome:
    change = DocumentApplier(table, Clock(), author, expected_version)
    return await change.apply(files)


async def _show(
    service: str,
    version: int,
    table: Table,
    platform_settings: PlatformSettings,
) -> Outcome:
    if not service:
        return await list_services(table)
    if version:
        return await show_version(table, service, version)
    return await show_newest(table, service)


async def _history(
    service: str, limit: int, table: Table, platform_settings: PlatformSettings
) -> Outcome:
    return await show_history(table, service, limit)


async def _status(
    wait: float, table: Table, platform_settings: PlatformSettings
) -> Outcome:
    reader = StatusReader(
        table,
        platform_settings.vm_list_url,
        platform_settings.timeout_ms,
        Clock(),
    )
    return await reader.read(wait * _MILLIS_PER_SECOND)


async def _diff(
    target: str,
    first: int,
    second: int,
    table: Table,
    platform_settings: PlatformSettings,
) -> Outcome:
    if first:
        return await diff_versions(table, target, first, second)
    return await diff_file(table, pathlib.Path(target))


def _run(
    command: Callable[[Table, PlatformSettings], Awaitable[Outcome]],
    platform: pathlib.Path | None,
    *,
    is_json: bool,
) -> int:
    platform_settings = read_platform_settings(platform)
    if platform_settings.is_error():
        return _finish(
            findings_outcome(platform_settings.error), is_json=is_json
        )
    outcome = anyio.run(_run_on_platform, command, platform_settings.ok)
    return _finish(outcome, is_json=is_json)


async def _run_on_platform(
    command: Callable[[Table, PlatformSettings], Awaitable[Outcome]],
    platform_settings: PlatformSettings,
) -> Outcome:
    table = DynamoTable(
        platform_settings.table_url,
        platform_settings.table_name,
        platform_settings.timeout_ms,
    )
    async with contextlib.aclosing(table.client):
        return await command(table, platform_settings)


def _finish(outcome: Outcome, *, is_json: bool) -> int:
    print_outcome(outcome, is_json=is_json)
    return int(outcome.code)
