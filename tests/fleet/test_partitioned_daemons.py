"""Daemons that have lost all upstreams, but not their callers and peers."""

from collections import Counter

import anyio
import httpcore
import pytest
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Verdict,
    route,
)
from fleet.partitioned_shop import (
    CONTACT_SECONDS,
    INTERVAL_SECONDS,
    Shop,
    first_tries,
    good_ones,
    relayed_calls,
)

pytestmark = pytest.mark.anyio

# What the users allow: callers of the partitioned daemons are served at least
# two thirds as often as others, once this time has passed, or no more than some
# first tries fail.
MIN_SHARE = 2 / 3
FREE_FAILURES = 10
FREE_SHARE = 1 / 50


def served_share(callers: list[Caller], since: float) -> float:
    results = first_tries(callers, since)
    return len(good_ones(results)) / len(results)


class TestPartitionedDaemon:
    @pytest.mark.parametrize('mode', ['hang', 'reset', 'live'])
    async def test_serves_its_callers_while_peers_reach_the_upstreams(
        self, fleet: FleetDeployment, mode: str
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        await shop.send_calls(CONTACT_SECONDS)
        shop.cut(mode)
        await shop.send_calls(CONTACT_SECONDS)
        since = fleet.clock.now()
        await shop.send_calls(4)
        share = served_share(shop.partitioned, since)
        assert share >= MIN_SHARE * served_share(shop.sound, since)
        tries = first_tries(shop.partitioned, since)
        failed = len(tries) - len(good_ones(tries))
        assert failed <= FREE_FAILURES + FREE_SHARE * len(tries)
        runs = Counter(
            run.request_id
            for backend in fleet.backends
            for run in backend.runs
            if run.method == 'POST'
        )
        assert set(runs.values()) == {1}

    async def test_uses_its_own_paths_again_once_they_are_back(
        self, fleet: FleetDeployment
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        shop.cut('reset')
        await shop.send_calls(CONTACT_SECONDS)
        shop.heal()
        await shop.send_calls(CONTACT_SECONDS)
        relayed = [await relayed_calls(node) for node in shop.nodes]
        assert min(relayed) > 0
        since = fleet.clock.now()
        await shop.send_calls(2)
        assert served_share(shop.partitioned, since) == pytest.approx(1)
        assert [await relayed_calls(node) for node in shop.nodes] == relayed

    async def test_calls_are_refused_if_no_daemon_reaches_an_upstream(
        self, fleet: FleetDeployment
    ) -> None:
        """Daemons without a path sent calls to each other in a circle."""
        shop = Shop(fleet)
        await shop.start()
        shop.cut('reset')
        await shop.send_calls(CONTACT_SECONDS)
        for backend in fleet.backends:
            backend.kill()
        await anyio.sleep(1)
        since = fleet.clock.now()
        await shop.send_calls(2)
        results = first_tries([*shop.sound, *shop.partitioned], since)
        assert {one.verdict for one in results} == {Verdict.NOT_RUN}

    async def test_order_whose_answer_a_peer_lost_is_told_as_unknown(
        self, fleet: FleetDeployment
    ) -> None:
        """Its outcome was told as failed, which says that it was run."""
        shop = Shop(fleet)
        await shop.start()
        shop.cut('reset')
        await shop.send_calls(CONTACT_SECONDS)
        for backend in fleet.backends:
            backend.faults.lose = 1
        address = shop.nodes[0].caller_address
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request(
                'POST',
                f'http://{address}/orders/1',
                headers={'host': 'shop.example', 'x-request-id': 'lost'},
            )
        runs = [run for backend in fleet.backends for run in backend.runs]
        assert [run.request_id for run in runs].count('lost') == 1
        assert answer.status == 504
        assert dict(answer.headers)[b'x-outcome'] == b'unknown'


class TestLostFailureDomain:
    async def test_upstreams_of_other_domains_stay_in_use(
        self, fleet: FleetDeployment
    ) -> None:
        """Daemons of the lost domain took all upstreams to be out of reach.

        They try upstreams of their own domain first, found several dead ones in
        a row, and refused calls or sent them through peers.
        """
        lost = [
            await fleet.add_backend('catalogue', domain=DOMAINS[0])
            for _ in range(8)
        ]
        for domain in DOMAINS[1:]:
            for _ in range(2):
                await fleet.add_backend('catalogue', domain=domain)
        fleet.configure({'prints': route('catalogue')})
        nodes = [await fleet.add_node(DOMAINS[0]) for _ in range(2)]
        callers = [
            Caller(one.name, one.caller_address, fleet.tasks, fleet.clock)
            for one in nodes
        ]
        for backend in lost:
            backend.kill()
        async with anyio.create_task_group() as tasks:
            for number in range(80):
                for caller in callers:
                    name = f'{caller.node}-{number}'
                    tasks.start_soon(caller.send_request, name, '/prints/1')
                await anyio.sleep(INTERVAL_SECONDS)
        assert [await relayed_calls(node) for node in nodes] == [0, 0]
        verdicts = [one.verdict for one in first_tries(callers, 0)]
        assert verdicts.count(Verdict.NOT_RUN) == 0
