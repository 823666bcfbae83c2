"""Upstreams that turn cold, and the calls that they get then."""

from types import MappingProxyType

import anyio
import pytest
from cowslippond_standins.fleet import (
    DOMAINS,
    CallResult,
    FleetDeployment,
    Verdict,
)
from fleet_load import FleetLoad, busiest_second, calls_between

pytestmark = pytest.mark.anyio

RATE = 3.9
WARM_UP = 3000
SETTINGS = MappingProxyType({'warmup_s': 3, 'warmup_per_s': RATE})

# What the users allow in any one second.
BOUND = RATE * 1.5 + 8

# A call that cannot be served is refused within this time.
REFUSAL_TIME = 150


def verdicts_of(
    fleet: FleetDeployment, calls: list[CallResult]
) -> set[Verdict]:
    """Return the verdicts of calls while no back end was held up.

    With two warm back ends for 100 calls a second, a pause of 0.2 s leaves more
    calls waiting than can be served in time.
    """
    judged = fleet.hold_ups.unaffected(calls)
    assert len(judged) >= len(calls) / 2
    return {one.verdict for one in judged}


class TestColdUpstream:
    async def test_upstream_that_turns_cold_while_it_serves(
        self, fleet: FleetDeployment
    ) -> None:
        """Open connections went on with the rate of a warm upstream."""
        fleet.service_settings = dict(SETTINGS)
        load = FleetLoad(fleet)
        backends = await load.start(3, 6)
        before = await load.send(2, interval=60)
        assert verdicts_of(fleet, before) == {Verdict.GOOD}
        cold = backends[0]
        cold.turn_cold(WARM_UP)
        cold_at = fleet.clock.now()
        during = await load.send(WARM_UP / 1000, interval=60)
        warm_at = cold_at + WARM_UP
        assert busiest_second(cold, cold_at, warm_at) <= BOUND
        assert verdicts_of(fleet, during) == {Verdict.GOOD}
        await load.send(3, interval=60)
        now = fleet.clock.now()
        assert calls_between(cold, now - 1000, now) > BOUND

    async def test_returned_service_whose_upstreams_are_all_cold(
        self, fleet: FleetDeployment
    ) -> None:
        """Calls beyond the rate waited, or the upstreams got none."""
        fleet.service_settings = dict(SETTINGS)
        load = FleetLoad(fleet)
        backends = await load.start(3, 6)
        await load.send(1)
        for backend, domain in zip(backends, DOMAINS):
            backend.turn_cold(WARM_UP)
            fleet.list_backend(backend, 'catalogue', domain)
        cold_at = fleet.clock.now()
        calls = await load.send(WARM_UP / 1000, interval=30)
        for cold in backends:
            span = (cold_at, cold_at + WARM_UP)
            assert busiest_second(cold, *span) <= BOUND
            assert calls_between(cold, *span) >= RATE * WARM_UP / 1000 / 2
        verdicts = {one.verdict for one in calls}
        assert verdicts <= {Verdict.GOOD, Verdict.NOT_RUN}
        refused = [one for one in calls if one.verdict is Verdict.NOT_RUN]
        late = [one for one in refused if one.duration > REFUSAL_TIME]
        assert len(late) <= len(refused) / 20

    async def test_entry_alone_tells_of_a_cold_start(
        self, fleet: FleetDeployment
    ) -> None:
        """A new daemon believed the entries of the others to be warm."""
        fleet.service_settings = dict(SETTINGS)
        load = FleetLoad(fleet)
        backends = await load.start(2, 3)
        cold = backends[0]
        cold.turn_cold(WARM_UP)
        cold_at = fleet.clock.now()
        load.add_caller(await fleet.add_node(DOMAINS[0]))
        await load.send(WARM_UP / 1000, interval=40)
        assert busiest_second(cold, cold_at, cold_at + WARM_UP) <= BOUND

    async def test_service_without_a_warm_up_rate_has_no_limit(
        self, fleet: FleetDeployment
    ) -> None:
        load = FleetLoad(fleet)
        backends = await load.start(1, 3)
        backends[0].turn_cold(WARM_UP)
        cold_at = fleet.clock.now()
        await load.send(2, interval=60)
        assert busiest_second(backends[0], cold_at, cold_at + 2000) > 2 * BOUND

    async def test_status_and_metrics_show_cold_upstreams(
        self, fleet: FleetDeployment
    ) -> None:
        fleet.service_settings = dict(SETTINGS)
        load = FleetLoad(fleet)
        backends = await load.start(2, 2)
        await load.send(0.5)
        backends[0].turn_cold(WARM_UP)
        await load.send(1, interval=50)
        statuses = [await node.status() for node in fleet.nodes]
        assert [status['cold'] for status in statuses] == [
            [backends[0].name],
            [backends[0].name],
        ]
        await anyio.sleep(WARM_UP / 1000)
        assert (await fleet.nodes[0].status())['cold'] == []


class TestDaemonWithoutShare:
    async def test_calls_are_sent_through_daemons_that_hold_a_part(
        self, fleet: FleetDeployment
    ) -> None:
        """They were refused, while holders had tokens that nobody used."""
        fleet.service_settings = dict(SETTINGS)
        load = FleetLoad(fleet)
        backends = await load.start(1, 9)
        await load.send(1)
        backends[0].turn_cold(2 * WARM_UP)
        cold_at = fleet.clock.now()
        await load.send(1, interval=200)
        without_share = [
            node.name
            for node in fleet.nodes
            if (await node.status())['out_of_reach']
        ]
        assert without_share
        callers = load.callers
        load.callers = [
            caller for caller in callers if caller.node in without_share
        ]
        calls = await load.send(4, interval=100)
        served = [one for one in calls if one.verdict is Verdict.GOOD]
        assert len(served) >= 4 * RATE / 2
        assert {one.verdict for one in calls} <= {
            Verdict.GOOD,
            Verdict.NOT_RUN,
        }
        cold_span = (cold_at, cold_at + 2 * WARM_UP)
        assert busiest_second(backends[0], *cold_span) <= BOUND
