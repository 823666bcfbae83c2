"""Upstreams that announce how many calls they accept from all daemons."""

import itertools

import anyio
import pytest
from cowslippond_core import Millis, seconds_of
from cowslippond_standins.fleet import (
    DOMAINS,
    Backend,
    Caller,
    FleetDeployment,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

DAEMONS = 6
CALL_INTERVAL: Millis = 100

# The daemons of a fleet know each other after this time.
DISCOVERY_SECONDS = 3

# What the users allow: within this window, the limit with a margin and some
# calls on top. Calls count once the daemons have known for half a second.
WINDOW: Millis = 4000
MARGIN = 1.5
EXTRA_CALLS = 5
NOTICE: Millis = 500

# A call that cannot be served within this time is refused on arrival, and not
# when a part of its time has passed.
REFUSAL_TIME: Millis = 150


async def start_fleet(
    fleet: FleetDeployment, backends: int
) -> tuple[list[Backend], list[Caller]]:
    started = [
        await fleet.add_backend('catalogue', domain=domain)
        for domain, _ in zip(itertools.cycle(DOMAINS), range(backends))
    ]
    fleet.configure({'prints': route('catalogue', prefix='/prints/')})
    nodes = [
        await fleet.add_node(domain)
        for domain, _ in zip(itertools.cycle(DOMAINS), range(DAEMONS))
    ]
    await anyio.sleep(DISCOVERY_SECONDS)
    callers = [
        Caller(node.name, node.caller_address, fleet.tasks, fleet.clock)
        for node in nodes
    ]
    return started, callers


async def send_calls(callers: list[Caller], seconds: float) -> None:
    """Send calls to all daemons at a constant rate."""
    numbers = itertools.count()

    async def send_from(caller: Caller) -> None:
        for _ in range(int(seconds * 1000 / CALL_INTERVAL)):
            number = next(numbers)
            tasks.start_soon(
                caller.send_request, f'{caller.node}-{number}', '/prints/1'
            )
            await anyio.sleep(seconds_of(CALL_INTERVAL))

    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(send_from, caller)


def busiest_window(backend: Backend, since: Millis) -> int:
    """Return the most calls that a back end got within a window."""
    times = [run.at for run in backend.runs if run.at >= since]
    return max(
        (sum(start <= at < start + WINDOW for at in times) for start in times),
        default=0,
    )


def allowed_calls(rate: float) -> float:
    return MARGIN * rate * WINDOW / 1000 + EXTRA_CALLS


class TestAnnouncedRateLimit:
    async def test_daemons_together_send_no_more_than_the_limit(
        self, fleet: FleetDeployment
    ) -> None:
        backends, callers = await start_fleet(fleet, 3)
        limited = backends[0]
        limited.announced.rate_limit = 1.5
        limited_at = fleet.clock.now()
        await send_calls(callers, 10)
        busiest = busiest_window(limited, limited_at + NOTICE)
        assert busiest <= allowed_calls(limited.announced.rate_limit)
        verdicts = {
            call_result.verdict
            for caller in callers
            for call_result in caller.call_results
        }
        assert verdicts == {Verdict.GOOD}

    async def test_calls_beyond_the_limits_of_all_upstreams_are_refused_at_once(
        self, fleet: FleetDeployment
    ) -> None:
        """They waited for a third of their time, and were then refused."""
        backends, callers = await start_fleet(fleet, 2)
        for backend in backends:
            backend.announced.rate_limit = 3
        limited_at = fleet.clock.now()
        await send_calls(callers, 8)
        for backend in backends:
            busiest = busiest_window(backend, limited_at + NOTICE)
            assert busiest <= allowed_calls(3)
        refused = [
            call_result
            for caller in callers
            for call_result in caller.call_results
            if call_result.verdict is not Verdict.GOOD
        ]
        assert {one.verdict for one in refused} == {Verdict.NOT_RUN}
        late = [one for one in refused if one.duration > REFUSAL_TIME]
        assert len(late) <= len(refused) / 20
        ran = sum(len(backend.runs) for backend in backends)
        assert ran >= 2 * 3 * 8 * 0.7

    async def test_calls_return_when_the_limit_ends(
        self, fleet: FleetDeployment
    ) -> None:
        backends, callers = await start_fleet(fleet, 2)
        backends[0].announced.rate_limit = 2
        await send_calls(callers, 4)
        backends[0].announced.rate_limit = None
        await send_calls(callers, 3)
        ended_at = fleet.clock.now()
        await send_calls(callers, 3)
        calls = [run for run in backends[0].runs if run.at > ended_at]
        assert len(calls) >= 20
