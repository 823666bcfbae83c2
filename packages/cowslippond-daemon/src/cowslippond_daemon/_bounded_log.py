"""Rate-limited logging to a pipe whose reader may be slow or gone.

The lines of a request are buffered until it has ended and are then written or
dropped together. Refused and failed requests take precedence: successful ones
have a lower rate limit of their own, so only some of them are written under
load. Dropped lines are counted by kind.
"""

import logging
import os
import select
from collections import Counter, OrderedDict

from cowslippond_core import Clock, Millis

#: Limits for all lines and, within that, for those of successful requests. At
#: these rates, logging takes 0.1 % of a small machine's processor.
LINES_PER_SECOND = 200
SUCCESS_LINES_PER_SECOND = 40

#: Longer lines are truncated: a pipe writes this many bytes atomically.
MAX_LINE_BYTES = 4000

_MAX_BUFFERED_REQUESTS = 256
_MAX_LINES_PER_REQUEST = 24
_MAX_PENDING_BYTES = 262_144
_SECOND: Millis = 1000

#: The messages that are the last of a request.
FINAL_MESSAGES = frozenset(
    (
        'call answered',
        'caller disconnected',
        'response truncated',
        'body of a call is not complete',
    )
)
_SUCCESS_OUTCOMES = frozenset(('answered',))
_FIRST_ERROR_STATUS = 500


class LineRateLimiter:
    """A token bucket for log lines.

    :param rate: lines per second, and the capacity of the bucket.
    :param clock: determines how many tokens are added.
    """

    def __init__(self, rate: int, clock: Clock) -> None:
        self.rate = rate
        self.clock = clock
        self.tokens: float = rate
        self.refilled_at = clock.now()

    def try_acquire(self, count: int) -> bool:
        """Take tokens for all the lines, or none if there are too few."""
        now = self.clock.now()
        gained = (now - self.refilled_at) / _SECOND * self.rate
        self.tokens = min(self.tokens + gained, self.rate)
        self.refilled_at = now
        if count > self.tokens:
            return False
        self.tokens -= count
        return True


class PipeWriter:
    """Writes lines to a file descriptor without blocking on its reader.

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
        """Write or queue a line; return ``False`` if it was dropped."""
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
        """Write queued lines until the pipe is full."""
        while self.pending and not self.is_closed and self._has_room():
            line = self.pending.pop(0)
            self.pending_bytes -= len(line)
            try:
                os.write(self.descriptor, line)
            except OSError:
                # The reader is gone, so this cannot be logged either.
                self.is_closed = True

    def _has_room(self) -> bool:
        events = self.poll.poll(0)
        return bool(events) and bool(events[0][1] & select.POLLOUT)


class RateLimitedHandler(logging.Handler):
    """Limits the rate of log lines, preferring failed requests.

    :param writer: writes the lines.
    :param clock: the clock of the rate limits.
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
        """Write a record, or buffer it until its request has ended."""
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
            record.name, logging.INFO, '', 0, 'log lines dropped', None, None
        )
        summary.left_out = dict(self.dropped)
        if self.writer.write(self._encode(summary)):
            self.dropped.clear()


def _is_success(record: logging.LogRecord) -> bool:
    if getattr(record, 'outcome', '') not in _SUCCESS_OUTCOMES:
        return False
    return int(getattr(record, 'status', 0)) < _FIRST_ERROR_STATUS
