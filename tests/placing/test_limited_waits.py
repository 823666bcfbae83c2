"""Calls that wait for the rate limits of upstreams, in simulated time."""

import random
from collections.abc import Iterable
from itertools import repeat
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Millis, RefusalReason, UpstreamSet, Vm, VmState
from cowslippond_core._rate_limit import RateLimit
from cowslippond_core._upstreams import LoadReading, Upstream
from cowslippond_core.placing import (
    FleetView,
    PendingCall,
    Placer,
    ProbeLimiter,
    ServiceTimeEstimator,
)
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

ADDRESSES = ('10.0.0.1:80', '10.0.0.2:80')
SHARE = 0.6
REFUSAL_TIME: Millis = 150
OBJECTIVE: Millis = 200
DEADLINE: Millis = 2000


class Placing(NamedTuple):
    """How long a call waited, and whether it got an upstream."""

    waited: Millis
    is_granted: bool


class FreeUpstreams:
    """Probes that find every upstream free."""

    reports_load = True

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    async def probe(self, upstream: Upstream) -> bool:
        """Report a free upstream after a millisecond."""
        probed_at = self.clock.now()
        await self.clock.sleep(1)
        upstream.load_state.reading = LoadReading(
            probed_at, self.clock.now(), 0, 0, 2, 1, is_healthy=True
        )
        return True


def make_placer(tasks: TaskGroup, clock: VirtualClock) -> Placer:
    upstreams = UpstreamSet(tasks, clock, 100)
    upstreams.update(
        Vm(address, '1', 'north', VmState.LIVE, 's', address, '', slots=2)
        for address in ADDRESSES
    )
    for upstream in upstreams.by_address.values():
        upstream.load_state.rate_limit = RateLimit(3, SHARE, clock.now(), 1e9)
    return Placer(
        upstreams,
        FreeUpstreams(clock),
        ServiceTimeEstimator(15),
        ProbeLimiter(1000),
        FleetView('north', lambda: 1, ().__contains__),
        clock,
        tasks,
        random.Random(1),
    )


async def place_calls(pauses: Iterable[Millis]) -> list[Placing]:
    """Place calls that arrive after these pauses."""
    clock = VirtualClock()
    placings: list[Placing] = []

    async def place(placer: Placer) -> None:
        now = clock.now()
        grant = await placer.acquire(
            PendingCall(
                str(now), now, now + OBJECTIVE, now + DEADLINE, 1, frozenset()
            )
        )
        is_granted = not isinstance(grant, RefusalReason)
        placings.append(Placing(clock.now() - now, is_granted))

    async with anyio.create_task_group() as tasks:
        placer = make_placer(tasks, clock)
        async with anyio.create_task_group() as calls:
            for pause in pauses:
                await clock.sleep(pause)
                calls.start_soon(place, placer)
        tasks.cancel_scope.cancel()
    return placings


def run_calls(pauses: Iterable[Millis]) -> list[Placing]:
    placings: list[Placing] = anyio.run(
        place_calls, list(pauses), backend_options=backend_options()
    )
    return placings


class TestAnnouncedRateLimit:
    def test_calls_do_not_wait_if_others_take_their_turn(self) -> None:
        """One call of every two tokens waited half a second and was refused."""
        seconds = 30
        placings = run_calls(repeat(100, seconds * 10))
        late = [
            one
            for one in placings
            if not one.is_granted and one.waited > REFUSAL_TIME
        ]
        assert len(late) <= 2
        granted = sum(one.is_granted for one in placings)
        tokens = len(ADDRESSES) * SHARE * seconds
        assert granted >= tokens * 0.9

    def test_late_call_waits_if_no_other_takes_its_turn(self) -> None:
        """Sparse calls that miss their objective are better late than refused."""
        placings = run_calls(repeat(1300, 20))
        assert any(one.waited > OBJECTIVE for one in placings)
        assert all(one.is_granted for one in placings)

    def test_late_calls_wait_again_after_a_burst(self) -> None:
        """Two calls take the tokens, and the third waits for the next one."""
        placings = run_calls([*repeat(100, 50), 5000, 20, 1200])[-3:]
        assert all(one.is_granted for one in placings)
        assert [one.waited > OBJECTIVE for one in placings] == [
            False,
            False,
            True,
        ]
