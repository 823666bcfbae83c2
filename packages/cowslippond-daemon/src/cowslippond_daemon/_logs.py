"""Structured logs: one JSON object per line, or readable text."""

import logging
import sys

from cowslippond_core import Clock
from pythonjsonlogger.json import JsonFormatter

from cowslippond_daemon._bounded_log import PipeWriter, RateLimitedHandler

_TEXT_FORMAT = '%(asctime)s %(levelname)-7s %(name)s: %(message)s'
_JSON_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_QUIET_LOGGERS = ('uvicorn.error', 'uvicorn.access', 'httpcore')
# Suppressed: the edge logs truncated responses itself, with the request ID.
_INCOMPLETE_RESPONSE = 'ASGI callable returned without completing response.'
_STANDARD_FIELDS = frozenset(
    logging.LogRecord('', 0, '', 0, '', None, None).__dict__
) | {'message', 'asctime', 'taskName', 'color_message'}


class _TextFormatter(logging.Formatter):
    """Appends the extra fields of a record as ``name=text``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as text, with its traceback if it has one."""
        line = super().format(record)
        extras = [
            f'{name}={text}'
            for name, text in record.__dict__.items()
            if name not in _STANDARD_FIELDS
        ]
        return ' '.join([line, *extras])


def configure_logs(log_format: str, level: str) -> None:
    """Send all logs to standard error.

    :param log_format: ``json`` or ``text``.
    :param level: the lowest level to show, such as ``info``.
    """
    _install(logging.StreamHandler(sys.stderr), log_format, level)


def configure_bounded_logs(clock: Clock) -> None:
    """Send all logs to standard output, rate-limited and without blocking."""
    writer = PipeWriter(sys.stdout.fileno())
    _install(RateLimitedHandler(writer, clock), 'json', 'info')


def _install(output: logging.Handler, log_format: str, level: str) -> None:
    output.setFormatter(_make_formatter(log_format))
    root = logging.getLogger()
    root.handlers = [output]
    root.setLevel(level.upper())
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
    logging.getLogger('uvicorn.error').addFilter(
        lambda record: record.msg != _INCOMPLETE_RESPONSE
    )


def _make_formatter(log_format: str) -> logging.Formatter:
    if log_format == 'json':
        return JsonFormatter(
            _JSON_FORMAT,
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
            },
        )
    return _TextFormatter(_TEXT_FORMAT)
