"""Looks for peers while this daemon cannot send calls to upstreams."""

import contextlib
import random
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._isolation import run_contained
from cowslippond_core.dispatch._relay_peers import RelayPeers
from cowslippond_core.dispatch._service import Service
from cowslippond_core.placing._selector import accepts_calls

_INTERVAL: Millis = 250
_REFRESH_INTERVAL: Millis = 1000

# New connections tried per interval and service.
_PROBES = 2


class ReachWatch:
    """Runs while a service is out of reach, or this daemon has no share of it.

    :param relays: the peers that relay calls meanwhile.
    :param list_services: returns the services in use.
    :param count_daemons: returns how many daemons share the limit on probes.
    :param tasks: runs the watch.
    :param clock: the clock of all times.
    :param rng: chooses the upstreams to try.
    """

    def __init__(
        self,
        relays: RelayPeers,
        list_services: Callable[[], Iterable[Service]],
        count_daemons: Callable[[], int],
        tasks: TaskGroup,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.relays = relays
        self.list_services = list_services
        self.count_daemons = count_daemons
        self.tasks = tasks
        self.clock = clock
        self.rng = rng
        self.is_running = False

    def start(self) -> None:
        """Start the watch unless it runs."""
        if not self.is_running:
            self.is_running = True
            self.tasks.start_soon(run_contained, self._run)

    def services_out_of_reach(self) -> list[Service]:
        """Return the services that calls cannot reach over new connections."""
        return [
            service
            for service in self.list_services()
            if service.upstreams.reach.is_cut(needs_connection=True)
        ]

    def services_without_share(self) -> list[Service]:
        """Return the services of whose limits other daemons hold all parts."""
        now = self.clock.now()
        return [one for one in self.list_services() if one.lacks_share(now)]

    async def _run(self) -> None:
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._record_end)
            while self.services_out_of_reach() or self.services_without_share():
                await self._check()
                await self.clock.sleep(_INTERVAL)

    def _record_end(self) -> None:
        self.is_running = False

    async def _check(self) -> None:
        now = self.clock.now()
        if now - self.relays.refreshed_at >= _REFRESH_INTERVAL:
            await self.relays.refresh()
        services = self.services_out_of_reach()
        for waiting in services:
            waiting.placer.notify_capacity_change()
        async with anyio.create_task_group() as probes:
            for service in services:
                probes.start_soon(self._probe, service)

    async def _probe(self, service: Service) -> None:
        now = self.clock.now()
        upstreams = [
            upstream
            for upstream in service.upstreams.by_address.values()
            if accepts_calls(upstream, now)
        ]
        allowed = service.placer.probe_limiter.acquire(
            min(_PROBES, len(upstreams)),
            len(upstreams),
            self.count_daemons(),
            now,
        )
        async with anyio.create_task_group() as probes:
            for upstream in self.rng.sample(upstreams, allowed):
                probes.start_soon(
                    run_contained, service.prober.probe_new_connection, upstream
                )
