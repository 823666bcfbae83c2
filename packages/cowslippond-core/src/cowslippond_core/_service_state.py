"""What a daemon keeps for each service while calls pass."""

from collections.abc import Iterable

from anyio.abc import TaskGroup

from cowslippond_core._budgets import BudgetSettings, ShareBudget
from cowslippond_core._clock import Clock
from cowslippond_core._document import ServiceDocument
from cowslippond_core._latency import LatencyWindow
from cowslippond_core._limits import Limiter
from cowslippond_core._load import SlotPace, slot_pace
from cowslippond_core._upstreams import UpstreamSet
from cowslippond_core._vm import Vm

_FLOOR = 3
_FLOOR_PARTS = 2


class ServiceState:
    """The state of one service: document, upstreams, limits and budgets.

    :param document: the version in force.
    :param tasks: a task group that outlives the service; it runs the
        connections' reading tasks.
    :param clock: the process's clock.
    :param daemons: by how many daemons an upstream's connections are shared.
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
        self.retry_budget = ShareBudget(
            clock, _settings_of(document.retries.share_of_calls)
        )
        self.hedge_budget = ShareBudget(
            clock, _settings_of(document.hedging.share_of_calls)
        )
        self.upstreams = UpstreamSet(tasks, clock, self._connection_limit())

    def replace_document(self, document: ServiceDocument) -> None:
        """Put a newer version in force; calls under way are kept."""
        self.document = document
        retries = document.retries.share_of_calls
        hedges = document.hedging.share_of_calls
        self.retry_budget.settings = _settings_of(retries)
        self.hedge_budget.settings = _settings_of(hedges)
        self.limiter.replace_policy(document.limits)
        self._set_floor()
        self.upstreams.limit_connections(self._connection_limit())

    def slot_pace(self) -> SlotPace:
        """Return how fast the upstreams' slots become free."""
        return slot_pace(self.document.upstreams, self.daemons)

    def update_upstreams(self, vms: Iterable[Vm]) -> None:
        """Take over the VM list; entries of other services are left out."""
        service = self.document.service
        self.upstreams.update(vm for vm in vms if vm.service == service)
        self._set_floor()

    def _set_floor(self) -> None:
        """Let the bound on running calls fall to twice this daemon's part."""
        slots = len(self.upstreams.by_address) * self.document.upstreams.slots
        part = _FLOOR_PARTS * slots / self.daemons
        most = self.document.limits.concurrency
        self.limiter.floor = min(max(part, 1), most)

    def _connection_limit(self) -> int:
        return max(self.document.upstreams.max_connections // self.daemons, 1)


def _settings_of(share: float) -> BudgetSettings:
    return BudgetSettings(share, _FLOOR if share > 0 else 0)
