"""HTTP control interface of the fault proxy."""

from collections.abc import Mapping
from typing import Any

import anyio
import orjson
from anyio.abc import TaskGroup
from cowslippond_core import Clock

from cowslippond_standins import _asgi
from cowslippond_standins._address import parse_address
from cowslippond_standins.fault_proxy._link import CutMode, Direction, Link


class ProxyApp:
    """ASGI application that opens links and controls their faults.

    ``POST /<command>`` takes a JSON object whose ``link`` names the link and
    whose other fields are the arguments of the command. The commands are
    ``open`` (``listen``, ``target``), ``faults`` (attributes of
    :class:`Faults`), ``cut`` (``mode``), ``silence`` (``directions``) and
    ``release``. ``GET /counters`` returns the counters of every link.
    """

    def __init__(self, group: TaskGroup) -> None:
        self.group = group
        self.clock = Clock()
        self.links: dict[str, Link] = {}

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one request."""
        if not _asgi.is_http(scope):
            return
        payload = await _asgi.read_body(receive)
        if scope['method'] == 'GET':
            await _asgi.send_answer(send, self._counters())
            return
        answer = _asgi.json_answer({})
        try:
            await self._execute(scope['path'], orjson.loads(payload))
        except (LookupError, ValueError, AttributeError) as error:
            answer = _asgi.json_answer(repr(error), _asgi.HTTP_BAD_REQUEST)
        await _asgi.send_answer(send, answer)

    async def _execute(self, path: str, command: dict[str, Any]) -> None:
        name = command.pop('link')
        if path == '/open':
            await self._open(name, command)
            return
        link = self.links[name]
        if path == '/faults':
            link.faults.update(command)
        elif path == '/cut':
            await link.cut_all(CutMode(command.get('mode', CutMode.RST)))
        elif path == '/silence':
            directions = command.get('directions', list(Direction))
            link.silence_existing({Direction(text) for text in directions})
        else:
            link.release()

    async def _open(self, name: str, command: Mapping[str, Any]) -> None:
        listen = parse_address(command['listen'])
        listener = await anyio.create_tcp_listener(
            local_host=listen.host, local_port=listen.port
        )
        link = Link(self.clock, parse_address(command['target']))
        self.links[name] = link
        self.group.start_soon(listener.serve, link.forward)

    def _counters(self) -> _asgi.Answer:
        counters = {
            name: {**link.counters, 'open': len(link.relays)}
            for name, link in self.links.items()
        }
        return _asgi.json_answer(counters)
