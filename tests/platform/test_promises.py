"""Which answers of an upstream are passed on as a promise not to run a call."""

from typing import NamedTuple

import anyio
import pytest
from core.scripted_upstream import read_whole
from cowslippond_core import AnswerLost
from cowslippond_core._attempt import Answered, NotRun
from cowslippond_core._dialect import NotRunReason
from platform_upstream import VM_NAME, answer, send_call, start_upstream

pytestmark = pytest.mark.anyio

OWN_ID = b'x-request-id: call\r\n'
SIGNED = b'%bx-response-signature: 1\r\n' % OWN_ID
PROMISES = (b'408 Timeout', b'421 Other', b'429 Busy', b'503 Full')
MARK = b'x-not-executed: 1\r\n'


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

    async def test_of_the_vm_that_a_call_was_for_is_no_misdirection(
        self,
    ) -> None:
        """An order that ran at its upstream was sent to a second one."""
        own = b'%bx-instance-id: %b\r\n' % (SIGNED, VM_NAME.encode())
        forwarded = await send_to_upstream(answer(b'421 Other', own))
        assert isinstance(forwarded, Forwarded)
        assert forwarded.status == 502

    @pytest.mark.parametrize('status', PROMISES)
    async def test_on_a_kept_connection_is_no_promise(
        self, status: bytes
    ) -> None:
        first = b'x-request-id: first\r\nx-response-signature: 1\r\n'
        async with anyio.create_task_group() as tasks:
            upstream = await start_upstream(
                tasks, answer(b'200 OK', first), answer(status, SIGNED)
            )
            assert isinstance(await send_call(upstream, 'first'), Answered)
            assert upstream.connections.idle
            result = await send_call(upstream, 'call')
            tasks.cancel_scope.cancel()
        assert isinstance(result, Answered)
        assert result.answer.status == 502


class TestProvenRefusal:
    @pytest.mark.parametrize('status', [*PROMISES, b'400 No ID'])
    async def test_is_one_that_bears_the_mark(self, status: bytes) -> None:
        assert isinstance(
            await send_to_upstream(answer(status, OWN_ID + MARK)), NotRun
        )

    async def test_is_one_of_another_vm(self) -> None:
        other = answer(b'421 Other', b'x-instance-id: i-2\r\n')
        assert await send_to_upstream(other) == NotRun(NotRunReason.OTHER_VM)


class TestMarkOfACallThatRan:
    """An order was sent to a second upstream after an answer that contradicts."""

    async def test_no_success_counts_as_not_run(self) -> None:
        result = await send_to_upstream(answer(b'200 OK', SIGNED + MARK))
        assert isinstance(result, AnswerLost)

    @pytest.mark.parametrize('status', [b'500 Failed', b'504 Late'])
    async def test_no_failure_at_work_counts_as_not_run(
        self, status: bytes
    ) -> None:
        forwarded = await send_to_upstream(answer(status, SIGNED + MARK))
        assert isinstance(forwarded, Forwarded)
        assert forwarded.status == int(status[:3])
