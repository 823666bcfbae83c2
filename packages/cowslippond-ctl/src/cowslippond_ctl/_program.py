"""The command-line interface of the operator tool."""

import contextlib
import getpass
import pathlib
import sys
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import defopt
from cowslippond_core import Clock, DynamoTable, Millis, Table

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
from cowslippond_ctl._outcome import CommandOutcome, fail, print_outcome
from cowslippond_ctl._platform import (
    CtlPlatformSettings,
    read_platform_settings,
)
from cowslippond_ctl._status import StatusReader
from cowslippond_ctl._story import show_story
from cowslippond_ctl._workspaces import show_workspaces

_INTERRUPTED_MESSAGE = (
    'interrupted; a change that was being applied may have been accepted, '
    'see "cowslippondctl history SERVICE"\n'
)
_MILLIS_PER_SECOND = 1000
_STATUS_TIMEOUT: Millis = 2000
_DEFAULT_HISTORY_LIMIT = 20
_MAX_AUTHOR_CHARS = 128


def main() -> None:
    """Run the ``cowslippondctl`` command."""
    try:
        code = defopt.run(
            [check, apply, show, history, status, diff, fields, story],
            argparse_kwargs={
                'prog': 'cowslippondctl',
                'description': 'Change services and check what is in force.',
            },
        )
    except KeyboardInterrupt:
        sys.stderr.write(_INTERRUPTED_MESSAGE)
        code = ExitCode.INTERRUPTED
    sys.exit(int(code))


def check(*files: pathlib.Path, json: bool = False) -> int:
    """Validate service documents without submitting them.

    Exits with 0 if all are valid, and with 2 if there are findings.

    :param files: the documents, in JSON with comments.
    :param json: print a single JSON object instead of text.
    """
    return _finish(check_files(files), is_json=json)


def apply(
    *files: pathlib.Path,
    author: str = '',
    expected_version: int | None = None,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Submit new versions of service documents for acceptance.

    Exits with 0 if all were accepted, 2 if there are findings, 3 if a document
    conflicts with another change or service, 4 if the platform cannot be
    reached and the document was not accepted, and 5 if it is unknown whether
    the document was accepted.

    :param files: the documents, in JSON with comments.
    :param author: author to record in the history; by default the current
        user.
    :param expected_version: refuse the change unless this is the newest
        version; 0 for a new service.
    :param platform: platform settings file; by default the path in the
        environment variable COWSLIPPOND_PLATFORM.
    :param json: print a single JSON object instead of text.
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
    """List the accepted services, or show the document of one service.

    Exits with 0 on success, 4 if the platform cannot be reached, and 7 if
    there is no such document.

    :param service: name of the service; if omitted, all services are listed.
    :param version: version to show; 0 for the newest.
    :param platform: platform settings file; by default the path in the
        environment variable COWSLIPPOND_PLATFORM.
    :param json: print a single JSON object instead of text.
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
    """Show the changes of a service and their authors, newest first.

    Exits with 0 on success, 4 if the platform cannot be reached, and 7 if
    there is no such service.

    :param service: name of the service.
    :param limit: maximum number of changes to show.
    :param platform: platform settings file; by default the path in the
        environment variable COWSLIPPOND_PLATFORM.
    :param json: print a single JSON object instead of text.
    """
    return _run(partial(_history, service, limit), platform, is_json=json)


def status(
    *,
    wait: float = 0,
    daemon: list[str] | None = None,
    platform: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show which versions daemons have in force, and which daemons lag.

    With addresses of daemons, show the limit, the demand, and the admitted and
    refused calls of each workspace, and the evacuated failure domains.

    Exits with 0 if the newest versions are in force everywhere, 6 if they are
    not, and 4 if the platform cannot be reached.

    :param wait: maximum time in seconds to wait until the newest versions are
        in force everywhere.
    :param daemon: admin addresses of daemons of the users' platform, as
        ip:port; the platform settings file is then not used.
    :param platform: platform settings file; by default the path in the
        environment variable COWSLIPPOND_PLATFORM.
    :param json: print a single JSON object instead of text.
    """
    if daemon:
        outcome = anyio.run(show_workspaces, daemon, _STATUS_TIMEOUT)
        return _finish(outcome, is_json=json)
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

    Exits with 0 on success, 2 if there are findings in the file, 4 if the
    platform cannot be reached, and 7 if there is no such version.

    :param target: path of a document; with two versions, name of a service.
    :param first: the older version to compare.
    :param second: the newer version to compare.
    :param platform: platform settings file; by default the path in the
        environment variable COWSLIPPOND_PLATFORM.
    :param json: print a single JSON object instead of text.
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
    """List the fields of a kind of file, with form, default and meaning.

    :param subject: the kind of file.
    :param markdown: print the Markdown table used in the documentation.
    :param json: print a single JSON object instead of text.
    """
    outcome = show_fields(subject, is_markdown=markdown)
    return _finish(outcome, is_json=json)


def story(request_id: str, *files: pathlib.Path, json: bool = False) -> int:
    """Show the log lines about one request from the logs of several daemons.

    Exits with 0 if there is at least one line, 2 if a log does not exist, and
    7 if there is no line.

    :param request_id: request ID as sent by the caller.
    :param files: log files of one or more daemons.
    :param json: print a single JSON object instead of text.
    """
    return _finish(show_story(request_id, files), is_json=json)


async def _apply(
    files: tuple[pathlib.Path, ...],
    author: str,
    expected_version: int | None,
    table: Table,
    platform_settings: CtlPlatformSettings,
) -> CommandOutcome:
    applier = DocumentApplier(table, Clock(), author, expected_version)
    return await applier.apply(files)


async def _show(
    service: str,
    version: int,
    table: Table,
    platform_settings: CtlPlatformSettings,
) -> CommandOutcome:
    if not service:
        return await list_services(table)
    if version:
        return await show_version(table, service, version)
    return await show_newest(table, service)


async def _history(
    service: str,
    limit: int,
    table: Table,
    platform_settings: CtlPlatformSettings,
) -> CommandOutcome:
    return await show_history(table, service, limit)


async def _status(
    wait: float, table: Table, platform_settings: CtlPlatformSettings
) -> CommandOutcome:
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
    platform_settings: CtlPlatformSettings,
) -> CommandOutcome:
    if first:
        return await diff_versions(table, target, first, second)
    return await diff_file(table, pathlib.Path(target))


def _run(
    command: Callable[[Table, CtlPlatformSettings], Awaitable[CommandOutcome]],
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
    command: Callable[[Table, CtlPlatformSettings], Awaitable[CommandOutcome]],
    platform_settings: CtlPlatformSettings,
) -> CommandOutcome:
    table = DynamoTable(
        platform_settings.table_url,
        platform_settings.table_name,
        platform_settings.timeout_ms,
    )
    async with contextlib.aclosing(table.client):
        return await command(table, platform_settings)


def _finish(outcome: CommandOutcome, *, is_json: bool) -> int:
    print_outcome(outcome, is_json=is_json)
    return int(outcome.code)
