"""Serving of ASGI applications until SIGINT or SIGTERM."""

import contextlib
import signal
from collections.abc import Generator, Sequence
from typing import Any, NamedTuple

import anyio
import uvicorn

from cowslippond_standins._asgi import Scope

_KEEP_ALIVE_SECONDS = 75
_SHUTDOWN_SECONDS = 1
_BACKLOG = 1024


class Endpoint(NamedTuple):
    """An ASGI application and the address it is served on."""

    app: Any
    host: str
    port: int


class AppServer(uvicorn.Server):
    """A server without signal handlers that can abort connections.

    Several servers share a process, which handles the signals for all.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave the signal handlers of the process unchanged."""
        yield

    def cut(self, scope: Scope) -> None:
        """Abort the connection of a request."""
        for protocol in list(self.server_state.connections):
            if getattr(protocol, 'client', None) == tuple(scope['client']):
                protocol.transport.abort()

    def cut_all(self) -> None:
        """Abort every connection."""
        for protocol in list(self.server_state.connections):
            protocol.transport.abort()


def make_server(endpoint: Endpoint) -> AppServer:
    """Return a server for an application."""
    config = uvicorn.Config(
        endpoint.app,
        host=endpoint.host,
        port=endpoint.port,
        http='httptools',
        ws='none',
        lifespan='off',
        log_level='error',
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        backlog=_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=_SHUTDOWN_SECONDS,
    )
    return AppServer(config)


async def serve_until_signal(servers: Sequence[AppServer]) -> None:
    """Run servers in this process until SIGINT or SIGTERM."""
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with anyio.create_task_group() as group:
            for server in servers:
                group.start_soon(server.serve)
            await anext(signals)
            for stopping in servers:
                stopping.should_exit = True


def run(servers: Sequence[AppServer]) -> None:
    """Run servers on uvloop until SIGINT or SIGTERM."""
    anyio.run(
        serve_until_signal,
        servers,
        backend='asyncio',
        backend_options={'use_uvloop': True},
    )
