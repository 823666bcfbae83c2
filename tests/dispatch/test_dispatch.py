"""Dispatching a call whose answer is lost."""

import random
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cowslippond_core import (
    AnswerLost,
    AnswerMetadata,
    Call,
    CallRefusal,
    CallRequest,
    DefaultDialect,
    Dispatch,
    DispatchContext,
    Outcome,
    Quarantine,
    RefusalReason,
    Route,
    RouteMatch,
    SendingHooks,
    WeightedService,
)
from cowslippond_core._attempt import NotRun
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._failures import FailureRate
from cowslippond_core._reach import ServiceReach
from cowslippond_core._upstreams import LoadState
from cowslippond_core._warm_up import WarmUp, WarmUpPolicy
from cowslippond_core.dispatch import _dispatch
from cowslippond_core.placing import Grant
from cowslippond_core.quotas import QuotaGate, Token
from fakes import FakeClock

pytestmark = pytest.mark.anyio

ORDERS = Route(
    name='orders',
    match=RouteMatch('shop.example', '/'),
    is_idempotent=False,
    timeout=2000,
    objective=500,
    max_sends=1,
    priority=1,
    parts=(WeightedService('orders', 1),),
)


class LosingAttempt:
    """A send whose connection closes before its answer."""

    def __init__(
        self, upstream: Any, request: CallRequest, *args: Any, **kwargs: Any
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.sent_at = 0
        self.is_reused = False
        self.connection = None
        self.answer_metadata = AnswerMetadata()

    async def start(self) -> AnswerLost:
        return AnswerLost(ExchangeFault.CLOSED)

    def end(self) -> None:
        self.connection = None


def make_dispatch(tasks: anyio.abc.TaskGroup) -> Dispatch:
    clock = FakeClock(1000)
    hooks = SendingHooks(
        is_leaving=lambda _: False,
        mark_leaving=lambda *_: None,
        count_retry=lambda _: None,
        quarantine=Quarantine(clock),
    )
    ctx = DispatchContext(
        clock,
        DefaultDialect(),
        hooks,
        lambda: 1,
        random.Random(1),
        LosingAttempt,
    )
    upstream = SimpleNamespace(
        address='10.0.0.1:80',
        vm=SimpleNamespace(name='u1'),
        failures=FailureRate(),
        load_state=LoadState(),
        connections=SimpleNamespace(open=()),
        reach=ServiceReach(dict, 's'),
    )

    async def acquire(_: Any) -> Grant:
        return Grant(upstream, 1, 0)

    service = SimpleNamespace(
        upstreams=SimpleNamespace(by_address={}),
        estimator=SimpleNamespace(service_time=60),
        budget=SimpleNamespace(
            record_call=lambda: None,
            can_retry=lambda: True,
            spend=lambda: None,
        ),
        placer=SimpleNamespace(
            acquire=acquire,
            notify_capacity_change=lambda: None,
            tasks=tasks,
            limited_waits=SimpleNamespace(retry_after=lambda _: 50),
            queue=SimpleNamespace(pending=()),
        ),
    )
    request = CallRequest(
        'r', b'POST', b'/', (), b'', None, False, 3000, 0, 'fingerprint'
    )
    return Dispatch(ctx, service, Call(request, ORDERS, 1000))


class TestLostCall:
    async def test_is_refused_before_the_crash_check_ends(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Calls that cannot be retried waited 200 ms for the crash check."""
        checked: list[str] = []

        async def watch(
            _: Any, upstream: Any, *args: Any, **kwargs: Any
        ) -> None:
            checked.append(upstream.address)
            await anyio.sleep_forever()

        monkeypatch.setattr(_dispatch, 'watch_crash', watch)
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(5):
                reply = await make_dispatch(tasks).run()
            await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        assert reply.reason is RefusalReason.ANSWER_LOST
        assert checked == ['10.0.0.1:80']


class SlowCheck:
    """Allows a send; the first answer takes 400 ms."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.calls = 0

    async def __call__(self) -> None:
        self.calls += 1
        if self.calls == 1:
            self.clock.advance(400)


class TestFirstSendCheck:
    async def test_call_that_may_no_longer_be_sent_is_refused(self) -> None:
        async def refuse() -> RefusalReason:
            return RefusalReason.OVER_QUOTA

        async with anyio.create_task_group() as tasks:
            dispatch = make_dispatch(tasks)
            dispatch.check_first_send = refuse
            reply = await dispatch.run()
        assert isinstance(reply, CallRefusal)
        assert reply.outcome is Outcome.NOT_RUN
        assert reply.reason is RefusalReason.OVER_QUOTA
        assert dispatch.send_count == 0

    async def test_applies_until_a_send_may_have_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Calls that an upstream had refused waited in the queue with old tokens.

        They ran in one window with calls that arrived later.
        """
        results = [NotRun(NotRunReason.OTHER_VM), NotRun(NotRunReason.OTHER_VM)]
        checks: list[int] = []

        async def start(_: LosingAttempt) -> NotRun:
            return results.pop(0)

        monkeypatch.setattr(LosingAttempt, 'start', start)
        async with anyio.create_task_group() as tasks:
            dispatch = make_dispatch(tasks)

            async def check() -> RefusalReason | None:
                checks.append(dispatch.send_count)
                return None if results else RefusalReason.OVER_QUOTA

            dispatch.check_first_send = check
            reply = await dispatch.run()
        assert isinstance(reply, CallRefusal)
        assert reply.reason is RefusalReason.OVER_QUOTA
        assert checks == [0, 1, 2]


class TestQuotaOfRelayedCall:
    async def test_is_not_taken_twice(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A call that found no connection here kept a token, as at the peer."""
        results: list[AnswerLost | None] = [
            None,
            AnswerLost(ExchangeFault.CLOSED),
        ]
        token = Token('shop', 'owner', 1, 0)
        given_back: list[Token] = []

        async def start(_: LosingAttempt) -> NotRun:
            return NotRun(NotRunReason.CONNECT_FAILED)

        async def relay() -> AnswerLost | None:
            return results.pop(0)

        async def take(_: str) -> Token:
            return token

        monkeypatch.setattr(LosingAttempt, 'start', start)
        limiter: Any = SimpleNamespace(
            take=take, give_back=given_back.append, clock=FakeClock()
        )
        async with anyio.create_task_group() as tasks:
            dispatch = make_dispatch(tasks)
            request = dispatch.call.request._replace(workspace='shop')
            dispatch.call = dispatch.call._replace(request=request)
            monkeypatch.setattr(dispatch.relay, 'run', relay)
            reply = await QuotaGate(limiter, random.Random(1)).run(dispatch)
        assert isinstance(reply, CallRefusal)
        assert reply.outcome is Outcome.UNKNOWN
        assert dispatch.send_count == 1
        assert given_back == [token]

    @pytest.mark.parametrize(
        ('warm_up', 'evacuated', 'checks'),
        [
            (WarmUp(WarmUpPolicy(3.9, 3000)), frozenset(), 2),
            (None, frozenset(('north',)), 2),
            (None, frozenset(), 1),
        ],
    )
    async def test_upstream_is_chosen_again_after_a_slow_check(
        self, warm_up: WarmUp | None, evacuated: frozenset[str], checks: int
    ) -> None:
        """The upstream had turned cold, or was evacuated, in the meantime."""
        async with anyio.create_task_group() as tasks:
            dispatch = make_dispatch(tasks)
            dispatch.ctx = dispatch.ctx._replace(evacuated=evacuated)
            grant = await dispatch.service.placer.acquire(None)
            grant.upstream.load_state.warm_up = warm_up
            grant.upstream.failure_domain = 'north'
            check = SlowCheck(dispatch.clock)
            dispatch.check_first_send = check
            await dispatch.run()
            tasks.cancel_scope.cancel()
        assert check.calls == checks
        assert dispatch.send_count == 1
