"""Real daemons serve what the store's configuration says."""

from types import MappingProxyType

import anyio
import pytest
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

ROUTES = MappingProxyType(
    {
        'prints': route('catalogue', prefix='/prints/'),
        'orders': route('checkout', prefix='/orders/', is_idempotent=False),
    }
)


async def start_shop(fleet: FleetDeployment, nodes: int = 1) -> list[Node]:
    for domain in DOMAINS:
        await fleet.add_backend('catalogue', domain=domain)
    for domain in DOMAINS[:2]:
        await fleet.add_backend('checkout', domain=domain)
    fleet.configure(ROUTES)
    return await fleet.add_nodes(DOMAINS[:nodes])


def make_caller(fleet: FleetDeployment, node: Node) -> Caller:
    return Caller(node.name, node.caller_address, fleet.tasks, fleet.clock)


class TestServing:
    async def test_each_kind_of_request_gets_its_own_whole_answer(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start_shop(fleet))[0]
        caller = make_caller(fleet, node)
        for number in range(30):
            await caller.send_request(f'p{number}', f'/prints/{number}')
            await caller.send_request(
                f'o{number}', f'/orders/{number}', method='POST'
            )
        assert {call_result.verdict for call_result in caller.call_results} == {
            Verdict.GOOD
        }

    async def test_a_path_without_route_is_not_found(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start_shop(fleet))[0]
        call_result = await make_caller(fleet, node).send_request(
            'x', '/nothing/'
        )
        assert call_result.status == 404

    async def test_a_daemon_without_configuration_is_not_ready(
        self, fleet: FleetDeployment
    ) -> None:
        """A 404 before any configuration would deny what is allowed."""
        fleet.store.faults.mode = 'refusing'
        with pytest.raises(TimeoutError):
            with anyio.fail_after(2):
                await fleet.add_node(DOMAINS[0])
        node = fleet.nodes[0]
        call_result = await make_caller(fleet, node).send_request(
            'x', '/prints/1'
        )
        assert call_result.status == 503

    async def test_an_order_is_run_once_when_its_answer_is_lost(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start_shop(fleet))[0]
        for backend in fleet.backends:
            backend.faults.lose = 1
        call_result = await make_caller(fleet, node).send_request(
            'o', '/orders/1', method='POST'
        )
        runs = [run for one in fleet.backends for run in one.runs]
        assert [run.request_id for run in runs] == ['o']
        assert call_result.verdict is Verdict.FAILED

    async def test_answers_that_are_spoiled_never_reach_a_caller(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start_shop(fleet))[0]
        for backend in fleet.backends:
            backend.faults.truncate = 0.1
            backend.faults.extra = 0.2
            backend.faults.unframed = 0.1
        caller = make_caller(fleet, node)
        for number in range(60):
            await caller.send_request(f'p{number}', f'/prints/{number}')
        assert Verdict.WRONG not in {
            call_result.verdict for call_result in caller.call_results
        }
        good = [
            one for one in caller.call_results if one.verdict is Verdict.GOOD
        ]
        assert len(good) >= 55


