"""The admin endpoint: health check, status and metrics."""

import http
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from cowslippond_daemon._edge import Message, Receive, Send

#: Serves counters and histograms.
METRICS_PATH = '/metrics'


class Admin:
    """The ASGI application on the admin address.

    :param is_ready: tells whether the front balancer may open new connections.
    :param read_status: returns the status as a JSON-serializable mapping.
    :param ready_path: path of the front balancer's health check.
    :param render_metrics: returns counters and histograms in the text format;
        without it, there is no metrics path.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        read_status: Callable[[], Mapping[str, Any]],
        ready_path: str = '/healthz',
        render_metrics: Callable[[], str] | None = None,
    ) -> None:
        self.render_metrics = render_metrics
        self.ready_path = ready_path
        self.is_ready = is_ready
        self.read_status = read_status

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Serve the health check, ``/status`` and ``/metrics``."""
        if scope['type'] != 'http':
            return
        content_type = b'application/json'
        if scope['path'] == METRICS_PATH and self.render_metrics is not None:
            content_type = b'text/plain; version=0.0.4'
            status = int(http.HTTPStatus.OK)
            body = self.render_metrics().encode()
        else:
            status, body = self._respond(scope['path'])
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (b'content-type', content_type),
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
