"""The state that a daemon keeps for each service."""

from collections.abc import Iterable

from anyio.abc import TaskGroup

from cowslippond_core._budgets import BudgetSettings, RatioBudget
from cowslippond_core._clock import Clock
from cowslippond_core._document import ServiceDocument
from cowslippond_core._latency import LatencyWindow
from cowslippond_core._limits import Limiter
from cowslippond_core._load import SlotIntervals, slot_intervals
from cowslippond_core._upstreams import UpstreamSet
from cowslippond_core._vm import Vm

_BUDGET_FLOOR = 3
_MIN_LIMIT_FACTOR = 2


class ServiceState:
    """The state of one service: document, upstreams, limits and budgets.

    :param document: the version in force.
    :param tasks: a task group that outlives the service; it runs the tasks that
        read from connections.
    :param clock: the clock of the process.
    :param daemons: the number of daemons that share an upstream's connections.
    """

    def __init__(
        self,
        document: ServiceDocument,
        tasks: TaskGroup,
        clock: Clock,
        daemons: int,
    ) -> None:
        self.document = document
        self.daemons = daemons
        self.limiter = Limiter(document.limits, clock)
        self.latency = LatencyWindow(document.upstreams.mean_service_ms)
        self.retry_budget = RatioBudget(
            clock, _budget_settings(document.retries.share_of_calls)
        )
        self.hedge_budget = RatioBudget(
            clock, _budget_settings(document.hedging.share_of_calls)
        )
        self.upstreams = UpstreamSet(tasks, clock, self._connection_limit())

    def replace_document(self, document: ServiceDocument) -> None:
        """Put a newer version in force without affecting calls in flight."""
        self.document = document
        retries = document.retries.share_of_calls
        hedges = document.hedging.share_of_calls
        self.retry_budget.settings = _budget_settings(retries)
        self.hedge_budget.settings = _budget_settings(hedges)
        self.limiter.replace_policy(document.limits)
        self._update_min_limit()
        self.upstreams.limit_connections(self._connection_limit())

    def slot_intervals(self) -> SlotIntervals:
        """Return the mean times until a slot becomes free."""
        return slot_intervals(self.document.upstreams, self.daemons)

    def update_upstreams(self, vms: Iterable[Vm]) -> None:
        """Apply the VM list, ignoring the VMs of other services."""
        service = self.document.service
        self.upstreams.update(vm for vm in vms if vm.service == service)
        self._update_min_limit()

    def _update_min_limit(self) -> None:
        """Set the minimum limit to twice this daemon's part of the slots."""
        slots = len(self.upstreams.by_address) * self.document.upstreams.slots
        min_limit = _MIN_LIMIT_FACTOR * slots / self.daemons
        max_limit = self.document.limits.concurrency
        self.limiter.min_limit = min(max(min_limit, 1), max_limit)

    def _connection_limit(self) -> int:
        return max(self.document.upstreams.max_connections // self.daemons, 1)


def _budget_settings(ratio: float) -> BudgetSettings:
    return BudgetSettings(ratio, _BUDGET_FLOOR if ratio > 0 else 0)
