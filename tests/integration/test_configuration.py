"""An accepted configuration takes effect on all daemons and never reverts.

The tests interrupt changes by concurrent operators, lost answers, outages of
the table, stale reads, and paused or replaced daemons.
"""

import re
from functools import partial

import anyio
import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import DaemonHandle, UpstreamPlan
from integration.client import (
    CHECKOUT,
    DOMAINS,
    apply,
    call,
    now_ms,
    wait_until,
)

pytestmark = pytest.mark.anyio

# User requirement: a change is in force on all daemons within 9 s.
IN_FORCE_LIMIT_SECONDS = 9


def checkout_document(ceiling_ms: int) -> str:
    """Return the checkout document with another ceiling, as a new version."""
    text = CHECKOUT.read_text()
    changed = re.sub(r'"ceiling_ms": \d+', f'"ceiling_ms": {ceiling_ms}', text)
    assert changed != text or '15000' in changed
    return changed


async def start_daemons(
    deployment: Deployment, count: int
) -> list[DaemonHandle]:
    daemons = [
        await deployment.add_daemon(DOMAINS[index % len(DOMAINS)])
        for index in range(count)
    ]
    for daemon in daemons:
        await deployment.wait_serving(daemon)
    return daemons


async def version_of(deployment: Deployment, daemon: DaemonHandle) -> int:
    status = await daemon.status()
    return int(status['versions'].get('shop-checkout', 0))


async def all_have_version(
    deployment: Deployment, daemons: list[DaemonHandle], version: int
) -> bool:
    seen = [await version_of(deployment, daemon) for daemon in daemons]
    return set(seen) == {version}


class TestAccepting:
    async def test_one_of_two_concurrent_changes_is_accepted(
        self, deployment: Deployment
    ) -> None:
        """Two operators change the same service at the same time."""
        await apply(deployment, CHECKOUT)
        outcomes: list[tuple[int, str]] = []

        async def change(ceiling_ms: int) -> None:
            path = deployment.folder / f'ceiling-{ceiling_ms}.jsonc'
            path.write_text(checkout_document(ceiling_ms))
            outcomes.append(
                await deployment.run_ctl(
                    'apply', str(path), '--expected-version', '1'
                )
            )

        async with anyio.create_task_group() as operators:
            operators.start_soon(change, 14000)
            operators.start_soon(change, 13000)

        codes = sorted(code for code, _ in outcomes)
        assert codes[0] == 0
        assert codes[1] != 0
        loser = next(printed for code, printed in outcomes if code)
        assert 'version 2' in loser
        daemons = await start_daemons(deployment, 1)
        assert await version_of(deployment, daemons[0]) == 2

    async def test_answer_lost_after_the_write(
        self, deployment: Deployment
    ) -> None:
        """The tool reports acceptance although the table's answer was lost."""
        await deployment.platform.control(
            'set_faults', part='table', drop_answers=1
        )
        code, printed = await deployment.apply(CHECKOUT)
        counters = await deployment.platform.control('clear_faults')
        assert counters['table']['answers_dropped'] == 1
        assert code == 0, printed
        daemons = await start_daemons(deployment, 1)
        assert await version_of(deployment, daemons[0]) == 1

    async def test_change_is_refused_during_an_outage(
        self, deployment: Deployment
    ) -> None:
        """A change that was not accepted takes effect on no daemon."""
        await apply(deployment, CHECKOUT)
        daemons = await start_daemons(deployment, 2)
        await deployment.platform.control(
            'set_faults', part='table', outage='error'
        )
        code, printed = await deployment.apply(checkout_document(14000))
        await deployment.platform.control('clear_faults')
        assert code != 0, printed
        assert await all_have_version(deployment, daemons, 1)


