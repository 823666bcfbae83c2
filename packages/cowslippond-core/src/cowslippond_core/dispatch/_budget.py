"""The retry budget of a service, shared by all daemons."""

from cowslippond_core._budgets import BudgetSettings, RatioBudget
from cowslippond_core._clock import Clock, Millis

# The fractions of the fleet's limits that are used. The windows of this process
# are not aligned with those of a counter at the upstreams, and a daemon that
# restarts loses its record of past retries.
_USED_RATIO = 0.75
_USED_FLOOR_RATIO = 0.5

# Hedges may use this fraction of the budget; the rest is reserved for retries.
_HEDGE_RATIO = 0.7


class FleetRetryBudget:
    """Limits the retries and hedges of the calls of one service.

    :param clock: the clock of the window.
    :param ratio: retries as a fraction of the calls, over all daemons.
    :param floor: additional retries per window, over all daemons.
    :param window: the length of the sliding window, in milliseconds.
    """

    def __init__(
        self, clock: Clock, ratio: float, floor: float, window: Millis
    ) -> None:
        self.window = window
        self.set_bounds(ratio, floor)
        self.retries = RatioBudget(clock, self._settings(1, 1))
        self.hedges = RatioBudget(clock, self._settings(1, _HEDGE_RATIO))

    def set_bounds(self, ratio: float, floor: float) -> None:
        """Change the limits.

        They take effect with the next call of :meth:`set_daemon_count`.
        """
        self.ratio = ratio * _USED_RATIO
        self.floor = floor * _USED_FLOOR_RATIO

    def set_daemon_count(self, count: int) -> None:
        """Divide the floor among the daemons and apply the limits."""
        self.retries.settings = self._settings(count, 1)
        self.hedges.settings = self._settings(count, _HEDGE_RATIO)

    def record_call(self) -> None:
        """Count a call, which enlarges the budget."""
        self.retries.record_send()
        self.hedges.record_send()

    def can_retry(self) -> bool:
        """Tell whether the budget allows a retry."""
        return self.retries.can_spend()

    def can_hedge(self) -> bool:
        """Tell whether the budget allows a hedge."""
        return self.hedges.can_spend() and self.retries.can_spend()

    def spend(self) -> None:
        """Count a retry or hedge."""
        self.retries.spend()
        self.hedges.spend()

    def _settings(self, daemons: int, fraction: float) -> BudgetSettings:
        return BudgetSettings(
            self.ratio * fraction, self.floor * fraction / daemons, self.window
        )
