"""Real daemons refuse a revoked key wherever its calls are."""

import signal
from functools import partial

import anyio
import pytest
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    CallResult,
    FleetDeployment,
    Verdict,
)
from fleet.keyed_shop import (
    APPLY_MS,
    SECOND_KEY,
    caller_of,
    configure,
    start,
    wait_refused,
)

pytestmark = pytest.mark.anyio


class TestRevocation:
    async def test_key_is_refused_on_an_open_connection(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start(fleet, nodes=3)
        revoked = [caller_of(fleet, node) for node in nodes]
        kept = [caller_of(fleet, node, SECOND_KEY) for node in nodes]
        added = [caller_of(fleet, node, 'new-1e2d') for node in nodes]
        for caller in (*revoked, *kept):
            assert (
                await caller.send_request('p', '/prints/1')
            ).verdict is Verdict.GOOD
        configure(fleet, (SECOND_KEY, 'new-1e2d'))
        times: list[float] = []

        async def measure(caller: Caller) -> None:
            times.append(await wait_refused(caller, fleet))

        async with anyio.create_task_group() as tasks:
            for caller in revoked:
                tasks.start_soon(measure, caller)
        assert max(times) <= APPLY_MS
        for caller in (*kept, *added):
            assert (
                await caller.send_request('q', '/prints/1')
            ).verdict is Verdict.GOOD

    async def test_daemon_that_the_store_refuses_hears_of_it_from_peers(
        self, fleet: FleetDeployment
    ) -> None:
        await start(fleet, nodes=2)
        link = await fleet.proxy.open('store', fleet.store_address)
        node = await fleet.add_node(DOMAINS[2], link.address)
        await anyio.sleep(1)
        await fleet.proxy.command('faults', link, refuse_new=True)
        await fleet.proxy.command('cut', link)
        configure(fleet, (SECOND_KEY,))
        assert await wait_refused(caller_of(fleet, node), fleet) <= APPLY_MS

    async def test_paused_daemon_refuses_the_key_soon_after_it_resumes(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start(fleet, nodes=3))[2]
        await anyio.sleep(1)
        node.child.popen.send_signal(signal.SIGSTOP)
        configure(fleet, (SECOND_KEY,))
        await anyio.sleep(4)
        node.child.popen.send_signal(signal.SIGCONT)
        assert await wait_refused(caller_of(fleet, node), fleet) <= APPLY_MS

    async def test_waiting_call_is_refused_and_running_ones_complete(
        self, fleet: FleetDeployment
    ) -> None:
        await start(fleet)
        # No slot becomes free within the time that the refusal may take.
        slow = await fleet.add_backend('slow', mean_work=7000)
        slow.queue_limit = 0
        await anyio.sleep(2.5)
        node = fleet.nodes[0]
        caller = caller_of(fleet, node)
        async with anyio.create_task_group() as tasks:
            for number in range(slow.slots + 1):
                tasks.start_soon(
                    partial(
                        caller.send_request,
                        f's{number}',
                        '/slow/1',
                        deadline=20_000,
                    )
                )
                await anyio.sleep(0.3)
            assert len(slow.runs) == slow.slots
            configure(fleet, (SECOND_KEY,))
            revoked_at = fleet.clock.now()
        by_status: dict[int, list[CallResult]] = {}
        for one in caller.call_results:
            by_status.setdefault(one.status, []).append(one)
        assert len(by_status[200]) == slow.slots
        refused = by_status[401][0]
        assert refused.sent_at + refused.duration <= revoked_at + APPLY_MS
        assert len(slow.runs) == slow.slots

    @pytest.mark.parametrize('is_revoked', [True, False])
    async def test_lost_call_is_not_sent_again_with_a_revoked_key(
        self, fleet: FleetDeployment, is_revoked: bool
    ) -> None:
        await start(fleet)
        losing = await fleet.add_backend('slow', mean_work=4000)
        losing.faults.lose = 1
        await anyio.sleep(1)
        caller = caller_of(fleet, fleet.nodes[0])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                partial(caller.send_request, 's', '/slow/1', deadline=15_000)
            )
            with anyio.fail_after(5):
                while not losing.runs:
                    await anyio.sleep(0.02)
            good = await fleet.add_backend('slow', mean_work=20)
            if is_revoked:
                configure(fleet, (SECOND_KEY,))
        expected = (504, 0) if is_revoked else (200, 1)
        assert (caller.call_results[0].status, len(good.runs)) == expected

    async def test_restarted_daemon_does_not_go_back(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start(fleet, nodes=2)
        configure(fleet, (SECOND_KEY,))
        for node in nodes:
            await wait_refused(caller_of(fleet, node), fleet)
        fleet.store.faults.mode = 'refusing'
        nodes[0].child.kill()
        await nodes[0].child.wait(5000)
        restarted = await fleet.restart_node(nodes[0])
        caller = caller_of(fleet, restarted)
        assert (await caller.send_request('p', '/prints/1')).status == 401
