"""A scripted upstream on loopback, and a harness with a sender that calls it."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from functools import partial

import anyio
from anyio.abc import SocketStream, TaskGroup
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Clock,
    Quarantine,
    RetryReason,
    Sender,
    ServiceDocument,
    ServiceState,
)
from cowslippond_core import _document as doc
from cowslippond_core._vm import Vm, VmState

Script = Callable[[SocketStream, bytes], Awaitable[None]]

DOCUMENT = ServiceDocument(
    service='catalogue',
    matches=(),
    never_repeat=(),
    upstreams=doc.UpstreamCapacity(2, 250, 8),
    deadline=doc.DeadlinePolicy(2000, 10000),
    measuring=doc.MeasuringBudget(0.01),
    retries=doc.RetryBudget(0.1),
    hedging=doc.HedgePolicy(0, 20),
    limits=doc.LimitPolicy(64, 64),
    priority=doc.Priority.INTERACTIVE,
    retirement=doc.RetirementPolicy(1000),
)


def answer_bytes(body: bytes, head: bytes = b'HTTP/1.1 200 OK') -> bytes:
    return b'%b\r\ncontent-length: %d\r\n\r\n%b' % (head, len(body), body)


SHED = answer_bytes(b'', b'HTTP/1.1 503 Service Unavailable\r\nx-not-run: shed')
DRAINING = answer_bytes(
    b'', b'HTTP/1.1 503 Service Unavailable\r\nx-not-run: draining'
)


class ScriptedUpstream:
    """Answers each call with the next script; the last one is repeated."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.calls: list[bytes] = []
        self.connections = 0
        self.cut_connections = 0
        self.address = ''

    async def serve(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        tasks.start_soon(listener.serve, self._handle)

    async def _handle(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                await self._handle_calls(stream)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                self.cut_connections += 1

    async def _handle_calls(self, stream: SocketStream) -> None:
        while True:
            head = b''
            while b'\r\n\r\n' not in head:
                head += await stream.receive()
            self.calls.append(head)
            script = self.scripts[0]
            if len(self.scripts) > 1:
                self.scripts.pop(0)
            await script(stream, head)


def script_of(*steps: bytes | float) -> Script:
    """Return a script that runs steps in order.

    :param steps: bytes to send, or milliseconds to wait; a negative number
        closes the connection.
    """
    return partial(_run_steps, steps)


async def _run_steps(
    steps: Sequence[bytes | float], stream: SocketStream, head: bytes
) -> None:
    for step in steps:
        if isinstance(step, bytes):
            await stream.send(step)
            continue
        if step < 0:
            raise anyio.EndOfStream
        await anyio.sleep(step / 1000)


def make_vm(address: str, incarnation: str = '1') -> Vm:
    return Vm(address, incarnation, 'a', VmState.LIVE, 'catalogue', address, '')


class SenderHarness:
    """A sender whose retries and leaving upstreams are recorded."""

    def __init__(self, service: ServiceState, tasks: TaskGroup) -> None:
        self.service = service
        self.tasks = tasks
        self.clock = Clock()
        self.retries: list[RetryReason] = []
        self.reported_leaving: list[tuple[str, str]] = []
        self.quarantine = Quarantine(self.clock)
        self.leaving: set[str] = set()
        self.sender = Sender(
            self.clock,
            is_leaving=self.leaving.__contains__,
            mark_leaving=lambda address, source: self.reported_leaving.append(
                (address, source)
            ),
            count_retry=self.retries.append,
            quarantine=self.quarantine,
            rng=random.Random(1),
        )

    def request(self, **changes: object) -> CallRequest:
        request = CallRequest(
            request_id='r',
            method=b'GET',
            target=b'/prints',
            headers=((b'host', b'shop.example'),),
            body=b'',
            rest=None,
            is_idempotent=True,
            deadline=self.clock.now() + 1500,
            attempt=0,
            fingerprint='f',
        )
        return request._replace(**changes)

    async def call(self, **changes: object) -> bytes | CallRefusal:
        answer = await self.sender.send(self.service, self.request(**changes))
        if isinstance(answer, CallRefusal):
            return answer
        return await read_whole(answer)


async def read_whole(answer: CallAnswer) -> bytes:
    return b''.join([chunk async for chunk in answer.chunks])


@asynccontextmanager
async def sender_harness(
    *upstreams: ScriptedUpstream,
    document: ServiceDocument = DOCUMENT,
    extra: Sequence[Vm] = (),
) -> AsyncIterator[SenderHarness]:
    async with anyio.create_task_group() as tasks:
        for upstream in upstreams:
            await upstream.serve(tasks)
        service = ServiceState(document, tasks, Clock(), daemons=1)
        vms = [make_vm(upstream.address) for upstream in upstreams]
        service.update_upstreams([*vms, *extra])
        yield SenderHarness(service, tasks)
        tasks.cancel_scope.cancel()
