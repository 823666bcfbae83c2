"""A planned stop breaks no call, and a leaving upstream gets no new calls."""

from functools import partial

import anyio
import pytest
from cowslippond_standins._address import Address
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import (
    DaemonHandle,
    UpstreamHandle,
    UpstreamPlan,
)
from cowslippond_standins.load._audit import audit
from cowslippond_standins.load._generator import LoadGenerator
from cowslippond_standins.load._plan import Mix, Phase, plan_calls
from cowslippond_standins.load._report import Report
from integration.client import (
    CHECKOUT,
    DOMAINS,
    apply,
    call,
    wait_until,
)

pytestmark = pytest.mark.anyio

SERVICE = 'shop-checkout'
MIX = Mix(
    'shop.example',
    '/checkout/status',
    '/checkout/orders',
    order_share=0.3,
    repeat_share=0.2,
    repeat_after_ms=700,
    sizes=(0, 256, 20_000),
    caller_header='x-caller',
)
RETIRE_LIMIT_MS = 15_000
# User requirement: no new calls a few seconds after an upstream starts to
# leave.
NO_NEW_WORK_AFTER_MS = 3000


async def start_fleet(
    deployment: Deployment, daemons: int = 3
) -> list[UpstreamHandle]:
    upstreams = await deployment.add_upstreams(
        UpstreamPlan(SERVICE, seed=5), (*DOMAINS, *DOMAINS), queue=8
    )
    await apply(deployment, CHECKOUT)
    for index in range(daemons):
        daemon = await deployment.add_daemon(DOMAINS[index % len(DOMAINS)])
        await deployment.wait_serving(daemon)
    return upstreams


async def run_load(
    targets: list[Address], reports: list[Report], seconds: float
) -> None:
    calls = plan_calls([Phase(seconds * 1000, 120)], [MIX], seed=11)
    reports.append(await LoadGenerator(targets, seed=11).run(calls))


async def count_received(upstream: UpstreamHandle) -> int:
    """Return how many calls an upstream received, including refused ones."""
    counters = (await upstream.ledger())['counters']
    refused = counters.get('draining', 0) + counters.get('shed', 0)
    return int(counters.get('runs', 0)) + int(refused)


class TestDaemons:
    async def test_rolling_replacement_breaks_no_call(
        self, deployment: Deployment
    ) -> None:
        """Every daemon is replaced in turn under load."""
        await start_fleet(deployment)
        balancer = await deployment.add_balancer()

        async def is_served() -> bool:
            return (await call(balancer)).status == 200

        await wait_until(is_served)
        reports: list[Report] = []
        codes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_load, [balancer], reports, 22)
            await anyio.sleep(1)
            for old in list(deployment.daemons):
                new = await deployment.add_daemon(old.failure_domain)
                await deployment.wait_serving(new)
                codes.append(await deployment.retire(old, RETIRE_LIMIT_MS))

        assert codes == [0, 0, 0]
        found = audit(reports[0].records, await deployment.runs())
        assert found.is_clean(), found
        assert set(reports[0].outcomes) == {'answered'}, reports[0].outcomes


class TestUpstreams:
    async def test_upstream_marked_leaving_in_vm_list(
        self, deployment: Deployment
    ) -> None:
        """Only the VM list, which lags by 1 s, reports that it leaves."""
        await deployment.platform.control('set_lag', lag_ms=1000)
        upstreams = await start_fleet(deployment)
        await self._retire_and_check(
            deployment, upstreams[0], reports_leaving=False
        )

    async def test_upstream_reports_leaving_in_answer(
        self, deployment: Deployment
    ) -> None:
        """With the list and the table down, one answer informs all daemons."""
        upstreams = await start_fleet(deployment)
        await deployment.platform.control(
            'set_faults', part='list', outage='cut'
        )
        await deployment.platform.control(
            'set_faults', part='table', outage='cut'
        )
        await self._retire_and_check(
            deployment, upstreams[0], reports_leaving=True
        )

    async def test_returning_address_is_a_new_vm(
        self, deployment: Deployment
    ) -> None:
        """A new VM at the address of one that left receives calls."""
        upstreams = await start_fleet(deployment)
        leaving = upstreams[0]
        await self._retire_and_check(deployment, leaving, reports_leaving=True)
        await leaving.change(draining=False)
        before = await count_received(leaving)
        await deployment.platform.control('remove_vm', vm=leaving.vm)
        await deployment.register_upstream(leaving)
        targets = [daemon.caller_address for daemon in deployment.daemons]
        reports: list[Report] = []
        await anyio.sleep(2)
        await run_load(targets, reports, 3)
        assert await count_received(leaving) > before

    async def _retire_and_check(
        self,
        deployment: Deployment,
        leaving: UpstreamHandle,
        *,
        reports_leaving: bool,
    ) -> None:
        targets = [daemon.caller_address for daemon in deployment.daemons]
        reports: list[Report] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_load, targets, reports, 8)
            await anyio.sleep(2)
            if reports_leaving:
                await leaving.change(draining=True)
            else:
                await deployment.platform.set_state(leaving.vm, 'leaving')
            assert await count_received(leaving) > 0
            await anyio.sleep(NO_NEW_WORK_AFTER_MS / 1000)
            before = await count_received(leaving)
        assert await count_received(leaving) == before
        found = audit(reports[0].records, await deployment.runs())
        assert found.is_clean(), found
        if reports_leaving:
            await wait_until(
                partial(self._all_mark_leaving, deployment, leaving)
            )

    async def _all_mark_leaving(
        self, deployment: Deployment, leaving: UpstreamHandle
    ) -> bool:
        for daemon in deployment.daemons:
            if not await self._marks_leaving(daemon, leaving):
                return False
        return True

    async def _marks_leaving(
        self, daemon: DaemonHandle, leaving: UpstreamHandle
    ) -> bool:
        status = await daemon.status()
        return str(leaving.address) in status['leaving_upstreams']
