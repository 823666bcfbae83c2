"""Calls to a server whose answers are read whole."""

import anyio
import httpcore
import pytest
from anyio.abc import SocketStream
from core.scripted_upstream import Script, ScriptedUpstream, script_of
from cowslippond_core import Clock, Connections
from cowslippond_core._http_calls import MAX_BODY_BYTES, HttpAnswer, HttpCalls
from cowslippond_core._http_client import HttpClient
from expression import Result

pytestmark = pytest.mark.anyio

LARGEST = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % MAX_BODY_BYTES
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%b\r\n' % (65_536, b'a' * 65_536)
TIMEOUT = 5000


async def send_without_end(stream: SocketStream, _: bytes) -> None:
    await stream.send(CHUNKED)
    while True:
        await stream.send(CHUNK)


async def call(script: Script) -> Result[HttpAnswer, str]:
    server = ScriptedUpstream(script)
    async with anyio.create_task_group() as tasks:
        await server.serve(tasks)
        calls = HttpCalls(Connections(server.address, tasks, Clock(), 1))
        result = await calls.call('GET', '/rows-feed', {}, b'', TIMEOUT)
        tasks.cancel_scope.cancel()
    return result


class TestLargeAnswer:
    async def test_without_end_is_an_error_of_the_client_of_the_platform(
        self,
    ) -> None:
        """All of it was kept until the timeout of the call."""
        server = ScriptedUpstream(send_without_end)
        async with anyio.create_task_group() as tasks:
            await server.serve(tasks)
            client = HttpClient(f'http://{server.address}', 1, TIMEOUT)
            with pytest.raises(httpcore.RemoteProtocolError):
                await client.request('GET', '/', {}, None)
            tasks.cancel_scope.cancel()

    async def test_without_end_is_an_error(self) -> None:
        """All of it was kept until the timeout of the call."""
        with anyio.fail_after(TIMEOUT / 2000):
            result = await call(send_without_end)
        assert result.is_error()
        assert result.error == 'too_large'

    async def test_of_the_largest_size_is_read(self) -> None:
        result = await call(script_of(LARGEST, b'a' * MAX_BODY_BYTES))
        assert len(result.ok.body) == MAX_BODY_BYTES
