"""An order runs at most once, and its caller gets the correct outcome.

The tests race daemons against each other and inject faults before, during and
after the claim: killed and paused daemons, outages and lost answers of the
table, failing upstreams and callers that disconnect.
"""

from collections import Counter

import anyio
import pytest
from cowslippond_standins.harness._deployment import Deployment
from integration.client import Reply, call
from integration.shop import Shop, place, start_shop

pytestmark = pytest.mark.anyio

_ALL = -1
_LONG_WORK = 800


@pytest.fixture
async def shop(deployment: Deployment) -> Shop:
    return await start_shop(deployment)


def refusal_of(reply: Reply) -> tuple[str, str]:
    """Return the outcome and the reason of a refusal."""
    assert reply.outcome, reply.headers
    assert int(reply.headers['retry-after']) > 0
    return reply.outcome, reply.reason


class TestRace:
    async def test_order_through_two_daemons_at_once(self, shop: Shop) -> None:
        keys = [f'race-{index}' for index in range(20)]
        for key in keys:
            async with anyio.create_task_group() as tasks:
                for daemon in shop.daemons:
                    tasks.start_soon(shop.place_and_record, daemon, key)
        assert {await shop.count_runs(key) for key in keys} == {1}
        statuses = Counter(reply.status for reply in shop.replies)
        assert statuses[200] >= 20
        assert statuses[409] > 0, 'no two orders were concurrent'
        assert statuses[200] + statuses[409] == 40

    async def test_repeat_through_another_daemon_gets_same_answer(
        self, shop: Shop
    ) -> None:
        first = await place(shop.daemons[0], 'small')
        large = await place(shop.daemons[0], 'large', size=200_000)
        await shop.wait_for_settled_claims(shop.daemons[0])
        again = await place(shop.daemons[1], 'small')
        large_again = await place(shop.daemons[1], 'large', size=200_000)
        assert (first.status, first.body) == (200, b'receipt')
        assert (again.status, again.body) == (200, first.body)
        assert len(large.body) == 200_000
        assert large_again.body == large.body
        assert await shop.count_runs('small') == 1
        assert await shop.count_runs('large') == 1

    async def test_large_repeat_is_compared_completely(
        self, shop: Shop
    ) -> None:
        body = bytes(300_000)
        first = await place(shop.daemons[0], 'upload', body=body)
        await shop.wait_for_settled_claims(shop.daemons[0])
        again = await place(shop.daemons[1], 'upload', body=body)
        other = await place(shop.daemons[1], 'upload', body=bytes(300_001))
        assert (first.status, again.status) == (200, 200)
        assert first.headers['x-body-length'] == '300000'
        assert refusal_of(other) == ('not-run', 'key_reused')
        assert await shop.count_runs('upload') == 1


class TestClaimant:
    async def test_daemon_killed_after_sending(self, shop: Shop) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.place_and_record, shop.daemons[0], 'killed', _LONG_WORK
            )
            await shop.wait_for_run('killed')
            shop.daemons[0].child.kill()
        assert [reply.status for reply in shop.replies] == [0]
        repeat = await place(shop.daemons[1], 'killed', work=_LONG_WORK)
        assert refusal_of(repeat) == ('unknown', 'key_in_progress')
        await anyio.sleep(3)
        later = await place(shop.daemons[1], 'killed', work=_LONG_WORK)
        assert refusal_of(later) == ('unknown', 'key_outcome_lost')
        assert await shop.count_runs('killed') == 1

    async def test_daemon_paused_while_order_runs(self, shop: Shop) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.place_and_record, shop.daemons[0], 'paused', 500
            )
            await shop.wait_for_run('paused')
            shop.daemons[0].child.suspend()
            await anyio.sleep(3.2)
            repeat = await place(shop.daemons[1], 'paused', work=500)
            shop.daemons[0].child.resume()
        assert refusal_of(repeat)[0] == 'unknown'
        await shop.wait_for_settled_claims(shop.daemons[0])
        assert await shop.count_runs('paused') == 1

    async def test_daemon_paused_between_claim_and_send(
        self, shop: Shop
    ) -> None:
        await shop.set_faults(delay_ms=500)
        writes = await shop.count('writes')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.place_with_short_deadline, shop.daemons[0], 'late'
            )
            await anyio.sleep(0.3)
            shop.daemons[0].child.suspend()
            await anyio.sleep(1.2)
            assert await shop.count('writes') == writes + 1, 'no claim written'
            await shop.clear_faults()
            repeat = await place(shop.daemons[1], 'late')
            shop.daemons[0].child.resume()
        assert refusal_of(repeat)[0] == 'unknown'
        assert refusal_of(shop.replies[0]) == ('not-run', 'deadline')
        assert await shop.count_runs('late') == 0
        await shop.wait_for_settled_claims(shop.daemons[0])
        assert (await place(shop.daemons[1], 'late')).status == 200
        assert await shop.count_runs('late') == 1


