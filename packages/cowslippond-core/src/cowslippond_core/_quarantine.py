"""Quarantine for requests that crash the upstreams that run them.

Calls that were running when an upstream crashed are suspects. A suspect that
is answered by any upstream is cleared; one that was running in a second crash
is refused for a time, by every daemon that hears of it.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._messages import CallRefusal, Outcome
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._suspects import (
    CrashMark,
    Suspect,
    add_mark,
    clear_marks,
    is_same_crash,
    last_change,
    merge_suspects,
    remove_mark,
)

_CRASH_LIMIT = 2
# Crashes that share no call are not caused by a call; from this many on, a
# call is refused whatever else crashes.
_CERTAIN_CRASHES = 6
_EXPLAINED_SHARE = 0.5
_CRASH_MARGIN_MS = 500
_CRASH_WINDOW_MS = 100
_FIRST_TERM_MS = 60_000
_LONGEST_TERM_MS = 600_000
_BUSY_RETRY_AFTER_MS = 1000
_MAX_SUSPECTS = 512
_MAX_CRASHES = 64
_MAX_ROWS = 32


class _Breakage(NamedTuple):
    """Breaks of connections that may yet turn out to be no crash."""

    mark: CrashMark
    noted_at: Millis
    fingerprints: set[str]


class Quarantine:
    """The requests that this daemon refuses because they crash upstreams.

    :param clock: the wall clock dates crashes for other daemons; the
        monotonic clock tells old connections from new.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.suspects: dict[str, Suspect] = {}
        self.crashes: deque[CrashMark] = deque(maxlen=_MAX_CRASHES)
        self.breakages: dict[str, _Breakage] = {}
        self.on_trial: set[str] = set()

    def check(self, fingerprint: str) -> CallRefusal | None:
        """Return why a call may not be sent now, or ``None``.

        To be asked before every send, repeated sends included.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.marks:
            return None
        wait = self._term_end(suspect) - self.clock.wall()
        if wait > 0:
            return _refuse(wait)
        if fingerprint in self.on_trial:
            return _refuse(_BUSY_RETRY_AFTER_MS)
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether calls of a fingerprint may be sent only one at a time.

        No copy of such a call may be sent beside it.
        """
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and bool(suspect.marks)

    def begin_trial(self, fingerprint: str) -> None:
        """Note that the one permitted call of a suspect is being sent."""
        self.on_trial.add(fingerprint)

    def end_trial(self, fingerprint: str) -> None:
        """Note that the call of a suspect has ended, however it ended."""
        self.on_trial.discard(fingerprint)

    def note_break(self, upstream: str, fingerprint: str) -> None:
        """Note that a connection broke under a call, with no answer.

        A timeout is no break, and neither is a connection refused.
        """
        now = self.clock.now()
        breakage = self.breakages.get(upstream)
        if breakage is None or now - breakage.noted_at > _CRASH_WINDOW_MS:
            mark = CrashMark(upstream, self.clock.wall())
            breakage = _Breakage(mark, now, set())
            self.breakages[upstream] = breakage
        breakage.fingerprints.add(fingerprint)
        self._mark(fingerprint, breakage.mark)

    def note_answer(
        self, upstream: str, fingerprint: str, connected_at: Millis
    ) -> None:
        """Note that an upstream ran a call and answered it.

        The call is cleared. If the connection is older than breaks noted of
        this upstream just before, then the upstream has not crashed.

        :param connected_at: when the connection was opened on the clock, in
            milliseconds.
        """
        if self.breakages:
            self._dismiss(upstream, connected_at)
        if not self.is_suspect(fingerprint):
            return
        suspect = self.suspects[fingerprint]
        self.suspects[fingerprint] = clear_marks(suspect, self.clock.wall())

    def record_crash(self, fingerprint: str, upstream: str) -> None:
        """Note that an upstream certainly crashed while it ran a call."""
        self._mark(fingerprint, CrashMark(upstream, self.clock.wall()))

    def rows(self) -> list[Suspect]:
        """Return the suspects that changed last, for other daemons."""
        newest = sorted(self.suspects.values(), key=last_change, reverse=True)
        return newest[:_MAX_ROWS]

    def merge(self, rows: Iterable[Suspect]) -> None:
        """Take over what another daemon knows."""
        for row in rows:
            for mark in row.marks:
                self._add_crash(mark)
            known = self.suspects.get(row.fingerprint, row)
            self.suspects[row.fingerprint] = merge_suspects(known, row)
        self._prune()

    def _mark(self, fingerprint: str, mark: CrashMark) -> None:
        self._add_crash(mark)
        known = self.suspects.get(fingerprint, Suspect(fingerprint))
        self.suspects[fingerprint] = add_mark(known, mark)
        self._prune()

    def _add_crash(self, mark: CrashMark) -> None:
        if any(is_same_crash(mark, known) for known in self.crashes):
            return
        self.crashes.append(mark)

    def _dismiss(self, upstream: str, connected_at: Millis) -> None:
        breakage = self.breakages.get(upstream)
        if breakage is None:
            return
        if self.clock.now() - breakage.noted_at > _CRASH_WINDOW_MS:
            self.breakages.pop(upstream)
            return
        if connected_at >= breakage.noted_at:
            return
        self.breakages.pop(upstream)
        for fingerprint in breakage.fingerprints:
            suspect = self.suspects.get(fingerprint)
            if suspect is not None:
                self.suspects[fingerprint] = remove_mark(suspect, breakage.mark)
        if breakage.mark in self.crashes:
            self.crashes.remove(breakage.mark)

    def _term_end(self, suspect: Suspect) -> int:
        """Return the end of the quarantine since the epoch, 0 if none."""
        count = len(suspect.marks)
        if count < _CRASH_LIMIT:
            return 0
        if count < _CERTAIN_CRASHES and not self._is_explanation(suspect):
            return 0
        term = _FIRST_TERM_MS << (count - _CRASH_LIMIT)
        return suspect.marks[-1].at + min(term, _LONGEST_TERM_MS)

    def _is_explanation(self, suspect: Suspect) -> bool:
        start = suspect.marks[0].at - _CRASH_MARGIN_MS
        end = suspect.marks[-1].at + _CRASH_MARGIN_MS
        around = sum(start <= crash.at <= end for crash in self.crashes)
        return len(suspect.marks) > around * _EXPLAINED_SHARE

    def _prune(self) -> None:
        if len(self.suspects) <= _MAX_SUSPECTS:
            return
        oldest = min(self.suspects.values(), key=last_change)
        self.suspects.pop(oldest.fingerprint)


def _refuse(wait: Millis) -> CallRefusal:
    return CallRefusal(Outcome.NOT_RUN, RefusalReason.QUARANTINED, wait)
