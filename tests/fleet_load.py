"""Steady calls to all daemons of a deployment."""

import itertools

import anyio
from cowslippond_core import Millis, seconds_of
from cowslippond_standins.fleet import (
    DOMAINS,
    Backend,
    Caller,
    CallResult,
    FleetDeployment,
    Node,
    route,
)

DISCOVERY_SECONDS = 3


class FleetLoad:
    """Daemons in all failure domains, and a caller of each."""

    def __init__(self, fleet: FleetDeployment) -> None:
        self.fleet = fleet
        self.numbers = itertools.count()
        self.callers: list[Caller] = []

    async def start(self, backends: int, daemons: int) -> list[Backend]:
        """Start back ends of one service, and daemons."""
        domains = itertools.cycle(DOMAINS)
        started = [
            await self.fleet.add_backend('catalogue', domain=domain)
            for domain, _ in zip(domains, range(backends))
        ]
        self.fleet.configure({'prints': route('catalogue', prefix='/prints/')})
        for domain, _ in zip(itertools.cycle(DOMAINS), range(daemons)):
            self.add_caller(await self.fleet.add_node(domain))
        await anyio.sleep(DISCOVERY_SECONDS)
        return started

    def add_caller(self, node: Node) -> None:
        """Send calls to a daemon, too."""
        self.callers.append(
            Caller(
                node.name,
                node.caller_address,
                self.fleet.tasks,
                self.fleet.clock,
            )
        )

    async def send(
        self, seconds: float, interval: Millis = 100
    ) -> list[CallResult]:
        """Send calls to each daemon at a constant rate; return the results."""
        since = self.fleet.clock.now()
        async with anyio.create_task_group() as tasks:
            for caller in self.callers:
                tasks.start_soon(self._send_from, caller, seconds, interval)
        return [
            call_result
            for caller in self.callers
            for call_result in caller.call_results
            if call_result.sent_at >= since
        ]

    async def _send_from(
        self, caller: Caller, seconds: float, interval: Millis
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(int(seconds * 1000 / interval)):
                number = next(self.numbers)
                tasks.start_soon(
                    caller.send_request, f'{caller.node}-{number}', '/prints/1'
                )
                await anyio.sleep(seconds_of(interval))


def calls_between(backend: Backend, start: Millis, end: Millis) -> int:
    """Return the calls that a back end got within a span."""
    return sum(start <= run.at < end for run in backend.runs)


def busiest_second(backend: Backend, start: Millis, end: Millis) -> int:
    """Return the most calls that a back end got in any second of a span."""
    times = [run.at for run in backend.runs if start <= run.at < end]
    return max(
        (sum(first <= at < first + 1000 for at in times) for first in times),
        default=0,
    )
