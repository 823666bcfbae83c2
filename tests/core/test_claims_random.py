"""Random interleavings and faults of claims, with a ledger of runs."""

import random
from collections import Counter

import anyio
from claim_world import (
    FAULTS,
    KEY,
    Daemon,
    FakeObjects,
    FaultyTable,
    Upstream,
    make_request,
)
from cowslippond_core import (
    CallAnswer,
    CallEnd,
    CallRefusal,
    CallRequest,
    Outcome,
)
from fakes import FakeClock
from hypothesis import given, settings
from hypothesis import strategies as st

_DAEMONS = 3
_RETRY_AFTER = 1000


class Story:
    """One random run: calls of one key through several daemons."""

    def __init__(self, seed: int, calls: int) -> None:
        self.rng = random.Random(seed)
        self.calls = calls
        self.clock = FakeClock()
        self.table = FaultyTable(self.rng)
        self.objects = FakeObjects()
        self.daemons = [
            Daemon(f'vm-{index}', self.table, self.objects, self.clock)
            for index in range(_DAEMONS)
        ]
        self.upstream = Upstream()
        self.told: dict[str, CallEnd] = {}
        self.answers: list[bytes] = []
        self.left_running = False

    async def play(self) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(self.calls):
                tasks.start_soon(self._call, f'r{index}')
                await self.table.yield_often()
                if self._is_drawn(30):
                    await self.table.deliver_late()
        self.table.is_faulty = False
        await self.table.deliver_late()
        for daemon in self.daemons:
            await daemon.drain()
            await self.table.deliver_late()

    async def ask_again(self) -> None:
        """Repeat the call when no fault is left."""
        self.clock.current += _RETRY_AFTER
        last = make_request('last')
        flow = self.daemons[0].flow
        self.told['last'] = await flow.run(last, KEY, self.upstream.send)

    async def _call(self, name: str) -> None:
        daemon = self.rng.choice(self.daemons)
        request = make_request(name)
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                if self._is_drawn(30):
                    tasks.start_soon(self._leave, scope)
                end = await daemon.flow.run(request, KEY, self._send)
                self.told[name] = end
                if isinstance(end, CallAnswer):
                    self.answers.append(
                        b''.join([part async for part in end.chunks])
                    )
                tasks.cancel_scope.cancel()

    async def _send(self, request: CallRequest) -> CallEnd:
        await self.table.yield_often()
        if self._is_drawn(40):
            return CallRefusal(*_SHED)
        end = await self.upstream.send(request)
        await self.table.yield_often()
        if self._is_drawn(20):
            self.left_running = True
            return CallRefusal(*_LOST)
        return end

    def _is_drawn(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    async def _leave(self, scope: anyio.CancelScope) -> None:
        await self.table.yield_often()
        await self.table.yield_often()
        scope.cancel()


_SHED = (Outcome.NOT_RUN, 'upstreams_full', 1000)
_LOST = (Outcome.UNKNOWN, 'answer_lost', 1000)


def test_every_fault_takes_effect_in_the_random_runs() -> None:
    faults: Counter[str] = Counter()
    for seed in range(20):
        story = Story(seed, calls=5)
        anyio.run(story.play)
        faults.update(story.table.faults)
    assert all(faults[fault] > 10 for fault in FAULTS)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), calls=st.integers(1, 7))
def test_a_key_runs_once_and_its_callers_hear_the_truth(
    seed: int, calls: int
) -> None:
    story = Story(seed, calls)
    anyio.run(story.play)
    anyio.run(story.ask_again)
    assert len(story.upstream.runs) <= 1
    for name, end in story.told.items():
        if isinstance(end, CallRefusal) and end.outcome is Outcome.NOT_RUN:
            assert name not in story.upstream.runs
    assert set(story.answers) <= {b'receipt'}
    # Nothing died, so a key whose call never ran is free again, and one that
    # ran and was answered gives the answer.
    if not story.left_running:
        assert isinstance(story.told['last'], CallAnswer)