class TestTable:
    async def test_outage_refuses_order_without_running_it(
        self, shop: Shop
    ) -> None:
        await shop.set_faults(outage='cut')
        refused = await place(shop.daemons[0], 'outage')
        repeat = await place(
            shop.daemons[1], 'outage', headers={'x-attempt': '1'}
        )
        assert refusal_of(refused) == ('not-run', 'claim_unavailable')
        assert refusal_of(repeat) == ('unknown', 'claim_unavailable')
        assert await shop.count_runs('outage') == 0
        await shop.clear_faults()
        await shop.wait_for_settled_claims(shop.daemons[0])
        await shop.wait_for_settled_claims(shop.daemons[1])
        assert (await place(shop.daemons[1], 'outage')).status == 200
        assert await shop.count_runs('outage') == 1

    @pytest.mark.parametrize('lost', ['cut', 'hang'])
    async def test_answers_lost_after_the_claim_took_effect(
        self, shop: Shop, lost: str
    ) -> None:
        await shop.set_faults(drop_answers=1, lost_answer=lost)
        reply = await place(shop.daemons[0], 'lost')
        assert await shop.count('answers_dropped') == 1
        assert (reply.status, reply.body) == (200, b'receipt')
        await shop.wait_for_settled_claims(shop.daemons[0])
        again = await place(shop.daemons[1], 'lost')
        assert again.body == b'receipt'
        assert await shop.count_runs('lost') == 1

    async def test_outage_between_claim_and_record(self, shop: Shop) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.place_and_record, shop.daemons[0], 'unrecorded', 500
            )
            await shop.wait_for_run('unrecorded')
            await shop.set_faults(outage='error')
        assert shop.replies[0].status == 200
        during = await place(shop.daemons[1], 'unrecorded', work=500)
        assert during.outcome
        await shop.clear_faults()
        await shop.wait_for_settled_claims(shop.daemons[0])
        again = await place(shop.daemons[1], 'unrecorded', work=500)
        assert (again.status, again.body) == (200, b'receipt')
        assert await shop.count_runs('unrecorded') == 1


class TestUpstream:
    async def test_order_is_sent_elsewhere_after_shedding(
        self, shop: Shop
    ) -> None:
        await shop.upstreams[0].change(draining=True)
        replies = [
            await place(shop.daemons[0], f'shed-{index}') for index in range(6)
        ]
        assert (await shop.upstream_counters())['draining'] > 0
        assert {reply.status for reply in replies} == {200}
        runs = {await shop.count_runs(f'shed-{index}') for index in range(6)}
        assert runs == {1}

    async def test_key_stays_free_when_all_shed(self, shop: Shop) -> None:
        await shop.change_upstreams(draining=True)
        refused = await place(shop.daemons[0], 'free', deadline=500)
        assert refused.outcome == 'not-run'
        assert await shop.count_runs('free') == 0
        await shop.wait_for_settled_claims(shop.daemons[0])
        repeat = await place(shop.daemons[1], 'free', deadline=500)
        assert repeat.outcome == 'not-run'

    async def test_truncated_answer_gives_unknown_outcome(
        self, shop: Shop
    ) -> None:
        await shop.change_upstreams(truncate=1)
        cut = await place(shop.daemons[0], 'cut', size=5000)
        assert (await shop.upstream_counters())['truncated'] == 1
        assert refusal_of(cut) == ('unknown', 'answer_lost')
        await shop.wait_for_settled_claims(shop.daemons[0])
        repeat = await place(shop.daemons[1], 'cut', size=5000)
        assert refusal_of(repeat)[0] == 'unknown'
        assert await shop.count_runs('cut') == 1


