"""The outcome of a command, and its output as text or JSON."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypeAlias

import orjson
from cowslippond_core import AcceptedDocument, TableError
from rich.console import Console, RenderableType

from cowslippond_ctl._exit_codes import ExitCode

Record: TypeAlias = Mapping[str, Any]

_UNWRAPPED_COLUMNS = 1000
_STDERR_CODES = frozenset(
    (
        ExitCode.CONFLICT,
        ExitCode.UNAVAILABLE,
        ExitCode.UNKNOWN,
        ExitCode.NOT_FOUND,
    )
)


class CommandOutcome(NamedTuple):
    """The exit code and the output of a command.

    ``record`` is printed with ``--json``, ``views`` without it.
    """

    code: ExitCode
    record: Record
    views: Sequence[RenderableType] = ()


class AcceptedRecord(NamedTuple):
    """The JSON form of an accepted version, without the document text."""

    service: str
    version: int
    revision: int
    author: str
    accepted_at_ms: int


def record_of(accepted: AcceptedDocument) -> Record:
    """Return the JSON form of an accepted version, without its text."""
    return AcceptedRecord(
        service=accepted.service,
        version=accepted.version,
        revision=accepted.revision,
        author=accepted.author,
        accepted_at_ms=accepted.accepted_at,
    )._asdict()


def fail(code: ExitCode, fault: str, message: str) -> CommandOutcome:
    """Return the outcome of a command that failed.

    :param fault: a fixed word that scripts can match.
    :param message: what went wrong and how to proceed, for the operator.
    """
    return CommandOutcome(
        code, {'fault': fault, 'message': message}, (message,)
    )


def describe_error(error: TableError) -> str:
    """Return a description of a table error, which is never empty.

    The ``status`` command takes an empty one for the absence of an error.
    """
    return error.detail or f'it answered nothing ({error.fault})'


def table_unreadable(error: TableError) -> CommandOutcome:
    """Return the outcome of a command that could not read the table."""
    detail = describe_error(error)
    message = f'the platform table cannot be read: {detail}'
    return fail(ExitCode.UNAVAILABLE, 'unavailable', message)


def print_outcome(outcome: CommandOutcome, *, is_json: bool) -> None:
    """Print an outcome as text or JSON.

    The messages of a failed command go to standard error. JSON always goes to
    standard output.

    :param is_json: print the record as a single line of JSON.
    """
    if is_json:
        line = orjson.dumps(outcome.record).decode()
        sys.stdout.write(f'{line}\n')
        return
    console = _console_for(outcome.code)
    for view in outcome.views:
        if isinstance(view, str):
            # Bypasses the console, which would expand tabs, emoji and markup.
            console.file.write(f'{view}\n')
            continue
        console.print(view, soft_wrap=True)


def _console_for(code: ExitCode) -> Console:
    stream = sys.stderr if code in _STDERR_CODES else sys.stdout
    # Wraps lines only on a terminal, so that scripts get unbroken cells.
    width = None if stream.isatty() else _UNWRAPPED_COLUMNS
    return Console(file=stream, width=width)
