"""The decision at one daemon, and what becomes of its tokens."""

import random
from types import MappingProxyType

import anyio
import pytest
from cowslippond_core import Metrics
from cowslippond_core.quotas import (
    QuotaAnswer,
    QuotaLimiter,
    QuotaMessage,
    QuotaRefusal,
    QuotaRequest,
    QuotaReturn,
    Token,
)
from quota_fakes import BOUNDS, VirtualClock, run_virtual, workspace

OWN = '10.0.0.1:7000'
OWNER = '10.0.0.2:7000'
EPOCH = 9
LIMITS = MappingProxyType(
    {'shop': workspace('shop', 100), 'free': workspace('free', 0)}
)


class Desk:
    """A limiter whose only owner is another daemon, played by the test."""

    def __init__(self, seed: int = 1) -> None:
        self.sent: list[QuotaMessage] = []
        self.clock = VirtualClock()
        self.limiter = QuotaLimiter(
            OWN,
            'a',
            lambda name: LIMITS.get(name),
            BOUNDS,
            lambda address, message: self.sent.append(message),
            self.clock,
            random.Random(seed),
            Metrics(''),
        )
        self.limiter.update({OWNER: 'a'}, 24)
        self.decisions: list[Token | QuotaRefusal | None] = []

    async def take(self) -> None:
        self.decisions.append(await self.limiter.take('shop'))

    def answer(self, granted: int, wait: int = 0) -> None:
        request = self.sent[-1]
        assert isinstance(request, QuotaRequest)
        self.limiter.receive(
            OWNER, QuotaAnswer(request.number, granted, wait, EPOCH)
        )

    def returned(self) -> list[QuotaMessage]:
        return [one for one in self.sent if isinstance(one, QuotaReturn)]


async def ask(desk: Desk, granted: int, after: float = 0) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(desk.take)
        await anyio.sleep(after + 0.001)
        desk.answer(granted, 400)


class TestTake:
    @pytest.mark.parametrize('name', ['free', 'unknown'])
    def test_no_limit_needs_no_token_and_keeps_no_state(
        self, name: str
    ) -> None:
        async def run() -> None:
            desk = Desk()
            assert await desk.limiter.take(name) is None
            assert not desk.sent
            assert not desk.limiter.uses

        run_virtual(run)

    def test_further_tokens_of_an_answer_serve_the_next_calls(self) -> None:
        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=2)
            await desk.take()
            assert all(isinstance(one, Token) for one in desk.decisions)
            assert len(desk.decisions) == 2

        run_virtual(run)

    def test_unused_tokens_are_returned_when_they_expire(self) -> None:
        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=3)
            await anyio.sleep(0.2)
            desk.limiter.update({OWNER: 'a'}, 24)
            back = QuotaReturn('shop', 1, EPOCH)
            assert desk.returned() == [back, back]

        run_virtual(run)

    def test_late_answer_admits_no_call(self) -> None:
        """A daemon that was paused acted on tokens that had expired."""

        async def run() -> None:
            desk = Desk()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(desk.take)
                await anyio.sleep(0.01)
                desk.clock.now = lambda: 5000.0  # type: ignore[method-assign]
                desk.answer(granted=2)
            desk.limiter.update({OWNER: 'a'}, 24)
            assert len(desk.returned()) == 2
            assert not any(
                isinstance(one, Token) and one.owner for one in desk.decisions
            )

        run_virtual(run)

    def test_empty_owner_is_not_asked_again_before_its_time(self) -> None:
        """Each call of a flood asked all owners."""

        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=0)
            assert isinstance(desk.decisions[0], QuotaRefusal)
            assert desk.decisions[0].wait == pytest.approx(400, abs=5)
            sent = len(desk.sent)
            for _ in range(100):
                await desk.take()
            assert len(desk.sent) == sent
            assert desk.clock.now() < 10
            await anyio.sleep(0.4)
            await ask(desk, granted=1)
            assert isinstance(desk.decisions[-1], Token)

        run_virtual(run)

    def test_calls_do_not_wait_twice_for_a_silent_owner(self) -> None:
        async def run() -> None:
            desk = Desk()
            await desk.take()
            assert desk.clock.now() == pytest.approx(30)
            for _ in range(20):
                await anyio.sleep(0.5)
                started_at = desk.clock.now()
                await desk.take()
                assert desk.clock.now() == started_at
            # It is asked from time to time, and heard when it is back.
            sent = len(desk.sent)
            while len(desk.sent) == sent:
                await anyio.sleep(0.1)
                await desk.take()
            desk.answer(granted=1)
            await desk.take()
            token = desk.decisions[-1]
            assert isinstance(token, Token)
            assert token.owner == OWNER

        run_virtual(run)

    def test_without_contact_few_calls_are_admitted_per_window(self) -> None:
        """The sum over all daemons stays within a quarter of the slack."""

        async def run() -> None:
            desk = Desk()
            for _ in range(100):
                await desk.take()
                await anyio.sleep(0.05)
            admitted = sum(isinstance(one, Token) for one in desk.decisions)
            assert admitted <= BOUNDS.fallback_calls(LIMITS['shop']) / 24 + 1

        run_virtual(run)

    def test_idle_workspace_takes_no_memory(self) -> None:
        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=2)
            await anyio.sleep(31)
            desk.limiter.update({OWNER: 'a'}, 24)
            assert not desk.limiter.uses
            assert not desk.limiter.requests.pending

        run_virtual(run)


class TestGiveBack:
    def test_token_of_a_call_that_did_not_run_serves_the_next_one(
        self,
    ) -> None:
        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=1)
            token = desk.decisions[0]
            assert isinstance(token, Token)
            desk.limiter.give_back(token)
            await desk.take()
            assert desk.decisions[1] == token

        run_virtual(run)

    def test_token_that_has_expired_goes_back_to_its_owner(self) -> None:
        async def run() -> None:
            desk = Desk()
            await ask(desk, granted=1)
            token = desk.decisions[0]
            assert isinstance(token, Token)
            await anyio.sleep(1)
            desk.limiter.give_back(token)
            assert desk.returned() == [QuotaReturn('shop', 1, EPOCH)]

        run_virtual(run)


class TestRestart:
    def test_answer_to_an_earlier_run_is_ignored(self) -> None:
        """An owner that was paused answers requests of a killed daemon.

        Their numbers were those of the new run's requests, which may be for
        other workspaces.
        """

        async def run() -> None:
            earlier = Desk()
            restarted = Desk(seed=2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(earlier.take)
                tasks.start_soon(restarted.take)
                await anyio.sleep(0.001)
                request = earlier.sent[0]
                assert isinstance(request, QuotaRequest)
                answer = QuotaAnswer(request.number, 1, 0, EPOCH)
                restarted.limiter.receive(OWNER, answer)
            assert not any(
                isinstance(one, Token) and one.owner
                for one in restarted.decisions
            )

        run_virtual(run)


class TestFallback:
    def test_late_return_does_not_admit_a_further_call(self) -> None:
        """A call that had waited longer than a window freed another's place."""

        async def run() -> None:
            desk = Desk()
            # One call per window may be admitted without contact.
            await desk.take()
            await anyio.sleep(BOUNDS.window / 1000 + 1)
            await desk.take()
            waiting, later = desk.decisions
            assert isinstance(waiting, Token)
            assert isinstance(later, Token)
            desk.limiter.give_back(waiting)
            await desk.take()
            assert isinstance(desk.decisions[-1], QuotaRefusal)

        run_virtual(run)
