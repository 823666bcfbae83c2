"""Calls pass from caller to upstream and back through separate processes."""

import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._handles import UpstreamPlan
from integration.client import CHECKOUT, DOMAINS, apply, call, order, wait_until

pytestmark = pytest.mark.anyio


async def test_call_and_order_through_balancer(deployment: Deployment) -> None:
    """One balancer, two daemons, three upstreams and an applied document."""
    await deployment.add_upstreams(UpstreamPlan('shop-checkout'), DOMAINS)
    await apply(deployment, CHECKOUT)
    daemons = [await deployment.add_daemon('rvk-1') for _ in range(2)]
    for daemon in daemons:
        await deployment.wait_serving(daemon)
    balancer = await deployment.add_balancer()

    async def is_served() -> bool:
        return (await call(balancer)).status == 200

    await wait_until(is_served)
    first = await order(balancer, 'order-1')
    again = [await order(balancer, 'order-1') for _ in range(4)]
    reused = await order(balancer, 'order-1', body=b'two prints')
    unknown = await call(balancer, path='/nowhere')
    nameless = await order(balancer, 'order-1', headers={'x-caller': ''})

    assert first.status == 200
    assert {repeat.body for repeat in again} == {first.body}
    assert (reused.status, reused.outcome) == (422, 'not-run')
    assert (unknown.status, unknown.outcome) == (404, 'not-run')
    assert (nameless.status, nameless.reason) == (400, 'no_caller')
    orders = [run for run in await deployment.runs() if run['order_key']]
    assert len(orders) == 1
    statuses = [await daemon.status() for daemon in daemons]
    for status in statuses:
        assert status['versions'] == {'shop-checkout': 1}
