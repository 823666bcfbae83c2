"""Failing upstreams must not attract calls or cause retry storms.

The upstreams answer errors at once, which makes them look idle, or shed every
call.
"""

import anyio
import pytest
from cowslippond_standins.harness._deployment import Deployment
from integration.client import Reply, call
from integration.shop import Shop, place, start_shop

pytestmark = pytest.mark.anyio

CALLS = 200
# The ratio of retries that the document allows, the minimum that each daemon's
# retry budget allows in addition, and the number of daemons.
RETRY_SHARE = 0.2
BUDGET_FLOOR = 3
DAEMONS = 2


@pytest.fixture
async def shop(deployment: Deployment) -> Shop:
    return await start_shop(deployment, daemons=DAEMONS, upstreams=3)


async def look_up(shop: Shop, replies: list[Reply], index: int) -> None:
    daemon = shop.daemons[index % len(shop.daemons)]
    replies.append(
        await call(daemon.caller_address, path=f'/look?work=2&n={index}')
    )


async def look_up_all(shop: Shop) -> list[Reply]:
    """Send lookups, eight at a time."""
    replies: list[Reply] = []
    for start in range(0, CALLS, 8):
        async with anyio.create_task_group() as tasks:
            for index in range(start, start + 8):
                tasks.start_soon(look_up, shop, replies, index)
    return replies


class TestFailFast:
    async def test_fast_failures_attract_no_work(self, shop: Shop) -> None:
        """An upstream that answers 500 at once looks idle to load balancing."""
        await shop.upstreams[0].change(fail_fast='error')
        replies = await look_up_all(shop)
        counters = (await shop.upstreams[0].ledger())['counters']
        failed = counters.get('failed_fast', 0)
        assert failed > 0
        assert failed < CALLS / 3 / 2, (
            'at least half of an even share of the calls'
        )
        good = sum(reply.status == 200 for reply in replies)
        assert good >= len(replies) - failed

    async def test_all_failing_cause_no_retry_storm(self, shop: Shop) -> None:
        """The number of sends stays within calls plus retry budget."""
        await shop.change_upstreams(fail_fast='bare')
        replies = await look_up_all(shop)
        assert {reply.status for reply in replies} == {502}
        sends = (await shop.upstream_counters())['failed_fast']
        assert sends > 0
        bound = len(replies) * (1 + RETRY_SHARE) + BUDGET_FLOOR * DAEMONS
        assert sends <= bound

    async def test_failing_order_is_sent_once(self, shop: Shop) -> None:
        """Callers of orders that had run got 503, which promises the opposite."""
        await shop.change_upstreams(fail_fast='bare')
        for index in range(20):
            reply = await place(shop.daemons[0], f'failing-{index}')
            assert (reply.status, reply.outcome) == (502, 'failed')
        assert (await shop.upstream_counters())['failed_fast'] == 20


class TestRefusals:
    async def test_full_upstreams_refuse_with_retry_after(
        self, shop: Shop
    ) -> None:
        """If all upstreams shed, calls are refused and none runs."""
        await shop.change_upstreams(slots=0)
        replies: list[Reply] = []
        async with anyio.create_task_group() as tasks:
            for index in range(20):
                tasks.start_soon(look_up, shop, replies, index)
        for reply in replies:
            assert (reply.status, reply.outcome) == (503, 'not-run')
            assert int(reply.headers['retry-after']) >= 1
        counters = await shop.upstream_counters()
        assert counters['shed'] > 0
        assert not counters['runs']

    async def test_deadline_that_cannot_be_met(self, shop: Shop) -> None:
        await look_up_all(shop)
        before = (await shop.upstream_counters())['runs']
        reply = await place(shop.daemons[0], 'too-late', deadline=0)
        assert (reply.outcome, reply.reason) == ('not-run', 'deadline')
        assert (await shop.upstream_counters())['runs'] == before


class TestMeasuring:
    async def test_no_load_is_caused_by_measuring(self, shop: Shop) -> None:
        """Upstreams receive only calls that were sent by callers.

        The table and the VM list are down meanwhile.
        """
        for part in ('table', 'list'):
            await shop.platform.control('set_faults', part=part, outage='error')
        await look_up_all(shop)
        await anyio.sleep(2)
        ledgers = [await one.ledger() for one in shop.upstreams]
        runs = [run for ledger in ledgers for run in ledger['runs']]
        assert not any(ledger['probes'] for ledger in ledgers)
        assert {run['path'] for run in runs} == {'/look'}
