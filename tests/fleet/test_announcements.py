"""Upstreams that say that they leave, or that they want a pause."""

import itertools

import anyio
import pytest
from cowslippond_core import Millis, seconds_of
from cowslippond_standins.fleet import (
    DOMAINS,
    Backend,
    Caller,
    CallResult,
    FleetDeployment,
    Verdict,
    route,
)

pytestmark = pytest.mark.anyio

INTERVAL: Millis = 25

# The load told in an answer is used for a shorter time, so that each call needs a
# health answer.
PROBING_INTERVAL: Millis = 60

# What the users allow: no calls this long after an answer that said so.
DRAIN_TIME: Millis = 2000

# What the users allow within a pause, from half a second after it was asked for.
CALLS_IN_PAUSE = 2
NOTICE: Millis = 500

# A call that cannot be served is refused within this time.
REFUSAL_TIME: Millis = 150

WARM_UP_SECONDS = 1


class Load:
    """A daemon with three back ends, and a caller that calls it steadily."""

    def __init__(self, fleet: FleetDeployment) -> None:
        self.fleet = fleet
        self.numbers = itertools.count()
        self.caller: Caller | None = None

    async def start(self) -> list[Backend]:
        backends = [
            await self.fleet.add_backend('catalogue', domain=domain)
            for domain in DOMAINS
        ]
        self.fleet.configure({'prints': route('catalogue', prefix='/prints/')})
        node = await self.fleet.add_node(DOMAINS[0])
        self.caller = Caller(
            node.name, node.caller_address, self.fleet.tasks, self.fleet.clock
        )
        await self.send(WARM_UP_SECONDS)
        return backends

    async def send(
        self, seconds: float, interval: Millis = INTERVAL
    ) -> list[CallResult]:
        """Send calls for some time and return their results."""
        caller = self.caller
        assert caller is not None
        since = self.fleet.clock.now()
        async with anyio.create_task_group() as tasks:
            while self.fleet.clock.now() < since + seconds * 1000:
                name = f'p{next(self.numbers)}'
                tasks.start_soon(caller.send_request, name, '/prints/1')
                await anyio.sleep(seconds_of(interval))
        return [one for one in caller.call_results if one.sent_at >= since]


def calls_since(backend: Backend, since: Millis) -> int:
    times = [*(run.at for run in backend.runs), *backend.refused_at]
    return sum(at >= since for at in times)


class TestLeaving:
    @pytest.mark.parametrize(
        ('kind', 'interval'),
        [
            ('success', INTERVAL),
            ('failure', INTERVAL),
            ('health', PROBING_INTERVAL),
        ],
    )
    async def test_upstream_that_says_it_leaves_gets_no_more_calls(
        self, fleet: FleetDeployment, kind: str, interval: Millis
    ) -> None:
        load = Load(fleet)
        leaving = (await load.start())[0]
        if kind == 'failure':
            leaving.faults.fail = 0.2
        leaving.announced.leaving_answers = frozenset((kind,))
        said_at = fleet.clock.now()
        results = await load.send(4, interval)
        assert calls_since(leaving, said_at + DRAIN_TIME) == 0
        good = [one for one in results if one.verdict is Verdict.GOOD]
        assert len(good) >= 0.95 * len(results)

    async def test_broken_off_answer_that_says_it_leaves_is_heard(
        self, fleet: FleetDeployment
    ) -> None:
        load = Load(fleet)
        leaving = (await load.start())[0]
        leaving.faults.truncate = 1
        leaving.announced.leaving_answers = frozenset(('success',))
        said_at = fleet.clock.now()
        await load.send(4)
        assert calls_since(leaving, said_at + DRAIN_TIME) == 0

    async def test_calls_are_refused_at_once_when_the_last_upstream_leaves(
        self, fleet: FleetDeployment
    ) -> None:
        load = Load(fleet)
        for backend in await load.start():
            backend.announced.leaving_answers = frozenset(('success',))
        await load.send(1)
        results = await load.send(1)
        assert {one.verdict for one in results} == {Verdict.NOT_RUN}
        late = [one for one in results if one.duration > REFUSAL_TIME]
        assert len(late) <= len(results) / 20


class TestPause:
    async def test_upstream_that_asks_for_a_pause_gets_it(
        self, fleet: FleetDeployment
    ) -> None:
        load = Load(fleet)
        paused = (await load.start())[0]
        paused.announced.pause = '3'
        results = await load.send(4)
        asked_at = paused.refused_at[0]
        within = [
            at
            for at in paused.refused_at
            if asked_at + NOTICE <= at < asked_at + 3000
        ]
        assert len(within) <= CALLS_IN_PAUSE
        assert {one.verdict for one in results} == {Verdict.GOOD}

    async def test_upstream_is_used_again_after_its_pause(
        self, fleet: FleetDeployment
    ) -> None:
        load = Load(fleet)
        paused = (await load.start())[0]
        paused.announced.pause = '1.5'
        await load.send(1)
        paused.announced.pause = None
        await load.send(2)
        since = fleet.clock.now()
        await load.send(1, PROBING_INTERVAL)
        assert calls_since(paused, since) >= 5

    async def test_calls_are_refused_at_once_while_all_upstreams_pause(
        self, fleet: FleetDeployment
    ) -> None:
        load = Load(fleet)
        for backend in await load.start():
            backend.announced.pause = '3'
        await load.send(1)
        results = await load.send(1)
        assert {one.verdict for one in results} == {Verdict.NOT_RUN}
        late = [one for one in results if one.duration > REFUSAL_TIME]
        assert len(late) <= len(results) / 20
