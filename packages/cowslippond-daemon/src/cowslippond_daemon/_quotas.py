"""Connects the quotas of workspaces to the daemon's fleet and configuration."""

import logging
import random
import re
from collections.abc import Mapping
from typing import Any

import anyio
from cowslippond_core import (
    Clock,
    ConfigurationLog,
    Fleet,
    Metrics,
    Millis,
    PeerDatagrams,
    seconds_of,
)
from cowslippond_core.quotas import (
    QUOTA_TABLE,
    QuotaBounds,
    QuotaDatagrams,
    QuotaGate,
    QuotaLimiter,
    QuotaParticipants,
)
from cowslippond_core.workspaces import Workspace

from cowslippond_daemon._node_settings import NodeSettings

_UPDATE_INTERVAL: Millis = 200
_RETRY_INTERVAL: Millis = 2000

# Daemons that start together know each other after this time.
_JOINT_START_TIME: Millis = 3000

_GAUGE_PREFIX = 'quota.workspace.'
_UNUSABLE = re.compile(r'\W')

_logger = logging.getLogger(__name__)


class DaemonQuotas:
    """The quotas at one daemon.

    Nothing is sent or announced while no workspace has a limit.

    :param settings: the settings of this process.
    :param log: provides the configuration in force.
    :param fleet: the other daemons.
    :param clock: the clock of all times.
    :param rng: chooses owners and randomizes the waits of callers.
    :param metrics: counts requests, calls and bytes.
    :param port: sends and receives the datagrams.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: ConfigurationLog,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        port: PeerDatagrams,
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.clock = clock
        self.metrics = metrics
        self.peer_address = settings.peer_address
        self.datagrams = QuotaDatagrams(metrics, port)
        self.limiter = QuotaLimiter(
            settings.peer_address,
            settings.failure_domain,
            self._find_workspace,
            make_quota_bounds(settings),
            self.datagrams.send,
            clock,
            rng,
            metrics,
        )
        self.datagrams.receive = self.limiter.receive
        self.gate = QuotaGate(self.limiter, rng)
        self.participants = QuotaParticipants(
            fleet.gossip_table(QUOTA_TABLE), fleet.membership, clock
        )
        self.changed = anyio.Event()
        self.started_at = clock.now()
        self.is_first_start = settings.is_first_start
        log.listeners.append(self._notify)

    async def run(self) -> None:
        """Keep the list of daemons up to date until cancelled."""
        while True:
            if self._has_limits():
                await self._open()
                self._update()
            changed = self.changed
            with anyio.move_on_after(seconds_of(_UPDATE_INTERVAL)):
                await changed.wait()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed bounds."""
        self.limiter.ledger.bounds = make_quota_bounds(settings)

    def status(self) -> Mapping[str, Any]:
        """Return the limit and the use of each workspace with recent calls."""
        now = self.clock.now()
        status = {}
        for name, use in self.limiter.uses.items():
            workspace = self._find_workspace(name)
            if workspace is None:
                continue
            status[name] = {
                'rate': workspace.rate,
                'burst': workspace.burst,
                'owned': name in self.limiter.ledger.shares,
                **use.figures(now)._asdict(),
            }
        return status

    def update_gauges(self) -> None:
        """Set the gauges of each workspace with recent calls."""
        gauges = self.metrics.gauges
        for old in tuple(gauges):
            if old.startswith(_GAUGE_PREFIX):
                gauges.pop(old)
        for workspace, figures in self.status().items():
            label = _UNUSABLE.sub('_', workspace)
            for name, figure in figures.items():
                self.metrics.gauge(
                    f'{_GAUGE_PREFIX}{label}.{name}', float(figure)
                )

    def _find_workspace(self, name: str) -> Workspace | None:
        current = self.log.current
        if current is None or current.workspaces is None:
            return None
        return current.workspaces.get(name)

    def _joint_start_time(self) -> Millis:
        """Return for how long owners need not wait until others have stopped.

        If the whole fleet has started together, for the first time or after a
        loss of power, no owner can still grant tokens by an older list.
        """
        if self.is_first_start or self.fleet.size.is_joint_start():
            return _JOINT_START_TIME
        return 0

    def _has_limits(self) -> bool:
        current = self.log.current
        if current is None or current.workspaces is None:
            return False
        return any(one.rate for one in current.workspaces.values())

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _open(self) -> None:
        if self.datagrams.is_open():
            return
        try:
            await self.datagrams.open(self.peer_address)
        except OSError as error:
            _logger.warning(
                'cannot open the port for quotas',
                extra={'address': self.peer_address, 'why': repr(error)},
            )
            await self.clock.sleep(_RETRY_INTERVAL)

    def _update(self) -> None:
        self.participants.announce()
        known = self.fleet.size.largest_known()
        supposed = self.fleet.size.estimate()
        ownership = self.limiter.ownership
        ownership.is_first_until = self.started_at + self._joint_start_time()
        ownership.assumed_size = supposed if supposed > known else 1
        self.limiter.update(
            self.participants.domains(), known, self.participants.leaving()
        )


def make_quota_bounds(settings: NodeSettings) -> QuotaBounds:
    """Return the bounds of quotas from the settings."""
    return QuotaBounds(
        settings.quota_window, settings.quota_overshoot, settings.quota_slack
    )
