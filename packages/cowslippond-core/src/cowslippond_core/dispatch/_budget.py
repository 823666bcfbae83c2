"""The budget of repeated sends that all daemons keep together."""

from cowslippond_core._budgets import BudgetSettings, ShareBudget
from cowslippond_core._clock import Clock, Millis

# The parts of the fleet's bound that are spent. Windows of this process and of
# whoever counts at the upstreams don't line up, and a daemon that restarts has
# forgotten what it spent.
_USED_SHARE = 0.75
_USED_FLOOR = 0.5

# Copies leave this part of the budget to calls that need another send.
_COPY_SHARE = 0.7


class FleetRetryBudget:
    """Bounds what one service is sent beyond the first send of each call.

    :param clock: the clock of the window.
    :param share: of the calls, over all daemons.
    :param floor: sends in the window besides, over all daemons.
    :param window: in milliseconds.
    """

    def __init__(
        self, clock: Clock, share: float, floor: float, window: Millis
    ) -> None:
        self.window = window
        self.set_bounds(share, floor)
        self.spending = ShareBudget(clock, self._settings(1, 1))
        self.copying = ShareBudget(clock, self._settings(1, _COPY_SHARE))

    def set_bounds(self, share: float, floor: float) -> None:
        """Change the bounds; they count once they are divided."""
        self.share = share * _USED_SHARE
        self.floor = floor * _USED_FLOOR

    def set_daemon_count(self, count: int) -> None:
        """Divide the floor among the daemons."""
        self.spending.settings = self._settings(count, 1)
        self.copying.settings = self._settings(count, _COPY_SHARE)

    def record_call(self) -> None:
        """Count a call of a caller."""
        self.spending.note_send()
        self.copying.note_send()

    def can_retry(self) -> bool:
        """Tell whether a call may be sent once more."""
        return self.spending.can_spend()

    def can_hedge(self) -> bool:
        """Tell whether a copy may be sent beside a send under way."""
        return self.copying.can_spend() and self.spending.can_spend()

    def spend(self) -> None:
        """Count a repeated send."""
        self.spending.spend()
        self.copying.spend()

    def _settings(self, daemons: int, part: float) -> BudgetSettings:
        return BudgetSettings(
            self.share * part, self.floor * part / daemons, self.window
        )
