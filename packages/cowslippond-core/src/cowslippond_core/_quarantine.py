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
    NewsKind,
    Suspect,
    SuspectNews,
    add_mark,
    clear_marks,
    is_proved,
    remove_mark,
)

# From this many crashes on, a call is refused whatever else crashes.
_CERTAIN_CRASHES = 6
_CRASH_WINDOW_MS = 100
_FIRST_TERM_MS = 60_000
_FIRST_TERM_CRASHES = 2
_LONGEST_TERM_MS = 600_000
_MAX_SUSPECTS = 512
_MAX_TOLD = 16


class _Breakage(NamedTuple):
    """Breaks of connections that may yet turn out to be no crash."""

    mark: CrashMark
    noted_at: Millis
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
        self.breakages: dict[str, _Breakage] = {}
        self.turns: WeakValueDictionary[str, anyio.Lock] = WeakValueDictionary()
        self.listeners: list[Callable[[SuspectNews], None]] = []
        self.push_news: Callable[[], Awaitable[None]] = _push_nothing

    def check(self, fingerprint: str) -> CallRefusal | None:
        """Return why a call may not be sent now, or ``None``.

        To be asked before every send, repeated sends included.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not is_proved(suspect):
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

    def broken_under(self, fingerprint: str) -> frozenset[str]:
        """Return the upstreams that broke under calls of a fingerprint.

        A second break of one that was just started again is taken for the
        first one seen twice, so it would prove nothing against the call.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(mark.upstream for mark in suspect.marks)

    def turn(self, fingerprint: str) -> anyio.Lock:
        """Return the lock that is held while a suspect is being sent."""
        return self.turns.setdefault(fingerprint, anyio.Lock())

    def note_break(self, upstream: str, fingerprint: str) -> None:
        """Note that a connection broke under a call, with no whole answer.

        A timeout is no break, and neither is a connection refused.
        """
        now = self.clock.now()
        breakage = self.breakages.get(upstream)
        if breakage is None or now - breakage.noted_at > _CRASH_WINDOW_MS:
            mark = CrashMark(upstream, self.clock.wall())
            breakage = _Breakage(mark, now, set())
            self.breakages[upstream] = breakage
        breakage.fingerprints.add(fingerprint)
        self._add_mark(fingerprint, breakage.mark)
        if len(breakage.fingerprints) <= _MAX_TOLD:
            self._tell(NewsKind.MARKED, fingerprint, breakage.mark)

    def confirm_crash(self, upstream: str) -> None:
        """Note that an upstream takes no connections after a break."""
        breakage = self.breakages.get(upstream)
        if breakage is None or breakage.mark.is_certain:
            return
        mark = breakage.mark._replace(is_certain=True)
        self.breakages[upstream] = breakage._replace(mark=mark)
        for fingerprint in breakage.fingerprints:
            self._add_mark(fingerprint, mark)
            self._tell(NewsKind.CONFIRMED, fingerprint, mark)

    def note_answer(
        self, upstream: str, fingerprint: str, connected_at: Millis
    ) -> None:
        """Note that an upstream ran a call and answered it whole.

        The call is cleared. If the connection is older than breaks noted of
        this upstream just before, then the upstream has not crashed.

        :param connected_at: when the connection was opened on the clock, in
            milliseconds.
        """
        if self.breakages:
            self._doubt_crash(upstream, connected_at)
        if not self.is_suspect(fingerprint):
            return
        suspect = self.suspects[fingerprint]
        answered_at = self.clock.wall()
        self.suspects[fingerprint] = clear_marks(suspect, answered_at)
        if is_proved(suspect):
            mark = CrashMark(upstream, answered_at)
            self._tell(NewsKind.CLEARED, fingerprint, mark)

    def apply(self, news: SuspectNews) -> None:
        """Take over what another daemon found out."""
        if news.kind in {NewsKind.MARKED, NewsKind.CONFIRMED}:
            self._add_mark(news.fingerprint, news.mark)
        if news.kind is NewsKind.RETRACTED:
            self._remove_mark(news.fingerprint, news.mark)
        if news.kind is NewsKind.CLEARED:
            known = self.suspects.get(news.fingerprint)
            if known is not None:
                cleared = clear_marks(known, news.mark.at)
                self.suspects[news.fingerprint] = cleared

    def _add_mark(self, fingerprint: str, mark: CrashMark) -> None:
        self.crashes.add(mark)
        known = self.suspects.pop(fingerprint, Suspect(fingerprint))
        # The suspect that was marked last stands last.
        self.suspects[fingerprint] = add_mark(known, mark)
        if len(self.suspects) > _MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def _remove_mark(self, fingerprint: str, mark: CrashMark) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            self.suspects[fingerprint] = remove_mark(suspect, mark)

    def _doubt_crash(self, upstream: str, connected_at: Millis) -> None:
        breakage = self.breakages.get(upstream)
        if breakage is None:
            return
        if self.clock.now() - breakage.noted_at > _CRASH_WINDOW_MS:
            self.breakages.pop(upstream)
            return
        if connected_at >= breakage.noted_at or breakage.mark.is_certain:
            return
        self.breakages.pop(upstream)
        self.crashes.remove(breakage.mark)
        for fingerprint in breakage.fingerprints:
            self._remove_mark(fingerprint, breakage.mark)
            self._tell(NewsKind.RETRACTED, fingerprint, breakage.mark)

    def _term_end(self, suspect: Suspect) -> int:
        """Return the end of the quarantine since the epoch, 0 if none."""
        count = len(suspect.marks)
        is_certain = count >= _CERTAIN_CRASHES
        if not is_certain and not self.crashes.is_explained_by(suspect):
            return 0
        term = _FIRST_TERM_MS << max(count - _FIRST_TERM_CRASHES, 0)
        return suspect.marks[-1].at + min(term, _LONGEST_TERM_MS)

    def _tell(self, kind: NewsKind, fingerprint: str, mark: CrashMark) -> None:
        for listener in self.listeners:
            listener(SuspectNews(kind, fingerprint, mark))


async def _push_nothing() -> None:
    """Do nothing, as there are no other daemons."""
