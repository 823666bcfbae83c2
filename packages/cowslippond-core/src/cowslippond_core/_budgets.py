"""Budgets that limit retries and hedges to a ratio of first sends."""

from collections import deque
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis

_WINDOW_MS = 10_000
_SLICES = 20
_DEFAULT_FLOOR = 3


class BudgetSettings(NamedTuple):
    """The limits of a budget.

    Within any ``window_ms``, additional sends (retries or hedges) may amount to
    ``ratio`` times the first sends, plus ``floor``. The floor lets a service
    with few calls retry some of them.
    """

    ratio: float
    floor: float = _DEFAULT_FLOOR
    window_ms: Millis = _WINDOW_MS


class _Slice:
    """Send counts of one slice of the sliding window."""

    def __init__(self, start: Millis) -> None:
        self.start = start
        self.first_sends = 0
        self.spent = 0


class RatioBudget:
    """Limits additional sends to a ratio of first sends in a sliding window.

    :param clock: the clock of the window.
    :param settings: the limits.
    """

    def __init__(self, clock: Clock, settings: BudgetSettings) -> None:
        self.clock = clock
        self.settings = settings
        self.slices: deque[_Slice] = deque()
        self.first_sends = 0
        self.spent = 0

    def record_send(self) -> None:
        """Count a first send."""
        self._current_slice().first_sends += 1
        self.first_sends += 1

    def can_spend(self) -> bool:
        """Return whether the budget allows one more retry or hedge."""
        self._drop_expired_slices()
        allowed = self.first_sends * self.settings.ratio
        return self.spent + 1 <= allowed + self.settings.floor

    def spend(self) -> None:
        """Count a retry or hedge."""
        self._current_slice().spent += 1
        self.spent += 1

    def _current_slice(self) -> _Slice:
        self._drop_expired_slices()
        now = self.clock.now()
        slice_ms = self.settings.window_ms / _SLICES
        if not self.slices or now >= self.slices[-1].start + slice_ms:
            self.slices.append(_Slice(now))
        return self.slices[-1]

    def _drop_expired_slices(self) -> None:
        cutoff = self.clock.now() - self.settings.window_ms
        while self.slices and self.slices[0].start <= cutoff:
            oldest = self.slices.popleft()
            self.first_sends -= oldest.first_sends
            self.spent -= oldest.spent


def is_first_attempt(attempt: int) -> bool:
    """Return whether this level of a call chain may retry a call.

    Inner levels do not retry a call that an outer level has already retried.
    Otherwise the retries of the levels would multiply instead of adding up.

    :param attempt: how often outer levels have sent the call before.
    """
    return attempt == 0
