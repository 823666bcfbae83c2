"""An upstream of the platform that answers on loopback, and calls to it."""

import anyio
from anyio.abc import SocketStream, TaskGroup
from cowslippond_core import (
    CallRequest,
    Clock,
    Connections,
    Upstream,
    Vm,
    VmState,
)
from cowslippond_core._attempt import Attempt, AttemptResult
from cowslippond_daemon.platform import PlatformDialect

TIMEOUT = 2000
VM_NAME = 'i-1'


def answer(status: bytes, headers: bytes, body: bytes = b'') -> bytes:
    """Return an answer with a length.

    :param headers: lines, each with its end.
    """
    return b'HTTP/1.1 %b\r\n%bcontent-length: %d\r\n\r\n%b' % (
        status,
        headers,
        len(body),
        body,
    )


async def start_upstream(tasks: TaskGroup, *answers: bytes) -> Upstream:
    """Start an upstream that answers requests in turn, on any connection."""
    remaining = list(answers)

    async def serve(stream: SocketStream) -> None:
        async with stream:
            while remaining:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                await stream.send(remaining.pop(0))

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    tasks.start_soon(listener.serve, serve)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    vm = Vm(VM_NAME, '1', 'a', VmState.LIVE, 's', f'127.0.0.1:{port}', slots=2)
    return Upstream(vm, Connections(vm.address, tasks, Clock(), 4))


async def send_call(
    upstream: Upstream, request_id: str
) -> AttemptResult | None:
    """Send an idempotent call, and return its result."""
    clock = Clock()
    request = CallRequest(
        request_id=request_id,
        method=b'GET',
        target=b'/',
        headers=(),
        body=b'',
        rest=None,
        is_idempotent=True,
        deadline=clock.now() + TIMEOUT,
        attempt=0,
        fingerprint='',
    )
    attempt = Attempt(
        upstream,
        request,
        0,
        clock,
        is_fresh=False,
        dialect=PlatformDialect(),
    )
    not_run = await attempt.start()
    if not_run is not None:
        return not_run
    return await attempt.wait_buffered(request.deadline)
