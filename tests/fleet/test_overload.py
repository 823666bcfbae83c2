"""Overload of real daemons and upstreams."""

import itertools

import anyio
import pytest
from cowslippond_core import Millis
from cowslippond_standins.fleet import (
    DOMAINS,
    CallResult,
    FleetDeployment,
    Verdict,
    route,
)
from fleet_load import DISCOVERY_SECONDS, FleetLoad

pytestmark = pytest.mark.anyio

BACKENDS = 6
DAEMONS = 3
MEAN_WORK: Millis = 200
OBJECTIVE: Millis = 800
SECONDS = 5

# Two slots at each back end: 60 calls per second are its capacity.
FULL_INTERVAL: Millis = 50
OVERLOAD_INTERVAL: Millis = FULL_INTERVAL / 1.5
SERVICE_UNAVAILABLE = 503


async def start(fleet: FleetDeployment) -> FleetLoad:
    for domain, _ in zip(itertools.cycle(DOMAINS), range(BACKENDS)):
        await fleet.add_backend('catalogue', MEAN_WORK, domain)
    fleet.configure(
        {'prints': route('catalogue', prefix='/prints/', objective=OBJECTIVE)}
    )
    load = FleetLoad(fleet)
    for domain in DOMAINS[:DAEMONS]:
        load.add_caller(await fleet.add_node(domain))
    await anyio.sleep(DISCOVERY_SECONDS)
    return load


def count_timely(call_results: list[CallResult]) -> int:
    return sum(
        one.verdict is Verdict.GOOD and one.duration <= OBJECTIVE
        for one in call_results
    )


class TestOverload:
    async def test_goodput_stays_and_refusals_are_early(
        self, fleet: FleetDeployment
    ) -> None:
        """Calls waited until they were late and were refused only then."""
        load = await start(fleet)
        await load.send(2, FULL_INTERVAL)
        full = count_timely(await load.send(SECONDS, FULL_INTERVAL))
        over = await load.send(SECONDS, OVERLOAD_INTERVAL)
        assert count_timely(over) >= 0.9 * full
        delays = sorted(
            one.duration for one in over if one.status == SERVICE_UNAVAILABLE
        )
        assert delays
        assert delays[len(delays) * 95 // 100] * 8 <= OBJECTIVE
