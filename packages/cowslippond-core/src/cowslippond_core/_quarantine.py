"""Quarantine for requests that crash the upstreams that run them.

Calls that were running when an upstream crashed are suspects. A suspect that
is answered by any upstream is cleared; one that was running in a second crash
is refused for a time, by every daemon that hears of it.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple
from weakref import WeakValueDictionary

import anyio

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._crash_log import CrashLog
from cowslippond_core._messages import CallRefusal, Outcome
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._suspects import (
    CrashMark,
    Suspect,
    SuspectUpdate,
    SuspectUpdateKind,
    add_mark,
    clear_marks,
    is_proven,
    remove_mark,
)

# From this many crashes on, a call is refused whatever else crashes.
_CONCLUSIVE_CRASHES = 6
_CRASH_WINDOW_MS = 100
_MIN_TERM_MS = 60_000
_FIRST_TERM_CRASHES = 2
_MAX_TERM_MS = 600_000
_MAX_SUSPECTS = 512
_MAX_REPORTED = 16


class _PossibleCrash(NamedTuple):
    """Breaks of connections that may yet turn out to be no crash."""

    mark: CrashMark
    recorded_at: Millis
    fingerprints: set[str]


class Quarantine:
    """The requests that this daemon refuses because they crash upstreams.

    ``listeners`` are told what this daemon finds out by itself; ``push_news``
    waits a short time until the other daemons know it.

    :param clock: its wall clock dates crashes for other daemons, its
        monotonic one tells old connections from new.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.suspects: dict[str, Suspect] = {}
        self.crashes = CrashLog()
        self.possible_crashes: dict[str, _PossibleCrash] = {}
        self.send_locks: WeakValueDictionary[str, anyio.Lock] = (
            WeakValueDictionary()
        )
        self.listeners: list[Callable[[SuspectUpdate], None]] = []
        self.push_updates: Callable[[], Awaitable[None]] = _skip_push

    def check(self, fingerprint: str) -> CallRefusal | None:
        """Return why a call may not be sent now, or ``None``.

        To be asked before every send, repeated sends included.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not is_proven(suspect):
            return None
        wait = self._term_end(suspect) - self.clock.wall()
        if wait <= 0:
            return None
        return CallRefusal(Outcome.NOT_RUN, RefusalReason.QUARANTINED, wait)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether calls of a fingerprint may be sent only one at a time.

        No copy of such a call may be sent beside it.
        """
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and bool(suspect.marks)

    def upstreams_broken_by(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that broke under calls of a fingerprint.

        A second break of one that was just started again is taken for the
        first one seen twice, so it would prove nothing against the call.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(mark.upstream for mark in suspect.marks)

    def send_lock(self, fingerprint: str) -> anyio.Lock:
        """Return the lock that is held while a suspect is being sent."""
        return self.send_locks.setdefault(fingerprint, anyio.Lock())

    def record_break(self, upstream: str, fingerprint: str) -> None:
        """Note that a connection broke under a call, with no whole answer.

        A timeout is no break, and neither is a connection refused.
        """
        now = self.clock.now()
        possible = self.possible_crashes.get(upstream)
        if possible is None or now - possible.recorded_at > _CRASH_WINDOW_MS:
            mark = CrashMark(upstream, self.clock.wall())
            possible = _PossibleCrash(mark, now, set())
            self.possible_crashes[upstream] = possible
        possible.fingerprints.add(fingerprint)
        self._add_mark(fingerprint, possible.mark)
        if len(possible.fingerprints) <= _MAX_REPORTED:
            self._notify(SuspectUpdateKind.MARKED, fingerprint, possible.mark)

    def confirm_crash(self, upstream: str) -> None:
        """Note that an upstream takes no connections after a break."""
        possible = self.possible_crashes.get(upstream)
        if possible is None or possible.mark.is_certain:
            return
        mark = possible.mark._replace(is_certain=True)
        self.possible_crashes[upstream] = possible._replace(mark=mark)
        for fingerprint in possible.fingerprints:
            self._add_mark(fingerprint, mark)
            self._notify(SuspectUpdateKind.CONFIRMED, fingerprint, mark)

    def record_answer(
        self, upstream: str, fingerprint: str, connected_at: Millis
    ) -> None:
        """Note that an upstream ran a call and answered it whole.

        The call is cleared. If the connection is older than breaks noted of
        this upstream just before, then the upstream has not crashed.

        :param connected_at: when the connection was opened on the clock, in
            milliseconds.
        """
        if self.possible_crashes:
            self._retract_if_alive(upstream, connected_at)
        if not self.is_suspect(fingerprint):
            return
        suspect = self.suspects[fingerprint]
        answered_at = self.clock.wall()
        self.suspects[fingerprint] = clear_marks(suspect, answered_at)
        if is_proven(suspect):
            mark = CrashMark(upstream, answered_at)
            self._notify(SuspectUpdateKind.CLEARED, fingerprint, mark)

    def apply(self, update: SuspectUpdate) -> None:
        """Take over what another daemon found out."""
        if update.kind in {
            SuspectUpdateKind.MARKED,
            SuspectUpdateKind.CONFIRMED,
        }:
            self._add_mark(update.fingerprint, update.mark)
        if update.kind is SuspectUpdateKind.RETRACTED:
            self._remove_mark(update.fingerprint, update.mark)
        if update.kind is SuspectUpdateKind.CLEARED:
            suspect = self.suspects.get(update.fingerprint)
            if suspect is not None:
                cleared = clear_marks(suspect, update.mark.at)
                self.suspects[update.fingerprint] = cleared

    def _add_mark(self, fingerprint: str, mark: CrashMark) -> None:
        self.crashes.add(mark)
        suspect = self.suspects.pop(fingerprint, Suspect(fingerprint))
        # The suspect that was marked last stands last.
        self.suspects[fingerprint] = add_mark(suspect, mark)
        if len(self.suspects) > _MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def _remove_mark(self, fingerprint: str, mark: CrashMark) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            self.suspects[fingerprint] = remove_mark(suspect, mark)

    def _retract_if_alive(self, upstream: str, connected_at: Millis) -> None:
        possible = self.possible_crashes.get(upstream)
        if possible is None:
            return
        if self.clock.now() - possible.recorded_at > _CRASH_WINDOW_MS:
            self.possible_crashes.pop(upstream)
            return
        if connected_at >= possible.recorded_at or possible.mark.is_certain:
            return
        self.possible_crashes.pop(upstream)
        self.crashes.remove(possible.mark)
        for fingerprint in possible.fingerprints:
            self._remove_mark(fingerprint, possible.mark)
            self._notify(
                SuspectUpdateKind.RETRACTED, fingerprint, possible.mark
            )

    def _term_end(self, suspect: Suspect) -> int:
        """Return the end of the quarantine since the epoch, 0 if none."""
        count = len(suspect.marks)
        is_certain = count >= _CONCLUSIVE_CRASHES
        if not is_certain and not self.crashes.is_explained_by(suspect):
            return 0
        term = _MIN_TERM_MS << max(count - _FIRST_TERM_CRASHES, 0)
        return suspect.marks[-1].at + min(term, _MAX_TERM_MS)

    def _notify(
        self, kind: SuspectUpdateKind, fingerprint: str, mark: CrashMark
    ) -> None:
        for listener in self.listeners:
            listener(SuspectUpdate(kind, fingerprint, mark))


async def _skip_push() -> None:
    """Do nothing, as there are no other daemons."""
