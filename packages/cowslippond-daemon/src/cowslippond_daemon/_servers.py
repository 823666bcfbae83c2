"""HTTP servers whose life the daemon controls itself."""

import contextlib
from collections.abc import Generator
from typing import Any

import uvicorn

_BACKLOG = 4096


class DaemonServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Handle no signal: the daemon's own handler decides on a stop."""
        yield


def make_server(
    app: Any, address: str, keep_alive_seconds: int
) -> DaemonServer:
    """Return a server for an ASGI application.

    :param address: the address to listen on, ``host:port``.
    :param keep_alive_seconds: how long an idle connection stays open.
    """
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http='httptools',
        ws='none',
        lifespan='off',
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        backlog=_BACKLOG,
        timeout_keep_alive=keep_alive_seconds,
    )
    return DaemonServer(config)