class TestTwoFaults:
    async def test_claim_answer_lost_and_claimant_killed(
        self, shop: Shop
    ) -> None:
        await shop.set_faults(drop_answers=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                shop.place_and_record, shop.daemons[0], 'both', _LONG_WORK
            )
            await shop.wait_for_run('both')
            shop.daemons[0].child.kill()
        assert await shop.count('answers_dropped') == 1
        repeat = await place(shop.daemons[1], 'both', work=_LONG_WORK)
        assert refusal_of(repeat) == ('unknown', 'key_in_progress')
        assert await shop.count_runs('both') == 1

    async def test_all_upstreams_shed_and_answers_of_the_table_are_lost(
        self, shop: Shop
    ) -> None:
        await shop.change_upstreams(draining=True)
        await shop.set_faults(drop_answers=2)
        refused = await place(shop.daemons[0], 'shed', deadline=1000)
        assert refused.outcome == 'not-run'
        await shop.wait_for_settled_claims(shop.daemons[0])
        assert await shop.count('answers_dropped') == 2
        assert (await shop.upstream_counters())['draining'] > 0
        again = await place(shop.daemons[1], 'shed', deadline=1000)
        assert again.outcome == 'not-run'
        assert await shop.count_runs('shed') == 0


class TestCaller:
    async def test_repeat_after_disconnect_gets_recorded_answer(
        self, shop: Shop
    ) -> None:
        with anyio.move_on_after(0.3) as caller_timeout:
            await place(shop.daemons[0], 'left', work=_LONG_WORK)
        assert caller_timeout.cancelled_caught
        assert await shop.count_runs('left') == 1
        await anyio.sleep(1)
        await shop.wait_for_settled_claims(shop.daemons[0])
        again = await place(shop.daemons[1], 'left', work=_LONG_WORK)
        assert (again.status, again.body) == (200, b'receipt')
        assert await shop.count_runs('left') == 1


class TestCrashingRequest:
    async def test_crashes_are_contained_and_others_are_served(
        self, deployment: Deployment
    ) -> None:
        shop = await start_shop(deployment, daemons=3, upstreams=6)
        callers = [daemon.caller_address for daemon in shop.daemons]
        served = [await call(to, path='/prints') for to in callers * 8]
        crashing = [
            await call(to, 'PUT', '/parts/7', body=b'CRASH')
            for to in callers * 10
        ]
        after = [await call(to, path='/prints') for to in callers * 8]
        assert 2 <= shop.count_stopped_upstreams() <= 3
        assert {reply.status for reply in served + after} == {200}
        assert {reply.outcome for reply in crashing} == {'unknown', 'not-run'}
        assert crashing[-1].reason == 'quarantined'
        assert int(crashing[-1].headers['retry-after']) > 10

    async def test_lookups_succeed_while_upstreams_restart(
        self, deployment: Deployment
    ) -> None:
        shop = await start_shop(deployment, daemons=3, upstreams=6)
        await shop.change_upstreams(crash_mode='reset')
        callers = [daemon.caller_address for daemon in shop.daemons]
        async with anyio.create_task_group() as tasks:
            for till in range(6):
                tasks.start_soon(shop.send_lookups, callers[till % 3], 40)
            await anyio.sleep(0.2)
            crashing = [
                await call(to, 'POST', '/parts/7', body=b'CRASH')
                for to in callers * 10
            ]
        assert 2 <= (await shop.upstream_counters())['crashes'] <= 3
        assert {reply.outcome for reply in crashing} == {'unknown', 'not-run'}
        assert crashing[-1].reason == 'quarantined'
        assert len(shop.replies) == 240
        assert {reply.status for reply in shop.replies} == {200}
