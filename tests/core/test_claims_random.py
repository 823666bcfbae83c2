"""Randomized tests of claims under table faults and task interleavings.

The fake upstream records each call that it runs, which shows whether a key
ran more than once and whether the reported outcomes are correct.
"""

import random
from collections import Counter

import anyio
from claim_fakes import (
    FAULTS,
    IDENTITY,
    ClaimDaemon,
    FakeObjectStore,
    FakeUpstream,
    FaultyTable,
    make_request,
)
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    CallResult,
    Outcome,
)
from fakes import FakeClock
from hypothesis import given, settings
from hypothesis import strategies as st

_DAEMONS = 3
_RETRY_AFTER = 1000


class RandomRun:
    """Sends random calls with one key through several daemons."""

    def __init__(self, seed: int, calls: int) -> None:
        self.rng = random.Random(seed)
        self.calls = calls
        self.clock = FakeClock()
        self.table = FaultyTable(self.rng)
        self.objects = FakeObjectStore()
        self.daemons = [
            ClaimDaemon(f'vm-{index}', self.table, self.objects, self.clock)
            for index in range(_DAEMONS)
        ]
        self.upstream = FakeUpstream()
        self.call_results: dict[str, CallResult] = {}
        self.answers: list[bytes] = []
        self.has_lost_answer = False

    async def send_calls(self) -> None:
        async with anyio.create_task_group() as tasks:
            for index in range(self.calls):
                tasks.start_soon(self._call, f'r{index}')
                await self.table.yield_randomly()
                if self._happens(30):
                    await self.table.deliver_late_writes()
        self.table.is_faulty = False
        await self.table.deliver_late_writes()
        for daemon in self.daemons:
            await daemon.drain_backlog()
            await self.table.deliver_late_writes()

    async def repeat_call(self) -> None:
        """Repeat the call once the faults have ended."""
        self.clock.current += _RETRY_AFTER
        last = make_request('last')
        flow = self.daemons[0].flow
        self.call_results['last'] = await flow.run(
            last, IDENTITY, self.upstream.send
        )

    async def _call(self, name: str) -> None:
        daemon = self.rng.choice(self.daemons)
        request = make_request(name)
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                if self._happens(30):
                    tasks.start_soon(self._disconnect, scope)
                call_result = await daemon.flow.run(
                    request, IDENTITY, self._send
                )
                self.call_results[name] = call_result
                if isinstance(call_result, CallAnswer):
                    self.answers.append(
                        b''.join([part async for part in call_result.chunks])
                    )
                tasks.cancel_scope.cancel()

    async def _send(self, request: CallRequest) -> CallResult:
        await self.table.yield_randomly()
        if self._happens(40):
            return CallRefusal(*_REFUSAL_NOT_RUN)
        call_result = await self.upstream.send(request)
        await self.table.yield_randomly()
        if self._happens(20):
            self.has_lost_answer = True
            return CallRefusal(*_REFUSAL_ANSWER_LOST)
        return call_result

    def _happens(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    async def _disconnect(self, scope: anyio.CancelScope) -> None:
        await self.table.yield_randomly()
        await self.table.yield_randomly()
        scope.cancel()


_REFUSAL_NOT_RUN = (Outcome.NOT_RUN, 'upstreams_full', 1000)
_REFUSAL_ANSWER_LOST = (Outcome.UNKNOWN, 'answer_lost', 1000)


def test_random_runs_inject_every_fault() -> None:
    faults: Counter[str] = Counter()
    for seed in range(20):
        random_run = RandomRun(seed, calls=5)
        anyio.run(random_run.send_calls)
        faults.update(random_run.table.faults)
    assert all(faults[fault] > 10 for fault in FAULTS)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), calls=st.integers(1, 7))
def test_a_key_runs_once_and_reported_outcomes_are_correct(
    seed: int, calls: int
) -> None:
    random_run = RandomRun(seed, calls)
    anyio.run(random_run.send_calls)
    anyio.run(random_run.repeat_call)
    assert len(random_run.upstream.runs) <= 1
    for name, call_result in random_run.call_results.items():
        if (
            isinstance(call_result, CallRefusal)
            and call_result.outcome is Outcome.NOT_RUN
        ):
            assert name not in random_run.upstream.runs
    assert set(random_run.answers) <= {b'receipt'}
    # No daemon crashed. If no answer of the upstream was lost, the key is
    # either free because the call never ran, or its answer is recorded.
    if not random_run.has_lost_answer:
        assert isinstance(random_run.call_results['last'], CallAnswer)
