"""Measure the latency that the load balancer adds to a direct call.

Run as ``python -m cowslippond_standins.call_cost``. A trivial upstream and an
edge with a sender run in separate processes on the loopback interface. Each
round measures direct calls and calls through the edge in turn, so that noise on
the machine affects both equally.
"""

import asyncio
import contextlib
import random
import socket
import subprocess
import sys
from collections.abc import Iterator
from functools import partial
from typing import NamedTuple, cast

import anyio
import defopt
import uvloop
from cowslippond_core import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Clock,
    Millis,
    Quarantine,
)
from cowslippond_core._connection import Connection
from cowslippond_core._document import (
    DeadlinePolicy,
    HedgePolicy,
    LimitPolicy,
    MeasuringBudget,
    Priority,
    RetirementPolicy,
    RetryBudget,
    ServiceDocument,
    UpstreamCapacity,
)
from cowslippond_core._exchange import Exchange
from cowslippond_core._sender import Sender
from cowslippond_core._service_state import ServiceState
from cowslippond_core._vm import Vm, VmState
from cowslippond_daemon._caller_protocol import CallerProtocol, HeadLimits
from cowslippond_daemon._edge import Edge, IncomingCall
from cowslippond_daemon._servers import make_server
from rich.console import Console
from rich.table import Table

from cowslippond_standins._quota_cost import measure_quota_cost

_HOST = '127.0.0.1'
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-type: text/plain\r\n\r\nok'
_CALL = (
    b'GET /prints HTTP/1.1\r\nhost: shop.example\r\naccept: */*\r\n'
    b'user-agent: call-cost\r\n\r\n'
)
_START_ATTEMPTS = 100
_START_POLL_SECONDS = 0.05
_WARM_UP = 300
_SLOTS = 64
_CONNECTIONS = 250
_DEADLINE: Millis = 2000
_MEAN_PAUSE: Millis = 20
_P99 = 0.99
_KEEP_ALIVE_SECONDS = 60
_DOCUMENT = ServiceDocument(
    service='prints',
    matches=(),
    never_repeat=(),
    upstreams=UpstreamCapacity(_SLOTS, _CONNECTIONS, 1),
    deadline=DeadlinePolicy(_DEADLINE, _DEADLINE),
    measuring=MeasuringBudget(0),
    retries=RetryBudget(0),
    hedging=HedgePolicy(0, _DEADLINE),
    limits=LimitPolicy(_SLOTS, _SLOTS),
    priority=Priority.INTERACTIVE,
    retirement=RetirementPolicy(_DEADLINE),
)


class Plan(NamedTuple):
    """One row of the measurement.

    ``callers`` run concurrently. ``mean_pause`` is the mean time that a caller
    waits between two calls.
    """

    name: str
    callers: int
    mean_pause: Millis


class Latencies(NamedTuple):
    """Percentiles of the latency of a call, in milliseconds."""

    p50: float
    p99: float


_COLUMNS = (
    'direct p50',
    'direct p99',
    'through p50',
    'through p99',
    'added p50',
    'added p99',
)
_PLANS = (
    Plan('1 caller', 1, 0),
    Plan('8 callers, paced', 8, _MEAN_PAUSE),
    Plan('8 callers, at full speed', 8, 0),
)


