"""Hedges of a call whose first send is never answered, in simulated time."""

import random
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cowslippond_core import (
    AnswerMetadata,
    Call,
    CallAnswer,
    CallRefusal,
    CallRequest,
    DefaultDialect,
    Dispatch,
    DispatchContext,
    Millis,
    Quarantine,
    RefusalReason,
    Route,
    RouteMatch,
    SendingHooks,
    WeightedService,
)
from cowslippond_core._attempt import Answered
from cowslippond_core._exchange import Exchange
from cowslippond_core._failures import FailureRate
from cowslippond_core._reach import ServiceReach
from cowslippond_core._upstreams import LoadState
from cowslippond_core.placing import Grant
from cowslippond_core.placing._fair_order import FairOrder
from cowslippond_standins.model._virtual_time import (
    VirtualClock,
    backend_options,
)

TIMEOUT: Millis = 2000
PAGES = Route(
    name='pages',
    match=RouteMatch('shop.example', '/'),
    is_idempotent=True,
    timeout=TIMEOUT,
    objective=200,
    max_sends=3,
    priority=1,
    parts=(WeightedService('pages', 1),),
)


class FirstSendIsDropped:
    """Attempts of which the first never gets an answer."""

    def __init__(
        self,
        upstream: Any,
        request: CallRequest,
        number: int,
        clock: VirtualClock,
        **kwargs: Any,
    ) -> None:
        self.upstream = upstream
        self.request = request
        self.number = number
        self.clock = clock
        self.sent_at = clock.now()
        self.is_reused = False
        self.connection = None
        self.answer_metadata = AnswerMetadata()
        self.exchange = Exchange(is_head=False)

    async def start(self) -> None:
        """Send the call."""

    def limit_answer(self, until: Millis) -> None:
        """Do nothing, as answers are complete."""

    async def wait_buffered(self, until: Millis) -> Answered | None:
        """Answer after 10 ms, except for the first send."""
        if self.number:
            await self.clock.sleep(10)
            return Answered(CallAnswer(200, (), ()), self)
        await self.clock.sleep(until - self.clock.now())
        return None

    def end(self) -> None:
        self.connection = None


class Placements:
    """Places first sends, but refuses some hedges."""

    def __init__(self, refused_hedges: int) -> None:
        self.refused_hedges = refused_hedges
        self.upstream = SimpleNamespace(
            address='10.0.0.1:80',
            vm=SimpleNamespace(name='u1'),
            failures=FailureRate(),
            load_state=LoadState(),
            connections=SimpleNamespace(open=()),
            reach=ServiceReach(dict, 's'),
            answered_at=0,
        )

    async def acquire(self, call: Any) -> Grant | RefusalReason:
        """Return the upstream, or a refusal."""
        if call.is_hedge and self.refused_hedges:
            self.refused_hedges -= 1
            return RefusalReason.QUEUE_FULL
        return Grant(self.upstream, 1, 0)


def make_dispatch(clock: VirtualClock, placements: Placements) -> Dispatch:
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
        FirstSendIsDropped,
    )
    service = SimpleNamespace(
        upstreams=SimpleNamespace(by_address={}),
        estimator=SimpleNamespace(
            service_time=20, record_service_time=lambda *_: None
        ),
        budget=SimpleNamespace(
            record_call=lambda: None,
            can_retry=lambda: True,
            can_hedge=lambda: True,
            spend=lambda: None,
        ),
        placer=SimpleNamespace(
            acquire=placements.acquire,
            notify_capacity_change=lambda: None,
            limited_waits=SimpleNamespace(retry_after=lambda _: 50),
            queue=SimpleNamespace(pending=(), fair_order=FairOrder()),
        ),
    )
    now = clock.now()
    request = CallRequest(
        'r', b'GET', b'/', (), b'', None, True, now + TIMEOUT, 0, 'fingerprint'
    )
    return Dispatch(ctx, service, Call(request, PAGES, now))


async def call(refused_hedges: int) -> tuple[Any, Millis]:
    """Return the reply to one call, and how long it took."""
    clock = VirtualClock()
    placements = Placements(refused_hedges)
    reply = await make_dispatch(clock, placements).run()
    return reply, clock.now()


class TestHedgeWithoutUpstream:
    @pytest.mark.parametrize('refused_hedges', [0, 1, 5])
    def test_is_tried_again(self, refused_hedges: int) -> None:
        """A call that a full upstream had dropped got no answer at all.

        Its only hedge came while another call waited, and was refused.
        """
        reply, took = anyio.run(
            call, refused_hedges, backend_options=backend_options()
        )
        assert isinstance(reply, CallAnswer)
        assert took < 100 + refused_hedges * 60

    def test_ends_with_the_call(self) -> None:
        reply, took = anyio.run(
            call, 1_000_000, backend_options=backend_options()
        )
        assert isinstance(reply, CallRefusal)
        assert took == pytest.approx(TIMEOUT)
