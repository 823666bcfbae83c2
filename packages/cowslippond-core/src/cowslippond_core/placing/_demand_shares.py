"""Tells which calls exceed their workspace's share of a service.

It is designed for 18 to 136 daemons with three to nine calls a second each: the
order within one daemon decides little there, since few calls wait together.
"""

from collections import OrderedDict
from collections.abc import Mapping

from cowslippond_core._clock import Millis
from cowslippond_core.placing._pending_call import PendingCall

# The maximum number of workspaces whose demand is remembered.
_MAX_WORKSPACES = 512

# Demand is halved after this time: a burst lasts for seconds, and a daemon sees
# about ten calls in this time.
_HALF_LIFE: Millis = 2000
_MEAN_LIFE: Millis = 2885

# A workspace exceeds its share if its demand, relative to its weight, is this
# many times that of the others. Usual demand varies by less than that.
_MIN_EXCESS = 2.0

# The part of the whole demand that the upstreams serve at least in these loads.
_MIN_CAPACITY = 0.5

# The part of the calls that always compete. All workspaces together get at most
# half of what they request in the loads above, so a quarter of that.
_MIN_COMPETING = 0.125

# While at least this part of the upstreams has a free slot, calls meet their
# objective, and more calls may compete.
_MIN_FREE_RATIO = 0.8
_GROWTH = 1.3

# The others are taken to request at least this part of a workspace's demand.
_MIN_OTHERS = 0.01

# Fewer calls than this say nothing about a workspace.
_MIN_CALLS = 4


class Demand:
    """Decaying amount of the work that was requested.

    ``calls`` is the number of calls, which decays in the same way.
    """

    def __init__(self) -> None:
        self.work: float = 0
        self.calls: float = 0
        self.updated_at: Millis = 0

    def add(self, work: Millis, now: Millis) -> None:
        """Add the work of a call."""
        self._decay(now)
        self.work += work
        self.calls += 1

    def rate(self, now: Millis) -> float:
        """Return the work that is requested per unit of time."""
        self._decay(now)
        return self.work / _MEAN_LIFE

    def _decay(self, now: Millis) -> None:
        decay = 0.5 ** (max(now - self.updated_at, 0) / _HALF_LIFE)
        self.updated_at = now
        self.work *= decay
        self.calls *= decay


class DemandShares:
    """The demand of workspaces at this daemon, and who exceeds its share.

    ``fractions`` holds, for each workspace that exceeds its share, the fraction
    of its calls that compete for slots like those of others. The other calls
    are excess: they take no slot that a call within its share would take.
    """

    def __init__(self) -> None:
        self.total = Demand()
        self.by_workspace: OrderedDict[str, Demand] = OrderedDict()
        self.fractions: dict[str, float] = {}
        self.credits: dict[str, float] = {}
        # Corrects the fractions, as slots that others leave unused are for all.
        self.slack: float = 1

    def adjust(self, free_ratio: float) -> None:
        """Let more or fewer calls compete, by the upstreams that were free.

        :param free_ratio: the fraction of recent readings with a free slot.
        """
        if not self.fractions:
            self.slack = 1
            return
        growth = _GROWTH if free_ratio >= _MIN_FREE_RATIO else 1 / _GROWTH**2
        self.slack = min(
            max(self.slack * growth, _MIN_COMPETING), 1 / _MIN_COMPETING
        )

    def classify(
        self, call: PendingCall, work: Millis, now: Millis
    ) -> PendingCall:
        """Record a new call and mark it if it is excess.

        :param work: its expected service time.
        """
        workspace = call.workspace
        if call.is_hedge or (workspace is None and not self.by_workspace):
            return call
        self.total.add(work, now)
        if workspace is None:
            return call
        self._demand_of(workspace).add(work, now)
        fraction = self.fractions.get(workspace, 1)
        if fraction >= 1:
            return call
        credit = self.credits.get(workspace, 1) + fraction
        is_excess = credit < 1
        self.credits[workspace] = credit if is_excess else credit - 1
        return call._replace(is_excess=is_excess)

    def update(
        self, fleet: Mapping[str, float], total: float, shares: dict[str, float]
    ) -> None:
        """Decide which workspaces exceed their share.

        :param fleet: the demand at all daemons of the workspaces to consider.
        :param total: the demand of all workspaces at all daemons.
        :param shares: the parts of the workspaces; together they are 1.
        """
        excesses = {
            workspace: excess_of(rate, total, shares.get(workspace, 0))
            for workspace, rate in fleet.items()
        }
        heavy = sum(
            rate
            for workspace, rate in fleet.items()
            if excesses[workspace] >= _MIN_EXCESS
        )
        # What the others leave of the capacity.
        unused = _MIN_CAPACITY * total - max(total - heavy, 0)
        self.fractions = {
            workspace: self._fraction(excess, unused / heavy)
            for workspace, excess in excesses.items()
            if excess >= _MIN_EXCESS
        }
        self.credits = {
            name: credit
            for name, credit in self.credits.items()
            if name in self.fractions
        }

    def _fraction(self, excess: float, unused: float) -> float:
        fraction = max(1 / excess, _MIN_COMPETING)
        return min(max(fraction, max(fraction, unused) * self.slack), 1)

    def suspects(
        self, shares: Mapping[str, float], now: Millis
    ) -> dict[str, float]:
        """Return the demand of workspaces that seem to exceed their share.

        This daemon sees only a part of their demand.
        """
        total = self.total.rate(now)
        found: dict[str, float] = {}
        for name, demand in self.by_workspace.items():
            rate = demand.rate(now)
            if demand.calls < _MIN_CALLS:
                continue
            if excess_of(rate, total, shares.get(name, 0)) >= _MIN_EXCESS:
                found[name] = rate
        return found

    def _demand_of(self, workspace: str) -> Demand:
        demand = self.by_workspace.get(workspace)
        if demand is None:
            demand = Demand()
            self.by_workspace[workspace] = demand
        self.by_workspace.move_to_end(workspace)
        if len(self.by_workspace) > _MAX_WORKSPACES:
            self.by_workspace.popitem(last=False)
        return demand


def excess_of(demand: float, total: float, share: float) -> float:
    """Return a workspace's demand, by weight, relative to that of the others.

    :param share: the workspace's part, by weight.
    """
    if not 0 < share < 1 or demand <= 0:
        return 0
    others = max(total - demand, demand * _MIN_OTHERS)
    return demand / share / (others / (1 - share))