class _TrivialUpstream(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the answers."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, _: bytes) -> None:
        """Answer a call, assuming that it arrives in a single segment."""
        self.transport.write(_ANSWER)


class _Router:
    def __init__(self, sender: Sender, service: ServiceState) -> None:
        self.sender = sender
        self.service = service
        self.clock = Clock()

    async def check_head(self, _: IncomingCall) -> CallRefusal | None:
        """Refuse no call."""
        refusal: CallRefusal | None = None
        return refusal

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        """Do not record refusals, as calls of the measurement get none."""

    async def serve_call(self, call: IncomingCall) -> CallAnswer | CallRefusal:
        """Send a call to the upstream and return its response."""
        request = CallRequest(
            request_id=call.request_id,
            method=call.method.encode(),
            target=call.target,
            headers=call.headers,
            body=call.body,
            rest=call.rest,
            is_idempotent=True,
            deadline=self.clock.now() + _DOCUMENT.deadline.default_ms,
            attempt=0,
            fingerprint='',
        )
        return await self.sender.send(self.service, request)


def serve_upstream(*, port: int) -> None:
    """Serve the trivial upstream.

    :param port: the port to listen on.
    """
    uvloop.run(_serve_upstream(port))


def serve_edge(*, port: int, upstream_port: int) -> None:
    """Serve an edge with a sender.

    :param port: the port to listen on.
    :param upstream_port: the port of the upstream.
    """
    anyio.run(
        _serve_edge,
        port,
        upstream_port,
        backend_options={'use_uvloop': True},
    )


def measure(*, calls: int = 4000, rounds: int = 4) -> None:
    """Print the latency of direct calls and of calls through the edge.

    :param calls: the number of calls for each row and path.
    :param rounds: the number of rounds into which the calls are divided.
    """
    upstream_port = _free_port()
    edge_port = _free_port()
    with (
        _process('serve-upstream', '--port', str(upstream_port)),
        _process(
            'serve-edge',
            '--port',
            str(edge_port),
            '--upstream-port',
            str(upstream_port),
        ),
    ):
        uvloop.run(_measure(upstream_port, edge_port, calls // rounds, rounds))


def quota(*, calls: int = 4000) -> None:
    """Print the time that the decision about a quota adds to a call.

    :param calls: the number of calls of each kind.
    """
    measure_quota_cost(calls, (_free_port(), _free_port()))


async def _serve_upstream(port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_TrivialUpstream, _HOST, port)
    await server.serve_forever()


async def _serve_edge(port: int, upstream_port: int) -> None:
    async with anyio.create_task_group() as tasks:
        address = f'{_HOST}:{upstream_port}'
        service = ServiceState(_DOCUMENT, tasks, Clock(), daemons=1)
        service.update_upstreams(
            [Vm('u', '1', 'a', VmState.LIVE, 'prints', address, '')]
        )
        sender = Sender(
            Clock(),
            is_leaving=set[str]().__contains__,
            mark_leaving=_ignore,
            count_retry=_ignore,
            quarantine=Quarantine(Clock()),
        )
        edge = Edge(_Router(sender, service), _KEEP_ALIVE_SECONDS)
        server = make_server(
            edge,
            f'{_HOST}:{port}',
            _KEEP_ALIVE_SECONDS,
            partial(CallerProtocol, HeadLimits(_ignore)),
        )
        await server.serve()


def _ignore(*_: object) -> None:
    """Ignore an event that the measurement does not need."""


async def _measure(
    upstream_port: int, edge_port: int, calls: int, rounds: int
) -> None:
    await _wait_listening(upstream_port)
    await _wait_listening(edge_port)
    table = Table('milliseconds', *_COLUMNS)
    for plan in _PLANS:
        await _run_calls(upstream_port, plan, _WARM_UP)
        await _run_calls(edge_port, plan, _WARM_UP)
        direct: list[float] = []
        via_edge: list[float] = []
        for _ in range(rounds):
            direct.extend(await _run_calls(upstream_port, plan, calls))
            via_edge.extend(await _run_calls(edge_port, plan, calls))
        _add_row(table, plan, _quantiles(direct), _quantiles(via_edge))
    Console().print(table)


def _add_row(
    table: Table, plan: Plan, direct: Latencies, via_edge: Latencies
) -> None:
    added = Latencies(via_edge.p50 - direct.p50, via_edge.p99 - direct.p99)
    figures = [f'{figure:.3f}' for figure in (*direct, *via_edge, *added)]
    table.add_row(plan.name, *figures)


async def _run_calls(port: int, plan: Plan, calls: int) -> list[float]:
    latencies: list[float] = []
    async with anyio.create_task_group() as tasks:
        for index in range(plan.callers):
            calls_per_caller = calls // plan.callers
            tasks.start_soon(
                _run_caller, port, plan, calls_per_caller, index, latencies
            )
    return latencies


async def _run_caller(
    port: int, plan: Plan, calls: int, index: int, latencies: list[float]
) -> None:
    clock = Clock()
    rng = random.Random(index)
    async with anyio.create_task_group() as tasks:
        stream = await anyio.connect_tcp(_HOST, port)
        connection = Connection(stream, clock)
        tasks.start_soon(connection.run, _ignore)
        for _ in range(calls):
            started_at = clock.now()
            exchange = Exchange(is_head=False)
            connection.begin_call(exchange)
            await connection.send(_CALL)
            body = await exchange.next_chunk()
            if not body or not connection.end_call():
                raise ConnectionError(f'call failed: {exchange.fault}')
            latencies.append(clock.now() - started_at)
            if plan.mean_pause:
                await clock.sleep(rng.expovariate(1 / plan.mean_pause))
        connection.close()


def _quantiles(latencies: list[float]) -> Latencies:
    ordered = sorted(latencies)
    return Latencies(
        ordered[len(ordered) // 2], ordered[int(len(ordered) * _P99)]
    )


async def _wait_listening(port: int) -> None:
    for _ in range(_START_ATTEMPTS):
        try:
            stream = await anyio.connect_tcp(_HOST, port)
        except OSError:
            await anyio.sleep(_START_POLL_SECONDS)
            continue
        await stream.aclose()
        return
    raise TimeoutError(f'no server started to listen on port {port} in time')


@contextlib.contextmanager
def _process(*arguments: str) -> Iterator[None]:
    command = [sys.executable, '-m', __spec__.name, *arguments]
    with subprocess.Popen(command) as process:
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(process.terminate)
            yield


def _free_port() -> int:
    with socket.create_server((_HOST, 0)) as server:
        port: int = server.getsockname()[1]
    return port


if __name__ == '__main__':
    defopt.run([measure, quota, serve_upstream, serve_edge])
