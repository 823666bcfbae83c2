"""Budgets that bound repeated sends to a share of first sends."""

from collections import deque
from typing import NamedTuple

from cowslippond_core._clock import Clock, Millis

_WINDOW_MS = 10_000
_SLICES = 20
_DEFAULT_FLOOR = 3


class BudgetSettings(NamedTuple):
    """How much a budget allows.

    ``share`` is the fraction of the first sends within ``window_ms`` that may
    be spent; ``floor`` sends within the window are allowed besides, so that a
    service with few calls is not left without any.
    """

    ratio: float
    floor: float = _DEFAULT_FLOOR
    window_ms: Millis = _WINDOW_MS


class _Slice:
    """The sends of a short span of time."""

    def __init__(self, start: Millis) -> None:
        self.start = start
        self.first_sends = 0
        self.spent = 0


class RatioBudget:
    """Allows repeated sends up to a share of first sends in a sliding window.

    :param clock: the clock of the window.
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
        """Tell whether one more repeated send is within the budget."""
        self._drop_expired_slices()
        allowed = self.first_sends * self.settings.ratio
        return self.spent + 1 <= allowed + self.settings.floor

    def spend(self) -> None:
        """Count a repeated send."""
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
    """Tell whether this level of a call chain may send a call again.

    A call that an outer level has sent again is not repeated at inner levels,
    so that the repeats of the levels add up and do not multiply.

    :param attempt: the earlier sends of the call at outer levels.
    """
    return attempt == 0
