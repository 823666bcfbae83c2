"""HTTP servers whose shutdown the daemon controls."""

import contextlib
import socket
from collections.abc import Generator
from typing import Any

import anyio
import uvicorn
from cowslippond_core import HeaderList
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cowslippond_daemon._call_parser import CallParser

_BACKLOG = 4096


class DaemonProtocol(HttpToolsProtocol):
    """Reads calls from a connection as their framing says.

    The base class adds trailers to the headers of a call if they arrive before
    the call is read, although they may not replace headers such as credentials.
    After an offer to switch protocols it takes the body for the next call.
    """

    def __init__(self, **server_arguments: Any) -> None:
        super().__init__(**server_arguments)
        self.call_parser = CallParser(self)
        self.parser = self.call_parser  # type: ignore[assignment]

    def on_headers_complete(self) -> None:
        """Collect the trailers apart from the headers."""
        super().on_headers_complete()
        self.headers = []
        if not self.scope['query_string'] and _has_query(self.url):
            self.scope['raw_path'] = b'%b?' % self.scope['raw_path']

    def on_message_complete(self) -> None:
        """Handle the end of a call, unless its body follows."""
        if not self.call_parser.is_interrupted:
            super().on_message_complete()

    def received_headers(self) -> HeaderList:
        """Return the headers of the last call, with names in lower case."""
        return tuple(self.scope['headers'])


def _has_query(url: bytes) -> bool:
    """Return whether a target has a query, even an empty one.

    The query of an ASGI scope does not tell an empty one from none.
    """
    return b'?' in url.partition(b'#')[0]


class DaemonServer(uvicorn.Server):
    """A server that leaves signal handling to the daemon.

    ``ended`` is set once the server has closed all its connections.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ended = anyio.Event()

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until ``should_exit`` is set."""
        with contextlib.ExitStack() as at_end:
            at_end.callback(self.ended.set)
            await super().serve(sockets)

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their call."""
        for connection in list(self.server_state.connections):
            connection.shutdown()

    def abort_all(self) -> None:
        """Close all connections at once, without a response."""
        for connection in list(self.server_state.connections):
            if isinstance(connection, HttpToolsProtocol):
                connection.transport.abort()

    def set_idle_timeout(self, seconds: int) -> None:
        """Change the idle timeout, for existing connections as well."""
        self.config.timeout_keep_alive = seconds
        for connection in self.server_state.connections:
            if isinstance(connection, HttpToolsProtocol):
                connection.timeout_keep_alive = seconds

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers: the daemon has its own."""
        yield


def make_server(
    app: Any,
    address: str,
    keep_alive_seconds: int,
    protocol: Any = DaemonProtocol,
) -> DaemonServer:
    """Return a server for an ASGI application.

    :param address: the address to listen on, ``host:port``.
    :param keep_alive_seconds: the idle timeout of connections.
    :param protocol: makes the protocol of a connection.
    """
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http=protocol,
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
