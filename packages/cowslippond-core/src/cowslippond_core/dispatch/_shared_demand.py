"""Exchanges the demand of workspaces that exceed their share between daemons.

A daemon that only has calls of one workspace cannot tell by itself whether the
workspace floods all daemons or has all its callers at this one.
"""

import heapq
import logging
from collections.abc import Callable, Iterable, Mapping

import xxhash

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core.dispatch._service import Service
from cowslippond_core.workspaces import Workspace

_logger = logging.getLogger(__name__)

#: The gossip table with the demand of workspaces.
DEMAND_TABLE = 'demand'

# How often demand is published, and how long a row counts: it reaches all
# daemons of a large fleet within half of this time.
_PUBLISH_INTERVAL: Millis = 600
_ROW_LIFE: Millis = 3000

# The number of rows that state the whole demand on a service, and those that
# would state the share of a workspace. A daemon with less demand than one such
# row publishes it with the probability of the ratio, so that the number of rows
# does not grow with the number of daemons.
_TOTAL_ROWS = 24
_SHARE_ROWS = 8

# With fewer rows of the whole demand, its sum says too little.
_MIN_TOTAL_ROWS = 6

# The maximum number of workspaces that a daemon publishes for each service.
_MAX_SUSPECTS = 4

# Stands for all workspaces together, as none has an empty name.
_ALL = ''
_SEPARATOR = '\n'
_HASH_RANGE = 0x100000000


class SharedDemand:
    """Publishes this daemon's part of a demand and adds up those of others.

    :param table: the gossip table that distributes the rows.
    :param sender: identifies the rows of this daemon.
    :param list_services: returns the services in use.
    :param list_workspaces: returns the workspaces of the configuration.
    :param count_daemons: returns how many daemons there are.
    :param clock: dates the demand.
    """

    def __init__(
        self,
        table: GossipTable,
        sender: str,
        list_services: Callable[[], Iterable[Service]],
        list_workspaces: Callable[[], Mapping[str, Workspace] | None],
        count_daemons: Callable[[], int],
        clock: Clock,
    ) -> None:
        self.table = table
        self.sender = sender
        self.list_services = list_services
        self.list_workspaces = list_workspaces
        self.count_daemons = count_daemons
        self.clock = clock

    async def run(self) -> None:
        """Publish and evaluate the demand periodically until cancelled."""
        while True:
            await self.clock.sleep(_PUBLISH_INTERVAL)
            self.update()

    def update(self) -> None:
        """Publish this daemon's demand, and decide who exceeds its share."""
        shares = share_by_workspace(self.list_workspaces() or {})
        rows = self._read_rows() if shares else {}
        for service in self.list_services():
            demand = service.placer.queue.demand
            if shares and demand.by_workspace:
                self._update_service(
                    service, shares, rows.get(service.entry.name, {})
                )
            elif demand.fractions:
                demand.update({}, 0, shares)

    def _update_service(
        self,
        service: Service,
        shares: dict[str, float],
        rows: Mapping[str, list[float]],
    ) -> None:
        demand = service.placer.queue.demand
        now = self.clock.now()
        total = self._fleet_total(demand.total.rate(now), rows.get(_ALL, []))
        suspects = demand.suspects(shares, now)
        # The rows of the workspaces include those of this daemon.
        fleet = {
            workspace: sum(rates)
            for workspace, rates in rows.items()
            if workspace != _ALL
        }
        for suspect, rate in suspects.items():
            fleet[suspect] = max(rate, fleet.get(suspect, 0))
        known = set(demand.fractions)
        demand.adjust(service.placer.selector.free_ratio)
        demand.update(fleet, total, shares)
        _log_changes(service.entry.name, known, demand.fractions)
        if service.estimator.is_fully_loaded:
            self._publish_all(service, total, suspects, shares)

    def _fleet_total(self, own: float, rates: list[float]) -> float:
        """Return the demand at all daemons.

        Without enough rows of others, their demand is taken for equal to that
        of this daemon, which then finds hardly any workspace beyond its share.
        """
        if len(rates) < min(self.count_daemons(), _MIN_TOTAL_ROWS):
            return own * self.count_daemons()
        return max(sum(rates), own)

    def _publish_all(
        self,
        service: Service,
        total: float,
        suspects: Mapping[str, float],
        shares: Mapping[str, float],
    ) -> None:
        name = service.entry.name
        own = service.placer.queue.demand.total.rate(self.clock.now())
        self._publish(name, _ALL, own, total / _TOTAL_ROWS)
        largest = heapq.nlargest(
            _MAX_SUSPECTS, suspects.items(), key=lambda entry: entry[1]
        )
        for workspace, rate in largest:
            unit = total * shares[workspace] / _SHARE_ROWS
            self._publish(name, workspace, rate, unit)

    def _publish(
        self, service: str, workspace: str, rate: float, unit: float
    ) -> None:
        """Publish a demand, or with the probability of its part of a unit."""
        key = _SEPARATOR.join((service, workspace, self.sender))
        drawn = xxhash.xxh32_intdigest(key.encode()) / _HASH_RANGE
        if drawn * unit < rate:
            self.table.put(key, f'{max(rate, unit):.4f}', _ROW_LIFE)

    def _read_rows(self) -> dict[str, dict[str, list[float]]]:
        """Return the published demands by service and workspace."""
        rows: dict[str, dict[str, list[float]]] = {}
        for row in self.table.rows():
            rate = _parse_rate(row)
            if rate is None:
                continue
            service, _, rest = row.key.partition(_SEPARATOR)
            workspace = rest.partition(_SEPARATOR)[0]
            by_workspace = rows.setdefault(service, {})
            by_workspace.setdefault(workspace, []).append(rate)
        return rows


def share_by_workspace(
    workspaces: Mapping[str, Workspace],
) -> dict[str, float]:
    """Return the parts of the workspaces by the rates of their quotas.

    A workspace without a quota counts as a large one.
    """
    heaviest = max((one.rate for one in workspaces.values()), default=0) or 1
    weights = {
        name: workspace.rate or heaviest
        for name, workspace in workspaces.items()
    }
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def _parse_rate(row: GossipRow) -> float | None:
    try:
        rate = float(row.text)
    except ValueError:
        rate = -1
    if 0 <= rate < _HASH_RANGE:
        return rate
    _logger.warning('cannot parse demand of peer', extra={'row': row.key})
    return None


def _log_changes(
    service: str, known: set[str], fractions: Mapping[str, float]
) -> None:
    for workspace in known.symmetric_difference(fractions):
        _logger.info(
            'share of workspace checked',
            extra={
                'service': service,
                'workspace': workspace,
                'is_exceeded': workspace in fractions,
                'competing_fraction': round(fractions.get(workspace, 1), 3),
            },
        )
