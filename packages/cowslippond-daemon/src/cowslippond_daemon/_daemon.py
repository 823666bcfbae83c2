"""The daemon: startup, serving and graceful shutdown."""

import logging
from collections.abc import Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import KEEP_ALIVE_MARGIN_MS, Clock, Settings

from cowslippond_daemon._admin import Admin
from cowslippond_daemon._calls import CallRouter
from cowslippond_daemon._components import DaemonComponents, build_components
from cowslippond_daemon._edge import Edge
from cowslippond_daemon._retirement import (
    DaemonState,
    RetirementPlan,
    wait_for_stop,
)
from cowslippond_daemon._servers import DaemonServer, make_server
from cowslippond_daemon._status import build_status

_logger = logging.getLogger(__name__)

_MILLIS_PER_SECOND = 1000

# Idle connections stay open for longer than advertised to callers, so that a
# call sent at the last moment is still served.
_KEEP_ALIVE_MARGIN_SECONDS = KEEP_ALIVE_MARGIN_MS // _MILLIS_PER_SECOND


class Daemon:
    """One load balancer process.

    :param settings: the validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.state = DaemonState.STARTING
        self.stop_requested = anyio.Event()

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        async with anyio.create_task_group() as tasks:
            components = build_components(self.settings, tasks, self.clock)
            tasks.start_soon(wait_for_stop, self.stop_requested.set)
            await tasks.start(components.spread.run)
            tasks.start_soon(components.backlog.run)
            tasks.start_soon(components.metrics.run, self.clock)
            await self._serve(tasks, components)
            tasks.cancel_scope.cancel()

    async def _serve(
        self, tasks: TaskGroup, components: DaemonComponents
    ) -> None:
        keep_alive = int(self.settings.keep_alive_ms // _MILLIS_PER_SECOND)
        edge = Edge(CallRouter(components), keep_alive)
        callers = make_server(
            edge,
            self.settings.caller_address,
            keep_alive + _KEEP_ALIVE_MARGIN_SECONDS,
        )
        admin = make_server(
            Admin(
                lambda: self._is_ready(components),
                lambda: self._status(components, edge),
            ),
            self.settings.admin_address,
            keep_alive,
        )
        tasks.start_soon(admin.serve)
        tasks.start_soon(callers.serve)
        self.state = DaemonState.SERVING
        _logger.info('serving', extra={'vm': self.settings.vm})
        await self.stop_requested.wait()
        await self._retire(components, edge, callers)

    async def _retire(
        self, components: DaemonComponents, edge: Edge, callers: DaemonServer
    ) -> None:
        self.state = DaemonState.LEAVING
        components.spread.announce_leaving()
        retire = self.settings.retire
        plan = RetirementPlan(self.clock, retire.lag_ms, retire.limit_ms)
        await plan.retire(
            edge, callers, lambda: not components.backlog.is_idle()
        )
        _logger.info('stopped', extra={'vm': self.settings.vm})

    def _is_ready(self, components: DaemonComponents) -> bool:
        if self.state is not DaemonState.SERVING:
            return False
        return components.catalogue.is_fresh(self.clock.now())

    def _status(
        self, components: DaemonComponents, edge: Edge
    ) -> Mapping[str, Any]:
        return {
            'vm': self.settings.vm,
            'state': self.state,
            'ready': self._is_ready(components),
            'running_calls': edge.active_calls,
            **build_status(components),
        }
