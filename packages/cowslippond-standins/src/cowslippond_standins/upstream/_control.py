"""The control interface of stand-in upstreams."""

from collections.abc import Sequence

import orjson

from cowslippond_standins import _asgi
from cowslippond_standins.upstream._app import UpstreamApp


class ControlApp:
    """Serves the ledgers of upstreams and changes their behaviour.

    ``GET /ledger`` returns all runs, ``GET /ledger?orders=1`` only those of
    orders. ``POST /control`` sets the settings and faults in its JSON object,
    ``POST /cut`` aborts every connection, ``POST /clear`` clears the ledger,
    and ``POST /restart`` aborts every connection and begins a cold start. A
    leading number selects the upstream, as in ``/3/ledger``; the default is
    the first one.
    """

    def __init__(self, apps: Sequence[UpstreamApp]) -> None:
        self.apps = apps

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Answer one request."""
        if not _asgi.is_http(scope):
            return
        payload = await _asgi.read_body(receive)
        await _asgi.send_answer(send, self._answer(scope, payload))

    def _answer(self, scope: _asgi.Scope, payload: bytes) -> _asgi.Answer:
        upstream_index, _, action = scope['path'].strip('/').rpartition('/')
        app = self.apps[int(upstream_index or 0)]
        if action == 'ledger':
            only_orders = scope['query_string'] == b'orders=1'
            ledger = app.ledger.report(only_orders=only_orders)
            return _asgi.json_answer(ledger)
        if action == 'cut':
            app.cut_all()
            return _asgi.json_answer({})
        if action == 'restart':
            app.restart()
            return _asgi.json_answer({})
        if action == 'clear':
            app.ledger.clear()
            return _asgi.json_answer({})
        if action != 'control':
            return _asgi.Answer(_asgi.HTTP_NOT_FOUND)
        try:
            app.behaviour.change(orjson.loads(payload))
        except (AttributeError, ValueError, TypeError) as error:
            return _asgi.json_answer(repr(error), _asgi.HTTP_BAD_REQUEST)
        return _asgi.json_answer(app.behaviour.snapshot())
