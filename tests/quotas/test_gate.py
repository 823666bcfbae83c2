"""Which calls keep their tokens."""

import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import cast

import anyio
import pytest
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Outcome,
    RefusalReason,
)
from cowslippond_core.dispatch import Dispatch
from cowslippond_core.quotas import (
    QuotaGate,
    QuotaLimiter,
    QuotaRefusal,
    Token,
)
from fakes import FakeClock

pytestmark = pytest.mark.anyio

TOKEN = Token('shop', 'owner', 1, 0)
ANSWER = CallAnswer(200, (), cast('object', None))  # type: ignore[arg-type]
NOT_RUN = CallRefusal(Outcome.NOT_RUN, RefusalReason.DEADLINE, 100)
UNKNOWN = CallRefusal(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST, 100)


class FakeLimiter:
    def __init__(self, decision: Token | QuotaRefusal | None) -> None:
        self.decision = decision
        self.clock = FakeClock()
        self.taken: list[str] = []
        self.given_back: list[Token] = []

    async def take(self, name: str) -> Token | QuotaRefusal | None:
        self.taken.append(name)
        return self.decision

    def give_back(self, token: Token) -> None:
        self.given_back.append(token)


class FakeCall:
    def __init__(self, workspace: str | None) -> None:
        self.request = CallRequest(
            'id', b'GET', b'/', (), b'', None, True, 0, 0, '', workspace
        )


class FakeDispatch:
    """A dispatch with a known end; ``sends`` counts sends that may have run."""

    def __init__(
        self,
        reply: CallAnswer | CallRefusal | type[BaseException],
        sends: int,
        workspace: str | None = 'shop',
    ) -> None:
        self.call = FakeCall(workspace)
        self.reply = reply
        self.sends = sends
        self.may_have_run = False
        self.has_started = False
        self.wait_in_queue: Callable[[], object] = int
        self.check_first_send: (
            Callable[[], Awaitable[RefusalReason | None]] | None
        ) = None

    async def run(self) -> CallAnswer | CallRefusal:
        self.has_started = True
        await anyio.lowlevel.checkpoint()
        self.wait_in_queue()
        if self.check_first_send is not None:
            refusal = await self.check_first_send()
            if refusal is not None:
                return CallRefusal(Outcome.NOT_RUN, refusal, 100)
        self.may_have_run = self.sends > 0
        if isinstance(self.reply, type):
            raise self.reply
        return self.reply


async def run(
    limiter: FakeLimiter, dispatch: FakeDispatch
) -> CallAnswer | CallRefusal:
    gate = QuotaGate(cast(QuotaLimiter, limiter), random.Random(1))
    return await gate.run(cast(Dispatch, dispatch))


class TestQuotaGate:
    @pytest.mark.parametrize(
        ('reply', 'sends', 'is_returned'),
        [
            (ANSWER, 1, False),
            # Retries and hedges belong to the same call.
            (ANSWER, 3, False),
            (UNKNOWN, 1, False),
            (NOT_RUN, 0, True),
            # All upstreams promised that they did not run it.
            (NOT_RUN, 2, True),
            # A peer sent it to an upstream, and counted it.
            (ANSWER, 0, True),
            (UNKNOWN, 0, True),
        ],
    )
    async def test_call_that_did_not_run_returns_its_token(
        self, reply: CallAnswer | CallRefusal, sends: int, *, is_returned: bool
    ) -> None:
        limiter = FakeLimiter(TOKEN)
        assert await run(limiter, FakeDispatch(reply, sends)) == reply
        assert limiter.taken == ['shop']
        assert len(limiter.given_back) == is_returned

    @pytest.mark.parametrize('sends', [0, 1])
    async def test_caller_that_leaves_the_queue_returns_its_token(
        self, sends: int
    ) -> None:
        limiter = FakeLimiter(TOKEN)
        with pytest.raises(ZeroDivisionError):
            await run(limiter, FakeDispatch(ZeroDivisionError, sends))
        assert len(limiter.given_back) == 1 - sends

    async def test_call_beyond_the_quota_never_enters_the_queue(self) -> None:
        dispatch = FakeDispatch(ANSWER, 1)
        limiter = FakeLimiter(QuotaRefusal(200, 1, 0))
        reply = await run(limiter, dispatch)
        assert isinstance(reply, CallRefusal)
        assert reply.reason is RefusalReason.OVER_QUOTA
        assert reply.outcome is Outcome.NOT_RUN
        assert not dispatch.has_started

    async def test_refused_callers_return_at_different_times(self) -> None:
        gate = QuotaGate(
            cast(QuotaLimiter, FakeLimiter(QuotaRefusal(200, 1, 0))),
            random.Random(1),
        )
        waits = set()
        for _ in range(20):
            dispatch = cast(Dispatch, FakeDispatch(ANSWER, 1))
            reply = await gate.run(dispatch)
            assert isinstance(reply, CallRefusal)
            waits.add(reply.retry_after_ms)
        assert len(waits) == 20
        assert min(waits) >= 200
        assert max(waits) <= 300

    async def test_call_that_waited_long_takes_its_token_anew(self) -> None:
        """Calls that had waited together ran in one window with later ones."""
        limiter = FakeLimiter(TOKEN)
        dispatch = FakeDispatch(ANSWER, 1)
        dispatch.wait_in_queue = partial(limiter.clock.advance, 2000)
        assert await run(limiter, dispatch) == ANSWER
        assert limiter.taken == ['shop', 'shop']
        assert limiter.given_back == [TOKEN]

    async def test_call_that_waited_long_is_refused_beyond_the_quota(
        self,
    ) -> None:
        limiter = FakeLimiter(TOKEN)
        dispatch = FakeDispatch(ANSWER, 1)

        def wait() -> None:
            limiter.clock.advance(2000)
            limiter.decision = QuotaRefusal(200, 1, 0)

        dispatch.wait_in_queue = wait
        reply = await run(limiter, dispatch)
        assert isinstance(reply, CallRefusal)
        assert reply.reason is RefusalReason.OVER_QUOTA
        assert not dispatch.may_have_run
        assert limiter.given_back == [TOKEN]

    async def test_calls_without_a_workspace_take_no_token(self) -> None:
        limiter = FakeLimiter(TOKEN)
        dispatch = FakeDispatch(ANSWER, 1, workspace=None)
        assert await run(limiter, dispatch) == ANSWER
        assert not limiter.taken

    async def test_workspace_without_a_limit_passes(self) -> None:
        limiter = FakeLimiter(None)
        assert await run(limiter, FakeDispatch(NOT_RUN, 0)) == NOT_RUN
        assert not limiter.given_back
