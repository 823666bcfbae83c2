"""Faults of one part of the platform, with counters of their effects."""

import collections
import enum
from collections.abc import Mapping
from typing import Any

from cowslippond_core import Clock, Millis

ALL_ANSWERS = -1
_THROTTLE_WINDOW: Millis = 1000


class Outage(enum.StrEnum):
    """How a part fails before a request has any effect."""

    NONE = 'none'
    CUT = 'cut'
    ERROR = 'error'
    HANG = 'hang'


class LostAnswer(enum.StrEnum):
    """What happens to the connection when an answer is dropped."""

    CUT = 'cut'
    HANG = 'hang'


class Faults:
    """The active faults of one part of the platform, and its counters.

    ``delay_ms`` is added before each request, and ``stale_ms`` is the age of
    the state that reads return. ``drop_answers`` is the number of coming
    writes whose answers are dropped; ``ALL_ANSWERS`` drops every one.
    ``max_reads`` and ``max_writes`` are limits per second; zero means no
    limit.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counters: collections.Counter[str] = collections.Counter()
        self.clear()

    def clear(self) -> None:
        """Switch off every fault; counters keep their values."""
        self.outage = Outage.NONE
        self.delay_ms: Millis = 0
        self.stale_ms: Millis = 0
        self.drop_answers = 0
        self.lost_answer = LostAnswer.CUT
        self.max_reads = 0
        self.max_writes = 0
        self.window_end: Millis = 0
        self.window: collections.Counter[str] = collections.Counter()

    def change(self, command: Mapping[str, Any]) -> None:
        """Apply the faults of a control command; others stay as they are."""
        self.outage = Outage(command.get('outage', self.outage))
        self.delay_ms = command.get('delay_ms', self.delay_ms)
        self.stale_ms = command.get('stale_ms', self.stale_ms)
        self.drop_answers = command.get('drop_answers', self.drop_answers)
        lost = command.get('lost_answer', self.lost_answer)
        self.lost_answer = LostAnswer(lost)
        self.max_reads = command.get('max_reads', self.max_reads)
        self.max_writes = command.get('max_writes', self.max_writes)

    def consume_answer_drop(self) -> bool:
        """Return whether to drop the answer to a write that was applied.

        A drop is counted and, unless all are dropped, uses up one of
        ``drop_answers``.
        """
        if self.drop_answers == 0:
            return False
        if self.drop_answers != ALL_ANSWERS:
            self.drop_answers -= 1
        self.counters['answers_dropped'] += 1
        return True

    def throttle(self, kind: str) -> bool:
        """Count a request and return whether it exceeds the rate limit.

        :param kind: ``reads`` or ``writes``.
        """
        self.counters[kind] += 1
        now = self.clock.now()
        if now >= self.window_end:
            self.window.clear()
            self.window_end = now + _THROTTLE_WINDOW
        self.window[kind] += 1
        limit = self.max_reads if kind == 'reads' else self.max_writes
        is_above = 0 < limit < self.window[kind]
        if is_above:
            self.counters['throttled'] += 1
        return is_above

    def snapshot_time(self) -> Millis:
        """Return the time of the state that a read returns."""
        if self.stale_ms > 0:
            self.counters['stale_reads'] += 1
        return self.clock.now() - self.stale_ms
