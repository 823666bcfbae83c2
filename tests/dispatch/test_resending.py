"""Which calls may be sent again after a promise that they did not run."""

import math
from collections.abc import AsyncIterator

import pytest
from cowslippond_core import Call, CallRequest, Route, RouteMatch
from cowslippond_core._dialect import NotRunReason

ROUTE = Route(
    name='files',
    match=RouteMatch('shop.example', '/files/'),
    is_idempotent=False,
    timeout=math.inf,
    objective=200,
    max_sends=3,
    priority=1,
    parts=(),
    is_upload=True,
)


async def rest() -> AsyncIterator[bytes]:
    yield b''


def make_call(*, is_streamed: bool) -> Call:
    request = CallRequest(
        request_id='u',
        method=b'POST',
        target=b'/files/1',
        headers=(),
        body=b'',
        rest=rest() if is_streamed else None,
        is_idempotent=False,
        deadline=math.inf,
        attempt=0,
        fingerprint='',
    )
    return Call(request, ROUTE, 0)


class TestMayResend:
    @pytest.mark.parametrize(
        'reason',
        [NotRunReason.SHED, NotRunReason.DRAINING, NotRunReason.OTHER_VM],
    )
    def test_partly_streamed_body_is_gone(self, reason: NotRunReason) -> None:
        """A second upstream or peer would get the rest of a body."""
        assert not make_call(is_streamed=True).may_resend_after(reason)
        assert make_call(is_streamed=False).may_resend_after(reason)

    def test_nothing_is_lost_without_a_connection(self) -> None:
        call = make_call(is_streamed=True)
        assert call.may_resend_after(NotRunReason.CONNECT_FAILED)

    def test_passed_deadline_ends_the_call(self) -> None:
        call = make_call(is_streamed=False)
        assert not call.may_resend_after(NotRunReason.DEADLINE)


class TestCallWithoutDeadline:
    def test_does_not_wait_for_an_upstream_forever(self) -> None:
        """Its body would stay in memory as long as no slot becomes free."""
        call = make_call(is_streamed=True)
        assert call.effective_deadline == math.inf
        assert call.placing_deadline == 30_000
