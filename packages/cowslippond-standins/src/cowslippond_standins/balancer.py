"""Stand-in for the platform's TCP load balancer."""

import contextlib
import itertools
import signal
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import defopt
import httpcore
import orjson
from anyio.abc import SocketStream
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins import _stream
from cowslippond_standins._address import Address, parse_address

_CHECK_TIMEOUT: Millis = 1000
_DEFAULT_INTERVAL: Millis = 200
_DEFAULT_LAG: Millis = 300
_HTTP_OK = 200
_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Backend(NamedTuple):
    """A daemon that connections are balanced to."""

    caller_address: str
    admin_address: str


class HealthState(NamedTuple):
    """Result of the latest health checks of a backend.

    ``since`` is the time of the first check with this result. The result of
    the very first check is backdated by the lag, so that it applies at once.
    """

    is_healthy: bool
    since: Millis


class Balancer:
    """Distributes connections round-robin over healthy backends.

    :param lag: delay in milliseconds between a change of a backend's health
        and its addition to, or removal from, the rotation.
    """

    def __init__(
        self, clock: Clock, backends: Sequence[Backend], lag: Millis
    ) -> None:
        self.clock = clock
        self.lag = lag
        self.backends = list(backends)
        self.health_states: dict[Backend, HealthState] = {}
        self.in_service: set[Backend] = set()
        self.rotation = itertools.count()

    def candidates(self) -> list[Backend]:
        """Return the backends in service, starting with the next in turn."""
        available = [
            backend for backend in self.backends if backend in self.in_service
        ]
        if not available:
            return []
        first = next(self.rotation) % len(available)
        return available[first:] + available[:first]

    async def check_all(self) -> None:
        """Check every backend and apply health changes older than the lag."""
        async with anyio.create_task_group() as group:
            for backend in self.backends:
                group.start_soon(self._check, backend)
        self.in_service &= set(self.backends)

    async def forward(self, client: SocketStream) -> None:
        """Forward a connection to the first backend that accepts it."""
        async with client:
            for backend in self.candidates():
                with contextlib.suppress(*_CONNECTION_ERRORS):
                    address = parse_address(backend.caller_address)
                    target = await _stream.connect(address)
                    await relay(client, target)
                    return

    async def _check(self, backend: Backend) -> None:
        is_healthy = await _is_healthy(backend)
        now = self.clock.now()
        state = self.health_states.get(backend)
        if state is None or state.is_healthy != is_healthy:
            since = now if state else now - self.lag
            state = HealthState(is_healthy, since)
            self.health_states[backend] = state
        if now - state.since < self.lag:
            return
        if is_healthy:
            self.in_service.add(backend)
        else:
            self.in_service.discard(backend)


async def relay(client: SocketStream, target: SocketStream) -> None:
    """Copy bytes in both directions until both are closed or one fails."""
    async with target, anyio.create_task_group() as group:
        group.start_soon(_copy, client, target, group.cancel_scope)
        group.start_soon(_copy, target, client, group.cancel_scope)


async def _copy(
    source: SocketStream, sink: SocketStream, scope: anyio.CancelScope
) -> None:
    try:
        async for chunk in source:
            await sink.send(chunk)
    except _CONNECTION_ERRORS:
        scope.cancel()
        return
    await _stream.half_close(sink)


async def _is_healthy(backend: Backend) -> bool:
    url = f'http://{backend.admin_address}/healthz'
    try:
        with anyio.fail_after(seconds_of(_CHECK_TIMEOUT)):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request('GET', url)
    except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
        return False
    return answer.status == _HTTP_OK


async def read_vm_list(url: str) -> list[Backend] | None:
    """Return the daemons on the VM list, or ``None`` if it is unavailable."""
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request('GET', url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    if answer.status != _HTTP_OK:
        return None
    entry_vms = []
    for group in orjson.loads(answer.content):
        labels = group['labels']
        if labels['service'] == 'cowslippond' and 'caller_address' in labels:
            entry_vms.append(
                Backend(labels['caller_address'], labels['admin_address'])
            )
    return entry_vms


async def _check_periodically(
    balancer: Balancer, vm_list_url: str, interval: Millis
) -> None:
    while True:
        await balancer.clock.sleep(interval)
        await _refresh_backends(balancer, vm_list_url)


async def _refresh_backends(balancer: Balancer, vm_list_url: str) -> None:
    if vm_list_url:
        listed = await read_vm_list(vm_list_url)
        balancer.backends = balancer.backends if listed is None else listed
    await balancer.check_all()


async def _run(
    address: Address, balancer: Balancer, vm_list_url: str, interval: Millis
) -> None:
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        # Connections are accepted only after the first health checks, so that
        # the rotation starts with all healthy backends.
        await _refresh_backends(balancer, vm_list_url)
        async with anyio.create_task_group() as group:
            group.start_soon(
                _check_periodically, balancer, vm_list_url, interval
            )
            group.start_soon(listener.serve, balancer.forward)
            await anext(signals)
            group.cancel_scope.cancel()


def serve(
    *backends: str,
    port: int,
    host: str = '127.0.0.1',
    vm_list_url: str = '',
    interval_ms: float = _DEFAULT_INTERVAL,
    lag_ms: float = _DEFAULT_LAG,
) -> None:
    """Balance TCP connections over healthy daemons.

    :param backends: daemons, each as ``caller_address/admin_address``.
    :param port: port to listen on.
    :param host: address to listen on.
    :param vm_list_url: URL of a VM list that replaces the given daemons.
    :param interval_ms: interval between health checks, in milliseconds.
    :param lag_ms: delay until a health change takes effect, in milliseconds.
    """
    configured = [Backend(*text.split('/')) for text in backends]
    balancer = Balancer(Clock(), configured, lag_ms)
    anyio.run(
        _run,
        Address(host, port),
        balancer,
        vm_list_url,
        interval_ms,
        backend_options={'use_uvloop': True},
    )


if __name__ == '__main__':
    defopt.run(serve)
