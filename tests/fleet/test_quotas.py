"""Quotas of workspaces over several real daemons."""

import itertools
import pathlib
from functools import partial
from types import MappingProxyType

import anyio
import httpcore
import pytest
from cowslippond_ctl._story import show_story
from cowslippond_standins.fleet import (
    DOMAINS,
    Caller,
    FleetDeployment,
    Node,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

KEYS = MappingProxyType({'limited': 'key-of-limited', 'other': 'key-of-other'})
RATE = 40
BURST = 40
WINDOW = 5000
ALLOWED_CALLS = (RATE * WINDOW / 1000 + BURST) * 1.1 + 20
MIN_SHARE = 0.98
TOO_MANY_REQUESTS = 429

# The daemons know each other, and owners have settled, after this time.
SETTLE_SECONDS = 5


class Shop:
    """Four daemons, and callers of a workspace with a limit."""

    def __init__(self, fleet: FleetDeployment) -> None:
        self.fleet = fleet
        self.nodes: list[Node] = []
        self.callers: list[Caller] = []
        self.numbers = itertools.count()

    async def start(self) -> None:
        fleet = self.fleet
        for domain in DOMAINS:
            await fleet.add_backend('catalogue', domain=domain)
        fleet.configure(
            {'prints': route('catalogue')},
            {
                'limited': {
                    'api_keys': [KEYS['limited']],
                    'rate_per_s': RATE,
                    'burst': BURST,
                },
                'other': {'api_keys': [KEYS['other']]},
            },
        )
        self.nodes = [
            await fleet.add_node(domain) for domain in (*DOMAINS, DOMAINS[0])
        ]
        self.callers = [
            Caller(node.name, node.caller_address, fleet.tasks, fleet.clock)
            for node in self.nodes
        ]
        await anyio.sleep(SETTLE_SECONDS)

    async def send_calls(
        self, rate: float, seconds: float, callers: list[Caller], name: str
    ) -> None:
        """Send calls of a workspace to daemons in turn."""
        async with anyio.create_task_group() as tasks:
            for caller, _ in zip(
                itertools.cycle(callers), range(int(rate * seconds))
            ):
                call_id = f'{name}-{next(self.numbers)}'
                tasks.start_soon(
                    partial(
                        caller.send_request,
                        call_id,
                        f'/{name}/1',
                        headers=(f'authorization: Token {KEYS[name]}',),
                    )
                )
                await anyio.sleep(1 / rate)

    def busiest_window(self, name: str) -> int:
        times = [
            run.at
            for backend in self.fleet.backends
            for run in backend.runs
            if run.path.startswith(f'/{name}/')
        ]
        return max(
            sum(start <= at < start + WINDOW for at in times) for start in times
        )

    def served_share(self, name: str) -> float:
        verdicts = [
            one.verdict
            for caller in self.callers
            for one in caller.call_results
            if one.path.startswith(f'/{name}/')
        ]
        return verdicts.count(Verdict.GOOD) / len(verdicts)

    def logs(self) -> list[pathlib.Path]:
        return sorted(self.fleet.folder.glob('front-*.log'))


def story_of(request_id: str, logs: list[pathlib.Path]) -> set[str]:
    """Return the messages about a request; logs are written with a delay."""
    outcome = show_story(request_id, logs)
    return {line['message'] for line in outcome.record.get('lines', ())}


async def send_until_refused(address: str) -> tuple[httpcore.Response, str]:
    """Send calls one after the other until the quota refuses one.

    :return: its answer and its request id.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        for number in itertools.count():
            request_id = f'story-{number}'
            answer = await pool.request(
                'GET',
                f'http://{address}/limited/1',
                headers={
                    'host': 'shop.example',
                    'x-request-id': request_id,
                    'authorization': f'Token {KEYS["limited"]}',
                    # Does not exempt from the quota if it is forged.
                    'x-relayed': '1',
                },
            )
            if answer.status == TOO_MANY_REQUESTS:
                break
    return answer, request_id


class TestQuotas:
    async def test_flood_stays_within_the_quota_and_harms_no_other(
        self, fleet: FleetDeployment
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.send_calls, RATE * 4, 8, shop.callers, 'limited'
            )
            tasks.start_soon(shop.send_calls, 20, 8, shop.callers, 'other')
        assert shop.busiest_window('limited') <= ALLOWED_CALLS
        assert shop.served_share('other') == pytest.approx(1)
        # No part of the quota is left unused.
        assert shop.served_share('limited') * 4 * RATE * 8 >= RATE * 8
        refused = [
            one
            for caller in shop.callers
            for one in caller.call_results
            if one.verdict is Verdict.NOT_RUN
        ]
        assert {one.status for one in refused} == {TOO_MANY_REQUESTS}
        statuses = [await node.status() for node in shop.nodes]
        figures = [one['quotas']['limited'] for one in statuses]
        assert sum(one['refused'] for one in figures) == len(refused)
        assert {one['rate'] for one in figures} == {RATE}
        assert all('other' not in one['quotas'] for one in statuses)
        address = shop.nodes[0].ready_address
        url = f'http://{address}/metrics'
        async with httpcore.AsyncConnectionPool() as pool:
            page = (await pool.request('GET', url)).content.decode()
        assert 'quota_workspace_limited_rate 40' in page
        assert 'refusals_over_quota' in page

    async def test_one_daemon_gets_the_whole_quota_while_an_owner_is_dead(
        self, fleet: FleetDeployment
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        shop.nodes[1].child.kill()
        await shop.send_calls(RATE / 1.6, 8, shop.callers[:1], 'limited')
        assert shop.served_share('limited') >= MIN_SHARE
        assert shop.busiest_window('limited') <= ALLOWED_CALLS

    async def test_refusal_says_when_to_return_and_the_story_tells_why(
        self, fleet: FleetDeployment
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        async with anyio.create_task_group() as tasks:
            # Keeps the quota used up, however slowly the single calls are
            # answered; few enough that no log lines are dropped.
            tasks.start_soon(
                shop.send_calls, RATE * 2, 4, shop.callers[:1], 'limited'
            )
            with anyio.fail_after(30):
                answer, request_id = await send_until_refused(
                    shop.nodes[0].caller_address
                )
        headers = dict(answer.headers)
        assert headers[b'x-outcome'] == b'not-run'
        assert headers[b'x-reason'] == b'over_quota'
        assert 0 < float(headers[b'retry-after']) < 2
        message = 'call refused by the quota of its workspace'
        with anyio.fail_after(5):
            while message not in story_of(request_id, shop.logs()):
                await anyio.sleep(0.2)
