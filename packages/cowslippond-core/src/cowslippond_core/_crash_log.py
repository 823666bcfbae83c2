"""The crashes of upstreams that a daemon knows of, whoever noted them."""

from collections import deque

from cowslippond_core._suspects import CrashMark, Suspect, is_same_crash

_MAX_CRASHES = 64
_EXPLAINED_RATIO = 0.5
_MARGIN_MS = 500


class CrashLog:
    """The last crashes, each once."""

    def __init__(self) -> None:
        self.crashes: deque[CrashMark] = deque(maxlen=_MAX_CRASHES)

    def add(self, mark: CrashMark) -> None:
        """Note a crash, unless it is known."""
        if not any(is_same_crash(mark, crash) for crash in self.crashes):
            self.crashes.append(mark)

    def remove(self, mark: CrashMark) -> None:
        """Forget what turned out to be no crash."""
        kept = [
            crash for crash in self.crashes if not is_same_crash(crash, mark)
        ]
        self.crashes = deque(kept, maxlen=_MAX_CRASHES)

    def is_explained_by(self, suspect: Suspect) -> bool:
        """Tell whether a suspect was there in most crashes of its time.

        Upstreams that fail together for another reason share no call.
        """
        start = suspect.marks[0].at - _MARGIN_MS
        end = suspect.marks[-1].at + _MARGIN_MS
        nearby = sum(start <= crash.at <= end for crash in self.crashes)
        return len(suspect.marks) > nearby * _EXPLAINED_RATIO
