"""The daemon: starts its parts, serves callers, stops as planned."""

import logging
from collections.abc import Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import KEEP_ALIVE_MARGIN_MS, Clock, Settings

from cowslippond_daemon._admin import Admin
from cowslippond_daemon._calls import CallRouter
from cowslippond_daemon._edge import Edge
from cowslippond_daemon._parts import DaemonParts, build_parts
from cowslippond_daemon._retirement import (
    DaemonState,
    RetirementPlan,
    wait_for_stop,
)
from cowslippond_daemon._servers import DaemonServer, make_server
from cowslippond_daemon._status import describe

_log = logging.getLogger(__name__)

_MILLIS_PER_SECOND = 1000

# Idle connections stay open longer than callers are told, so that a call sent
# at the last moment is still served.
_KEEP_ALIVE_MARGIN_SECONDS = KEEP_ALIVE_MARGIN_MS // _MILLIS_PER_SECOND


class Daemon:
    """One load balancer process.

    :param settings: the checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.state = DaemonState.STARTING
        self.stop_asked = anyio.Event()

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        async with anyio.create_task_group() as tasks:
            parts = build_parts(self.settings, tasks, self.clock)
            tasks.start_soon(wait_for_stop, self.stop_asked.set)
            await tasks.start(parts.spread.run)
            tasks.start_soon(parts.backlog.run)
            tasks.start_soon(parts.metrics.run, self.clock)
            await self._serve(tasks, parts)
            tasks.cancel_scope.cancel()

    async def _serve(self, tasks: TaskGroup, parts: DaemonParts) -> None:
        keep_alive = int(self.settings.keep_alive_ms // _MILLIS_PER_SECOND)
        edge = Edge(CallRouter(parts), keep_alive)
        callers = make_server(
            edge,
            self.settings.caller_address,
            keep_alive + _KEEP_ALIVE_MARGIN_SECONDS,
        )
        admin = make_server(
            Admin(
                lambda: self._is_ready(parts),
                lambda: self._status(parts, edge),
            ),
            self.settings.admin_address,
            keep_alive,
        )
        tasks.start_soon(admin.serve)
        tasks.start_soon(callers.serve)
        self.state = DaemonState.SERVING
        _log.info('serving', extra={'vm': self.settings.vm})
        await self.stop_asked.wait()
        await self._retire(parts, edge, callers)

    async def _retire(
        self, parts: DaemonParts, edge: Edge, callers: DaemonServer
    ) -> None:
        self.state = DaemonState.LEAVING
        parts.spread.announce_leaving()
        retire = self.settings.retire
        plan = RetirementPlan(self.clock, retire.lag_ms, retire.limit_ms)
        await plan.retire(edge, callers, lambda: not parts.backlog.is_idle())
        _log.info('stopped', extra={'vm': self.settings.vm})

    def _is_ready(self, parts: DaemonParts) -> bool:
        if self.state is not DaemonState.SERVING:
            return False
        return parts.catalogue.is_fresh(self.clock.now())

    def _status(self, parts: DaemonParts, edge: Edge) -> Mapping[str, Any]:
        return {
            'vm': self.settings.vm,
            'state': self.state,
            'ready': self._is_ready(parts),
            'running_calls': edge.running,
            **describe(parts),
        }