class TestConfiguration:
    async def test_a_new_version_is_in_force_within_two_seconds(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start_shop(fleet, nodes=3)
        fleet.configure({'stock': route('catalogue', prefix='/stock/')})
        await anyio.sleep(2)
        for node in nodes:
            caller = make_caller(fleet, node)
            assert (
                await caller.send_request('s', '/stock/1')
            ).verdict is Verdict.GOOD
            assert (await caller.send_request('p', '/prints/1')).status == 404

    async def test_traffic_goes_on_while_the_store_is_down(
        self, fleet: FleetDeployment
    ) -> None:
        node = (await start_shop(fleet))[0]
        fleet.store.faults.mode = 'silent'
        await anyio.sleep(3)
        call_result = await make_caller(fleet, node).send_request(
            'p', '/prints/1'
        )
        assert call_result.verdict is Verdict.GOOD

    async def test_changed_settings_are_applied_without_an_end(
        self, fleet: FleetDeployment
    ) -> None:
        """SIGHUP ended the process."""
        node = (await start_shop(fleet))[0]
        text = node.settings.read_text()
        node.settings.write_text(
            text.replace('probes_per_s = 60', 'probes_per_s = 20')
        )
        node.child.popen.send_signal(1)
        with anyio.fail_after(5):
            while 'settings reloaded' not in node.child.log():
                await anyio.sleep(0.05)
        assert node.child.is_running()


# As the settings of the deployment say, in milliseconds.
DRAIN_GRACE_MS = 6000


class TestLeaving:
    async def test_no_daemon_sends_to_an_upstream_that_leaves(
        self, fleet: FleetDeployment
    ) -> None:
        nodes = await start_shop(fleet, nodes=3)
        leaving = fleet.backends[0]
        fleet.list_backend(leaving, 'catalogue', DOMAINS[0], 'draining')
        await anyio.sleep(2)
        before = len(leaving.runs)
        for node in nodes:
            caller = make_caller(fleet, node)
            for number in range(20):
                await caller.send_request(f'{node.name}-{number}', '/prints/1')
        assert len(leaving.runs) == before

    async def test_a_planned_stop_cuts_nothing(
        self, fleet: FleetDeployment
    ) -> None:
        node, _ = await start_shop(fleet, nodes=2)
        caller = make_caller(fleet, node)
        async with anyio.create_task_group() as tasks:
            for number in range(150):
                tasks.start_soon(caller.send_request, f'p{number}', '/prints/1')
                if number == 40:
                    node.child.ask_to_stop()
                await anyio.sleep(0.02)
        assert {call_result.verdict for call_result in caller.call_results} == {
            Verdict.GOOD
        }
        assert not await node.is_ready()
        assert await node.child.wait(8000) == 0

    async def test_a_planned_stop_ends_beside_a_caller_that_went_silent(
        self, fleet: FleetDeployment
    ) -> None:
        """A daemon waited on for half a body until it was killed."""
        node, _ = await start_shop(fleet, nodes=2)
        stream = await anyio.connect_tcp(*node.caller_address)
        async with stream:
            await stream.send(
                b'POST /prints/1 HTTP/1.1\r\nhost: shop.example\r\n'
                b'content-length: 10\r\n\r\nhalf'
            )
            await anyio.sleep(0.3)
            node.child.ask_to_stop()
            assert await node.child.wait(DRAIN_GRACE_MS) == 0


class TestSilentStore:
    async def test_a_change_that_open_calls_are_silent_about_is_in_force(
        self, fleet: FleetDeployment
    ) -> None:
        """The store forgot its history, and open calls heard of no change."""
        nodes = await start_shop(fleet, nodes=3)
        await anyio.sleep(1)
        fleet.store.hang_open_feeds()
        fleet.configure({'stock': route('catalogue', prefix='/stock/')})
        await anyio.sleep(2)
        for node in nodes:
            call_result = await make_caller(fleet, node).send_request(
                's', '/stock/1'
            )
            assert call_result.verdict is Verdict.GOOD


class TestPeers:
    async def test_a_daemon_cut_off_from_the_store_learns_from_its_peers(
        self, fleet: FleetDeployment
    ) -> None:
        """Daemons with other addresses of the store took no news (seed 7)."""
        await start_shop(fleet, nodes=1)
        link = await fleet.proxy.open('store', fleet.store_address)
        node = await fleet.add_node(DOMAINS[1], link.address)
        await anyio.sleep(1)
        await fleet.proxy.command('faults', link, refuse_new=True)
        await fleet.proxy.command('cut', link)
        fleet.configure({'stock': route('catalogue', prefix='/stock/')})
        await anyio.sleep(2)
        call_result = await make_caller(fleet, node).send_request(
            's', '/stock/1'
        )
        assert call_result.verdict is Verdict.GOOD
