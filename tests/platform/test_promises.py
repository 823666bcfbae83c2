"""Which answers of an upstream are passed on as a promise not to run a call."""

from typing import NamedTuple

import anyio
import pytest
from core.scripted_upstream import read_whole
from cowslippond_core._attempt import Answered
from platform_upstream import answer, send_call, start_upstream

pytestmark = pytest.mark.anyio

OWN_ID = b'x-request-id: call\r\n'
SIGNED = b'%bx-response-signature: 1\r\n' % OWN_ID
PROMISES = (b'408 Timeout', b'429 Busy', b'503 Full')


class Forwarded(NamedTuple):
    """An answer as its caller gets it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


async def send_to_upstream(response: bytes) -> object:
    """Send one call; return what its caller gets, or a result without answer."""
    async with anyio.create_task_group() as tasks:
        upstream = await start_upstream(tasks, response)
        result = await send_call(upstream, 'call')
        if not isinstance(result, Answered):
            tasks.cancel_scope.cancel()
            return result
        reply = result.answer
        body = await read_whole(reply)
        tasks.cancel_scope.cancel()
    return Forwarded(reply.status, dict(reply.headers), body)


class TestUnprovenRefusal:
    @pytest.mark.parametrize('headers', [SIGNED, OWN_ID, b''])
    @pytest.mark.parametrize('status', PROMISES)
    async def test_is_not_passed_on_as_a_promise(
        self, status: bytes, headers: bytes
    ) -> None:
        """Callers sent orders again that an upstream had run and failed."""
        extra = b'retry-after: 2\r\n'
        forwarded = await send_to_upstream(
            answer(status, headers + extra, b'the ledger did not answer')
        )
        assert isinstance(forwarded, Forwarded)
        assert forwarded.status == 502
        assert forwarded.body == b'the ledger did not answer'
        assert forwarded.headers[b'retry-after'] == b'2'
        assert b'x-response-signature' not in forwarded.headers

    @pytest.mark.parametrize('status', [b'500 Failed', b'504 Late', b'404 No'])
    async def test_other_statuses_are_unchanged(self, status: bytes) -> None:
        forwarded = await send_to_upstream(answer(status, SIGNED, b'text'))
        assert isinstance(forwarded, Forwarded)
        assert forwarded.status == int(status[:3])
        assert forwarded.headers[b'x-response-signature'] == b'1'
