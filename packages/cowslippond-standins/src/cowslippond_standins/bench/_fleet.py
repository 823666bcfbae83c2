"""The deployment that the benchmark measures."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import anyio
from cowslippond_core import Millis

from cowslippond_standins.bench import _policies
from cowslippond_standins.bench._scenarios import Scenario
from cowslippond_standins.bench.daemon import POLICY_FILE_VARIABLE
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import UpstreamHandle, UpstreamPlan

_MEAN_MS: Millis = 8
_DOMAINS = ('a', 'b', 'c')
_MILLIS_PER_SECOND = 1000
_DISCOVERY_SECONDS = 3
_BATCH_QUEUE = 8
_STORES = ('table', 'objects')


class FleetPlan(NamedTuple):
    """The size of a deployment.

    ``slots`` is the number of slots of each upstream. All times of the
    upstreams are multiplied by ``stretch``.
    """

    upstreams: int
    slots: int
    daemons: int
    stretch: float

    def mean_ms(self) -> Millis:
        """Return the mean service time of a call."""
        return _MEAN_MS * self.stretch

    def batch_capacity(self) -> float:
        """Return the calls per second of batch upstreams at full speed."""
        return self.capacity() * len(_DOMAINS) / self.upstreams

    def capacity(self) -> float:
        """Return the calls per second of measured upstreams at full speed."""
        return self.upstreams * self.slots / self.mean_ms() * _MILLIS_PER_SECOND


class Fleet:
    """Upstreams and daemons whose routing policy can be switched.

    Each measured upstream is listed under all services of the benchmark, so
    that every policy uses the same upstreams. The batch service has separate
    ones.
    """

    def __init__(self, deployment: Deployment, plan: FleetPlan) -> None:
        self.deployment = deployment
        self.plan = plan
        self.measured_upstreams: list[UpstreamHandle] = []
        self.policy_path = deployment.folder / 'policy'

    async def start(self) -> None:
        """Start all processes and wait until all daemons serve calls."""
        self.switch_policy('least')
        await self._add_upstreams()
        self.measured_upstreams = list(self.deployment.upstreams)
        await self._add_batch_upstreams()
        for text in _policies.documents(self.plan.mean_ms()):
            await self.deployment.accept(text)
        async with anyio.create_task_group() as group:
            for index in range(self.plan.daemons):
                domain = _DOMAINS[index % len(_DOMAINS)]
                group.start_soon(self._add_daemon, domain)
        for daemon in self.deployment.daemons:
            await self.deployment.wait_serving(daemon)
        await anyio.sleep(_DISCOVERY_SECONDS)

    def switch_policy(self, routing: str) -> None:
        """Switch the routing policy of all daemons.

        The file is replaced atomically, so that no daemon reads a partial name.
        """
        draft = self.policy_path.with_suffix('.draft')
        draft.write_text(routing)
        draft.rename(self.policy_path)

    async def set_behaviour(self, scenario: Scenario) -> None:
        """Set the behaviour of the measured upstreams for a scenario."""
        for index, upstream in enumerate(self.measured_upstreams):
            behaviour = dict(scenario.base_behaviour)
            if self._is_affected(scenario, index):
                behaviour.update(scenario.affected_behaviour)
            stretched = self._stretch(behaviour)
            await upstream.change(queue=scenario.queue, **stretched)

    async def start_scenario(self, scenario: Scenario) -> None:
        """Apply the restarts and store faults, then clear the ledgers."""
        if scenario.restarts:
            for upstream in self.measured_upstreams:
                await upstream.restart()
        for part in _STORES:
            await self.deployment.platform.control(
                'set_faults', part=part, outage=scenario.store_outage
            )
        await self.clear_ledgers()

    async def clear_ledgers(self) -> None:
        """Delete the recorded runs and probes of the measured upstreams."""
        for upstream in self.measured_upstreams:
            await upstream.clear()

    async def finish_scenario(self) -> list[Mapping[str, Any]]:
        """Clear the faults of the platform and return the ledgers."""
        await self.deployment.platform.control('clear_faults')
        return [await upstream.ledger() for upstream in self.measured_upstreams]

    def daemon_ids(self) -> list[int]:
        """Return the process ids of the daemons."""
        return [daemon.child.popen.pid for daemon in self.deployment.daemons]

    def _stretch(self, behaviour: Mapping[str, Any]) -> Mapping[str, Any]:
        return {
            name: setting * self.plan.stretch
            if name.endswith('_ms')
            else setting
            for name, setting in behaviour.items()
        }

    def _is_affected(self, scenario: Scenario, index: int) -> bool:
        if scenario.affected_count:
            return index < scenario.affected_count
        return index % len(_DOMAINS) == 0

    async def _add_upstreams(self) -> None:
        names = _policies.services()
        for index in range(self.plan.upstreams):
            domain = _DOMAINS[index % len(_DOMAINS)]
            plan = UpstreamPlan(
                names[0], self.plan.mean_ms(), self.plan.slots, seed=index
            )
            added = await self.deployment.add_upstreams(plan, [domain])
            for service in names[1:]:
                relisted = added[0]._replace(
                    vm=f'{service}-{index}', service=service
                )
                await self.deployment.register_upstream(relisted)

    async def _add_batch_upstreams(self) -> None:
        plan = UpstreamPlan(
            _policies.BATCH, self.plan.mean_ms(), self.plan.slots
        )
        await self.deployment.add_upstreams(plan, _DOMAINS, queue=_BATCH_QUEUE)

    async def _add_daemon(self, domain: str) -> None:
        await self.deployment.add_daemon(
            domain,
            environment={POLICY_FILE_VARIABLE: str(self.policy_path)},
            module='cowslippond_standins.bench.daemon',
        )
