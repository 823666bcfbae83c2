"""A clock that a test moves by hand."""

from cowslippond_core import Clock, Millis


class FixedClock(Clock):
    """Tells the time that a test has set; its wall clock starts in 2026."""

    def __init__(self) -> None:
        self.at: Millis = 1_000_000

    def now(self) -> Millis:
        return self.at

    def wall(self) -> int:
        return 1_800_000_000_000 + int(self.at)

    def advance(self, span: Millis) -> None:
        self.at += span
