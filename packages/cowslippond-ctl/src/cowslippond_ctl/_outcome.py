"""What a command found, for people and for scripts."""

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


class Outcome(NamedTuple):
    """The outcome of a command.

    ``record`` is printed by ``--json``, ``views`` are printed otherwise.
    """

    code: ExitCode
    record: Record
    views: Sequence[RenderableType] = ()


class AcceptedRecord(NamedTuple):
    """An accepted version without its text, as scripts see it."""

    service: str
    version: int
    revision: int
    author: str
    accepted_at_ms: int


def record_of(accepted: AcceptedDocument) -> Record:
    """Return an accepted version without its text, for scripts."""
    return AcceptedRecord(
        service=accepted.service,
        version=accepted.version,
        revision=accepted.revision,
        author=accepted.author,
        accepted_at_ms=accepted.accepted_at,
    )._asdict()


def fail(code: ExitCode, fault: str, message: str) -> Outcome:
    """Return the outcome of a command that failed.

    :param fault: one word for scripts.
    :param message: what happened and what to do, for people.
    """
    return Outcome(code, {'fault': fault, 'message': message}, (message,))


def describe_error(error: TableError) -> str:
    """Return what is known of a failed call to the table, never empty."""
    return error.detail or f'it answered nothing ({error.fault})'


def table_unreadable(error: TableError) -> Outcome:
    """Return the outcome of a reading that the table did not answer."""
    detail = describe_error(error)
    message = f'the platform table cannot be read: {detail}'
    return fail(ExitCode.UNAVAILABLE, 'unavailable', message)


def print_outcome(outcome: Outcome, *, is_json: bool) -> None:
    """Print an outcome; messages of a failed command go to standard error.

    :param is_json: print the record as one line of JSON.
    """
    if is_json:
        line = orjson.dumps(outcome.record).decode()
        sys.stdout.write(f'{line}\n')
        return
    console = _console_for(outcome.code)
    for view in outcome.views:
        if isinstance(view, str):
            # Text goes out as it is; a console would expand tabs and more.
            console.file.write(f'{view}\n')
            continue
        console.print(view, soft_wrap=True)


def _console_for(code: ExitCode) -> Console:
    stream = sys.stderr if code in _STDERR_CODES else sys.stdout
    # Lines are wrapped for a terminal only, so that scripts see whole cells.
    width = None if stream.isatty() else _UNWRAPPED_COLUMNS
    return Console(file=stream, width=width)