class TestSpreading:
    async def test_change_reaches_every_daemon(
        self, deployment: Deployment
    ) -> None:
        await apply(deployment, CHECKOUT)
        daemons = await start_daemons(deployment, 5)
        await apply(deployment, checkout_document(14000))
        await wait_until(
            partial(all_have_version, deployment, daemons, 2),
            IN_FORCE_LIMIT_SECONDS,
        )

    async def test_daemon_frozen_across_a_change(
        self, deployment: Deployment
    ) -> None:
        """A daemon resumed after a change must not serve the old version."""
        await deployment.add_upstreams(UpstreamPlan('shop-checkout'), DOMAINS)
        await apply(deployment, CHECKOUT)
        daemons = await start_daemons(deployment, 3)
        frozen, others = daemons[0], daemons[1:]
        frozen.child.suspend()
        frozen_at = now_ms()
        changed_host = checkout_document(14000).replace(
            'shop.example', 'new.example'
        )
        await apply(deployment, changed_host)
        await wait_until(partial(all_have_version, deployment, others, 2))
        time_left = IN_FORCE_LIMIT_SECONDS - (now_ms() - frozen_at) / 1000
        await anyio.sleep(max(time_left, 0) + 0.5)

        replies: list[tuple[int, str]] = []
        versions: list[int] = []

        async def send_call() -> None:
            reply = await call(frozen.caller_address)
            replies.append((reply.status, reply.reason))

        async with anyio.create_task_group() as callers:
            for _ in range(5):
                callers.start_soon(send_call)
            await anyio.sleep(0.2)
            frozen.child.resume()
            versions.append(await version_of(deployment, frozen))

        # Only the old version serves this host.
        for status, reason in replies:
            assert (status, reason) in {
                (404, 'no_service'),
                (503, 'stale_configuration'),
            }
        await wait_until(partial(all_have_version, deployment, daemons, 2))
        await deployment.wait_serving(frozen)
        reply = await call(frozen.caller_address, host='new.example')
        assert reply.status == 200

    async def test_daemon_started_during_an_outage(
        self, deployment: Deployment
    ) -> None:
        """A daemon started during an outage gets the catalogue from peers."""
        await apply(deployment, CHECKOUT)
        await apply(deployment, checkout_document(14000))
        daemons = await start_daemons(deployment, 2)
        await deployment.platform.control(
            'set_faults', part='table', outage='cut'
        )
        late = await start_daemons(deployment, 1)
        counters = await deployment.platform.control(
            'clear_faults', part='list'
        )
        assert counters['table']['outages'] > 0
        assert await all_have_version(deployment, [*daemons, *late], 2)

    async def test_all_daemons_replaced_during_an_outage(
        self, deployment: Deployment
    ) -> None:
        """Without the table and without peers, a daemon refuses all calls."""
        await apply(deployment, CHECKOUT)
        first = await start_daemons(deployment, 1)
        await deployment.platform.control(
            'set_faults', part='table', outage='cut'
        )
        first[0].child.kill()
        isolated = await deployment.add_daemon('rvk-1')
        refused = await call(isolated.caller_address)
        assert (refused.status, refused.outcome) == (503, 'not-run')
        assert refused.reason == 'stale_configuration'
        assert not (await isolated.status())['ready']
        await deployment.platform.control('clear_faults')
        await deployment.wait_serving(isolated)
        assert await version_of(deployment, isolated) == 1

    async def test_stale_reads_do_not_revert_versions(
        self, deployment: Deployment
    ) -> None:
        """Reads of an outdated table state do not bring back an old version."""
        await apply(deployment, CHECKOUT)
        daemons = await start_daemons(deployment, 2)
        await apply(deployment, checkout_document(14000))
        await wait_until(partial(all_have_version, deployment, daemons, 2))
        await deployment.platform.control(
            'set_faults', part='table', stale_ms=60_000
        )
        for _ in range(30):
            assert await all_have_version(deployment, daemons, 2)
            await anyio.sleep(0.1)
        counters = await deployment.platform.control('clear_faults')
        assert counters['table']['stale_reads'] > 0
