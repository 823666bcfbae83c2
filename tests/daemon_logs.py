"""Shows what daemons have logged when a test fails."""

import pathlib

# Bounds on what is shown of each process. Lines of answered calls, which are
# most of a log, tell the least about a failure.
_MAX_LINES = 30
_MAX_LINE_LENGTH = 400
_ROUTINE = ('"outcome": "answered"', '"message": "call sent"')


def excerpt(log: pathlib.Path) -> str:
    """Return the last lines of a log without those of answered calls."""
    lines = [
        line[:_MAX_LINE_LENGTH]
        for line in log.read_text(errors='replace').splitlines()
        if not any(part in line for part in _ROUTINE)
    ]
    omitted = max(len(lines) - _MAX_LINES, 0)
    return '\n'.join(
        (f'{log}: {omitted} earlier lines omitted', *lines[omitted:])
    )


def excerpts(folder: pathlib.Path) -> str:
    """Return an excerpt of each log in the folder of a test."""
    return '\n'.join(excerpt(log) for log in sorted(folder.glob('*.log')))
