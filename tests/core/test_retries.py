"""Retries of calls whose time is almost over."""

from types import SimpleNamespace

import pytest
from claim_fakes import make_request
from cowslippond_core import AnswerLost, Millis
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._reasons import RetryReason
from cowslippond_core._retries import retry_reason
from cowslippond_core.dispatch._retries import CallRetries
from fakes import FakeClock

DEADLINE = 1000
TIMED_OUT = AnswerLost(ExchangeFault.TIMEOUT)
BUDGET = SimpleNamespace(
    can_spend=lambda: True, can_retry=lambda: True, spend=lambda: None
)


def make_retries(clock: FakeClock) -> CallRetries:
    hooks = SimpleNamespace(count_retry=lambda _: None)
    call = SimpleNamespace(
        effective_deadline=DEADLINE,
        is_retryable=True,
        route=SimpleNamespace(max_sends=3),
    )
    ctx = SimpleNamespace(clock=clock, hooks=hooks)
    return CallRetries(ctx, SimpleNamespace(budget=BUDGET), call)


class TestWaitThatEndedEarly:
    """A timer may fire a fraction of a millisecond before the deadline.

    The call was sent again then, on a new connection that served nobody.
    """

    @pytest.mark.parametrize(('left', 'is_sent'), [(0.2, False), (5, True)])
    def test_is_not_followed_by_a_retry(
        self, left: Millis, is_sent: bool
    ) -> None:
        request = make_request('r')._replace(
            is_idempotent=True, deadline=DEADLINE
        )
        reason = retry_reason(TIMED_OUT, request, BUDGET, DEADLINE - left)
        assert (reason is RetryReason.ANSWER_LOST) == is_sent

    @pytest.mark.parametrize(('left', 'is_sent'), [(0.2, False), (5, True)])
    def test_is_not_followed_by_a_retry_of_a_dispatch(
        self, left: Millis, is_sent: bool
    ) -> None:
        retries = make_retries(FakeClock(DEADLINE - left))
        assert retries.should_retry(TIMED_OUT) == is_sent
