"""The admin edge: health checks of the balancer and status for operators."""

import http
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from cowslippond_daemon._edge import Message, Receive, Send


class Admin:
    """The ASGI application on the admin address.

    :param is_ready: whether the balancer may send new connections.
    :param read_status: returns the status as a mapping fit for JSON.
    :param ready_path: where the balancer asks.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        read_status: Callable[[], Mapping[str, Any]],
        ready_path: str = '/healthz',
    ) -> None:
        self.ready_path = ready_path
        self.is_ready = is_ready
        self.read_status = read_status

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Answer the question of the balancer, and ``GET /status``."""
        if scope['type'] != 'http':
            return
        status, body = self._respond(scope['path'])
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', b'application/json'),
                    (b'content-length', b'%d' % len(body)),
                ],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    def _respond(self, path: str) -> tuple[int, bytes]:
        if path == self.ready_path:
            ready = self.is_ready()
            status = (
                http.HTTPStatus.OK
                if ready
                else http.HTTPStatus.SERVICE_UNAVAILABLE
            )
            return status, orjson.dumps({'ready': ready})
        if path == '/status':
            return http.HTTPStatus.OK, orjson.dumps(self.read_status())
        return http.HTTPStatus.NOT_FOUND, b'{}'
