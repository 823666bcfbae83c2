"""Recent upstream crashes recorded by this daemon or reported by peers."""

from collections import deque

from cowslippond_core._suspects import CrashMark, Suspect, is_same_crash

_MAX_CRASHES = 64
_EXPLAINED_RATIO = 0.5
_MARGIN_MS = 500


class CrashLog:
    """The most recent crashes, without duplicates."""

    def __init__(self) -> None:
        self.crashes: deque[CrashMark] = deque(maxlen=_MAX_CRASHES)

    def add(self, mark: CrashMark) -> None:
        """Add a crash unless it is already in the log."""
        if not any(is_same_crash(mark, crash) for crash in self.crashes):
            self.crashes.append(mark)

    def remove(self, mark: CrashMark) -> None:
        """Remove an entry that turned out not to be a crash."""
        remaining = [
            crash for crash in self.crashes if not is_same_crash(crash, mark)
        ]
        self.crashes = deque(remaining, maxlen=_MAX_CRASHES)

    def is_explained_by(self, suspect: Suspect) -> bool:
        """Return whether a suspect was running in most crashes of its period.

        If many upstreams fail together for another reason, no single call was
        running on most of them.
        """
        start = suspect.marks[0].at - _MARGIN_MS
        end = suspect.marks[-1].at + _MARGIN_MS
        nearby = sum(start <= crash.at <= end for crash in self.crashes)
        return len(suspect.marks) > nearby * _EXPLAINED_RATIO
