"""Log lines to a pipe that may be slow or gone, in bounded number.

The lines of one request are kept until it has its answer. The whole story of a
request that was refused or failed goes out before those of good ones, of which
only a part is written under load. What is left out is counted by kind.
"""

import logging
import os
import select
from collections import Counter, OrderedDict

from cowslippond_core import Clock, Millis

#: Lines a second, and those of them for requests that were answered well: a
#: tenth of a percent of a small machine's processor.
LINES_PER_SECOND = 200
SUCCESS_LINES_PER_SECOND = 40

#: A longer line is cut: a pipe takes this much at once or not at all, in bytes.
MAX_LINE_BYTES = 4000

_MAX_BUFFERED_REQUESTS = 256
_MAX_LINES_PER_REQUEST = 24
_MAX_PENDING_BYTES = 262_144
_SECOND: Millis = 1000

#: The messages that end the story of a request.
FINAL_MESSAGES = frozenset(('call answered', 'caller left', 'answer broke off'))
_SUCCESS_OUTCOMES = frozenset(('answered',))
_FIRST_ERROR_STATUS = 500


class LineRateLimiter:
    """A token bucket of lines.

    :param rate: lines a second; as many may be saved up.
    :param clock: the clock of the filling.
    """

    def __init__(self, rate: int, clock: Clock) -> None:
        self.rate = rate
        self.clock = clock
        self.tokens: float = rate
        self.refilled_at = clock.now()

    def try_acquire(self, count: int) -> bool:
        """Take lines, or none if there aren't as many."""
        now = self.clock.now()
        gained = (now - self.refilled_at) / _SECOND * self.rate
        self.tokens = min(self.tokens + gained, self.rate)
        self.refilled_at = now
        if count > self.tokens:
            return False
        self.tokens -= count
        return True


class PipeWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    :param descriptor: of a pipe or a file.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.is_closed = False
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, line: bytes) -> bool:
        """Write a line now or with the next one; return whether it is kept."""
        if (
            self.is_closed
            or self.pending_bytes + len(line) > _MAX_PENDING_BYTES
        ):
            self.flush()
        if (
            self.is_closed
            or self.pending_bytes + len(line) > _MAX_PENDING_BYTES
        ):
            return False
        self.pending.append(line)
        self.pending_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the reader has room for."""
        while self.pending and not self.is_closed and self._has_room():
            line = self.pending.pop(0)
            self.pending_bytes -= len(line)
            try:
                os.write(self.descriptor, line)
            except OSError:
                # Without a reader there is nobody left to tell.
                self.is_closed = True

    def _has_room(self) -> bool:
        events = self.poll.poll(0)
        return bool(events) and bool(events[0][1] & select.POLLOUT)


class RateLimitedHandler(logging.Handler):
    """Writes records within a budget, whole stories of failures first.

    :param writer: takes the lines.
    :param clock: the clock of the budgets.
    """

    def __init__(self, writer: PipeWriter, clock: Clock) -> None:
        super().__init__()
        self.writer = writer
        self.clock = clock
        self.total_limiter = LineRateLimiter(LINES_PER_SECOND, clock)
        self.success_limiter = LineRateLimiter(SUCCESS_LINES_PER_SECOND, clock)
        self.buffered_lines: OrderedDict[str, list[bytes]] = OrderedDict()
        self.dropped: Counter[str] = Counter()
        self.reported_at = clock.now()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it with the story of its request."""
        line = self._encode(record)
        request_id = getattr(record, 'request_id', None)
        if request_id is None:
            self._write_lines([line], record.msg)
        else:
            self._buffer_line(str(request_id), record, line)
        self._report_dropped(record)

    def _encode(self, record: logging.LogRecord) -> bytes:
        line = self.format(record).encode('utf-8', 'replace')
        return b'%b\n' % line[:MAX_LINE_BYTES]

    def _buffer_line(
        self, request_id: str, record: logging.LogRecord, line: bytes
    ) -> None:
        lines = self.buffered_lines.setdefault(request_id, [])
        if len(lines) < _MAX_LINES_PER_REQUEST:
            lines.append(line)
        else:
            self.dropped[record.msg] += 1
        if record.msg in FINAL_MESSAGES:
            self.buffered_lines.pop(request_id)
            self._finish_request(lines, record)
        elif len(self.buffered_lines) > _MAX_BUFFERED_REQUESTS:
            _, oldest = self.buffered_lines.popitem(last=False)
            self._write_lines(oldest, 'request under way')

    def _finish_request(
        self, lines: list[bytes], record: logging.LogRecord
    ) -> None:
        if _is_success(record) and not self.success_limiter.try_acquire(
            len(lines)
        ):
            self.dropped['good request'] += len(lines)
            return
        self._write_lines(lines, 'request')

    def _write_lines(self, lines: list[bytes], kind: str) -> None:
        if not self.total_limiter.try_acquire(len(lines)):
            self.dropped[kind] += len(lines)
            return
        for line in lines:
            if not self.writer.write(line):
                self.dropped[kind] += 1

    def _report_dropped(self, record: logging.LogRecord) -> None:
        now = self.clock.now()
        if not self.dropped or now - self.reported_at < _SECOND:
            return
        self.reported_at = now
        summary = logging.LogRecord(
            record.name, logging.INFO, '', 0, 'lines left out', None, None
        )
        summary.left_out = dict(self.dropped)
        if self.writer.write(self._encode(summary)):
            self.dropped.clear()


def _is_success(record: logging.LogRecord) -> bool:
    if getattr(record, 'outcome', '') not in _SUCCESS_OUTCOMES:
        return False
    return int(getattr(record, 'status', 0)) < _FIRST_ERROR_STATUS
