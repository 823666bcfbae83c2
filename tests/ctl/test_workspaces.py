"""Tests of what ``status`` shows of workspaces and evacuations."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import orjson
import pytest
from anyio.abc import ByteStream, SocketAttribute
from cowslippond_core.quotas._workspace_use import UseFigures
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._workspaces import show_workspaces

pytestmark = pytest.mark.anyio

TIMEOUT_MS = 2000


@asynccontextmanager
async def serve_status(status: dict[str, Any]) -> AsyncIterator[str]:
    """Answer each request with a status and yield the address."""
    body = orjson.dumps(status)
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)

    async def answer(stream: ByteStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(head + body)

    async with await anyio.create_tcp_listener(
        local_host='127.0.0.1'
    ) as listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            yield f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}'
            tasks.cancel_scope.cancel()


def make_status(
    vm: str, version: int, rate: float, figures: UseFigures, *evacuated: str
) -> dict[str, Any]:
    return {
        'vm': vm,
        'configuration': version,
        'quotas': {
            'alpine': {
                'rate': rate,
                'burst': 20,
                'owned': False,
                **figures._asdict(),
            }
        },
        'evacuated': list(evacuated),
    }


async def test_calls_are_added_up_and_the_newest_limit_is_shown() -> None:
    old = make_status('entry-1', 3, 10, UseFigures(4.5, 7, 2, 0))
    new = make_status('entry-2', 4, 12, UseFigures(1.25, 5, 1, 0), 'north')
    async with serve_status(new) as first, serve_status(old) as second:
        outcome = await show_workspaces([first, second], TIMEOUT_MS)
    assert outcome.code is ExitCode.DONE
    assert outcome.record['workspaces'] == {
        'alpine': {
            'rate': 12,
            'burst': 20,
            'demand': 5.8,
            'admitted': 12,
            'refused': 3,
        }
    }
    assert outcome.record['evacuated'] == {'north': 1}
    assert 'failure domain north is evacuated at 1 of 2 daemons' in (
        outcome.views
    )


async def test_silent_daemon_is_named_and_the_others_are_shown() -> None:
    """Guard against totals that look complete while a daemon is missing."""
    status = make_status('entry-1', 3, 10, UseFigures(4.5, 7, 2, 0))
    async with serve_status(status) as address:
        outcome = await show_workspaces(['127.0.0.1:9', address], TIMEOUT_MS)
    assert outcome.code is ExitCode.UNAVAILABLE
    assert list(outcome.record['faults']) == ['127.0.0.1:9']
    assert outcome.record['workspaces']['alpine']['admitted'] == 7


async def test_daemon_of_service_documents_has_no_workspaces() -> None:
    status = {'vm': 'entry-1', 'revision': 3, 'versions': {}}
    async with serve_status(status) as address:
        outcome = await show_workspaces([address], TIMEOUT_MS)
    assert outcome.record['faults'] == {
        address: 'answered with a status without workspaces'
    }
