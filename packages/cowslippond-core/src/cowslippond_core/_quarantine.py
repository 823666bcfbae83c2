"""Quarantine of requests that crash the upstreams that run them.

Calls that were running when an upstream crashed are suspects. A suspect is
cleared when any upstream answers it. A suspect that was running during a second
confirmed crash, or a third unconfirmed one, is refused for a time by every
daemon that receives the update.
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

# A call with at least this many crashes is refused, even if many other crashes
# occurred in the same period.
_CONCLUSIVE_CRASHES = 6
_CRASH_WINDOW_MS = 100
_MIN_TERM_MS = 60_000
_FIRST_TERM_CRASHES = 2
_MAX_TERM_MS = 600_000
_MAX_SUSPECTS = 512
_MAX_REPORTED = 16


class _PossibleCrash(NamedTuple):
    """Broken connections of one upstream that may indicate a crash."""

    mark: CrashMark
    recorded_at: Millis
    fingerprints: set[str]


class Quarantine:
    """Tracks requests that crash upstreams, and refuses them.

    ``listeners`` are called with the updates that originate in this daemon.
    ``push_updates`` waits a short time for them to reach the other daemons.

    :param clock: its wall time dates crashes for other daemons, and its
        monotonic time distinguishes old connections from new ones.
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
        """Return the refusal of a quarantined call, or ``None``.

        Call this before every send, including retries and hedges.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not is_proven(suspect):
            return None
        wait = self._term_end(suspect) - self.clock.wall()
        if wait <= 0:
            return None
        return CallRefusal(Outcome.NOT_RUN, RefusalReason.QUARANTINED, wait)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether calls with a fingerprint must be sent one at a time.

        Such a call must not be hedged either.
        """
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and bool(suspect.marks)

    def upstreams_broken_by(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that broke while running such calls.

        A call should not be sent to them again: if an upstream crashes a second
        time just after its restart, both are taken for the same crash, so the
        second one would not count against the call.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(mark.upstream for mark in suspect.marks)

    def send_lock(self, fingerprint: str) -> anyio.Lock:
        """Return the lock to hold while sending a suspect."""
        return self.send_locks.setdefault(fingerprint, anyio.Lock())

    def record_break(self, upstream: str, fingerprint: str) -> None:
        """Record that a connection broke before a call was fully answered.

        Timeouts and refused connections must not be recorded here.
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
        """Mark the possible crash of an upstream as certain."""
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
        """Record that an upstream fully answered a call, and clear the call.

        If the connection was opened before other connections to this upstream
        broke, the upstream has not crashed, and the marks of that possible
        crash are retracted.

        :param connected_at: when the connection was opened, on the clock, in
            milliseconds.
        """
        if self.possible_crashes:
            self._retract_if_alive(upstream, connected_at)
        if not self.is_suspect(fingerprint):
            return
        suspect = self.suspects[fingerprint]
        answered_at = self.clock.wall()
        self.suspects[fingerprint] = clear_marks(suspect, answered_at)
        # Another daemon may have learned of more crashes than this one.
        mark = CrashMark(upstream, answered_at)
        self._notify(SuspectUpdateKind.CLEARED, fingerprint, mark)

    def apply(self, update: SuspectUpdate) -> None:
        """Apply an update received from another daemon."""
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
        # Reinsert the suspect at the end: the least recently marked is evicted.
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
        """Return when the quarantine ends, or 0 if there is none.

        The time is in milliseconds since the Unix epoch.
        """
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
    """Do nothing; the default while there are no other daemons."""
