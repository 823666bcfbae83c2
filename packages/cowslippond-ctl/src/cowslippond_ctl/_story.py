"""The ``story`` command: collect the log lines about one request."""

import pathlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

import orjson
from rich.table import Table

from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import CommandOutcome, fail

# Fields that have their own column or are of no interest to an operator.
_HIDDEN_FIELDS = frozenset(('time', 'level', 'logger', 'message', 'request_id'))

# The logger of the lines about the era of the store.
_ERA_LOGGER = '_store_era"'


class LogLine(NamedTuple):
    """A log line of a daemon about one request.

    ``source`` is the VM name that a log collector put before the JSON object,
    or else the name of the log file. ``facts`` holds all fields of the line.
    """

    time: str
    source: str
    message: str
    facts: dict[str, Any]


def show_story(
    request_id: str, files: Sequence[pathlib.Path]
) -> CommandOutcome:
    """Return the lines about a request from all logs, sorted by time."""
    missing = [str(path) for path in files if not path.is_file()]
    if missing:
        names = ', '.join(missing)
        return fail(ExitCode.FAULTY, 'no_file', f'no such log: {names}')
    found = list(_find_lines(request_id, files))
    if not found:
        message = f'no line about request {request_id}'
        return fail(ExitCode.NOT_FOUND, 'not_found', message)
    found.extend(_find_eras(found, files))
    log_lines = sorted(found, key=_sort_key)
    record = {
        'request_id': request_id,
        'lines': [line._asdict() for line in log_lines],
    }
    return CommandOutcome(ExitCode.DONE, record, (_table_of(log_lines),))


def _sort_key(line: LogLine) -> tuple[str, str]:
    return line.time, line.source


def _find_lines(
    request_id: str, files: Iterable[pathlib.Path]
) -> Iterator[LogLine]:
    for path in files:
        with path.open(errors='replace') as lines:
            for line in lines:
                if request_id not in line:
                    continue
                parsed = _parse_line(line, path.name)
                if parsed and parsed.facts.get('request_id') == request_id:
                    yield parsed


def _find_eras(
    log_lines: Iterable[LogLine], files: Iterable[pathlib.Path]
) -> list[LogLine]:
    """Return the last line about the era of the store before the request ended.

    There is one for each VM in the story: the era that it knew. The lines of a
    log are in the order of their times.
    """
    ends = {line.source: line.time for line in sorted(log_lines, key=_sort_key)}
    latest: dict[str, LogLine] = {}
    for path in files:
        with path.open(errors='replace') as lines:
            for line in lines:
                if _ERA_LOGGER not in line:
                    continue
                parsed = _parse_line(line, path.name)
                if parsed and parsed.time <= ends.get(parsed.source, ''):
                    latest[parsed.source] = parsed
    return list(latest.values())


def _parse_line(line: str, file_name: str) -> LogLine | None:
    """Parse a JSON log line, possibly prefixed with the VM name."""
    prefix, brace, rest = line.partition('{')
    try:
        facts = orjson.loads(f'{brace}{rest}')
    except orjson.JSONDecodeError:
        return None
    words = prefix.split()
    source = words[-1] if words else file_name
    return LogLine(
        str(facts.get('time', '')),
        source,
        str(facts.get('message', '')),
        facts,
    )


def _table_of(log_lines: Iterable[LogLine]) -> Table:
    table = Table('time', 'vm', 'what', 'with')
    for line in log_lines:
        facts = ' '.join(
            f'{name}={fact}'
            for name, fact in line.facts.items()
            if name not in _HIDDEN_FIELDS
        )
        table.add_row(line.time, line.source, line.message, facts)
    return table
