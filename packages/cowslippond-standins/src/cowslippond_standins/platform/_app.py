"""The stand-in platform as an ASGI application."""

from collections.abc import Callable

import orjson
from cowslippond_core import Clock

from cowslippond_standins import _asgi
from cowslippond_standins.platform import _control
from cowslippond_standins.platform._faults import Faults, LostAnswer, Outage
from cowslippond_standins.platform._objects import ObjectApi
from cowslippond_standins.platform._table_api import WRITES, TableApi
from cowslippond_standins.platform._vms import VmRegister

_CONTROL_PATH = '/control'
_OBJECTS_PREFIX = '/objects/'
_VMS_PATH = '/vms'


class PlatformApp:
    """Serves the table, the object store, the VM list and the control path.

    ``cut`` is a callback that aborts the connection of a request.
    """

    def __init__(self) -> None:
        clock = Clock()
        self.clock = clock
        self.faults_by_part = {
            'table': Faults(clock),
            'objects': Faults(clock),
            'list': Faults(clock),
        }
        self.table = TableApi(clock, self.faults_by_part['table'])
        self.object_api = ObjectApi(clock, self.faults_by_part['objects'])
        self.vms = VmRegister(clock, self.faults_by_part['list'])
        self.cut: Callable[[_asgi.Scope], None] = _ignore_cut

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Answer one request."""
        if not _asgi.is_http(scope):
            return
        payload = await _asgi.read_body(receive)
        if scope['path'] == _CONTROL_PATH:
            await _asgi.send_answer(send, self._control(scope, payload))
            return
        faults = self.faults_by_part[_part_of(scope)]
        if not await self._passes_faults(faults, scope, receive, send):
            return
        answer = self._answer(scope, payload)
        if _is_write(scope) and faults.consume_answer_drop():
            if faults.lost_answer == LostAnswer.HANG:
                await _asgi.wait_for_disconnect(receive)
            await self._drop_connection(scope, receive)
            return
        await _asgi.send_answer(send, answer)

    async def _passes_faults(
        self,
        faults: Faults,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> bool:
        if faults.delay_ms > 0:
            faults.counters['delayed'] += 1
            await self.clock.sleep(faults.delay_ms)
        if faults.outage == Outage.NONE:
            return True
        faults.counters['outages'] += 1
        if faults.outage == Outage.ERROR:
            await _asgi.send_answer(send, _asgi.Answer(_asgi.HTTP_UNAVAILABLE))
        elif faults.outage == Outage.CUT:
            await self._drop_connection(scope, receive)
        else:
            await _asgi.wait_for_disconnect(receive)
        return False

    async def _drop_connection(
        self, scope: _asgi.Scope, receive: _asgi.Receive
    ) -> None:
        self.cut(scope)
        await _asgi.wait_for_disconnect(receive)

    def _answer(self, scope: _asgi.Scope, payload: bytes) -> _asgi.Answer:
        path = scope['path']
        if path == _VMS_PATH:
            return _asgi.json_answer(self.vms.served())
        if path.startswith(_OBJECTS_PREFIX):
            return self.object_api.answer(
                scope['method'],
                path.removeprefix(_OBJECTS_PREFIX),
                payload,
                _asgi.header_of(scope, b'if-none-match'),
            )
        return self.table.answer(_action_of(scope), payload)

    def _control(self, scope: _asgi.Scope, payload: bytes) -> _asgi.Answer:
        if scope['method'] == 'POST':
            try:
                _control.execute(
                    orjson.loads(payload), self.faults_by_part, self.vms
                )
            except (KeyError, ValueError) as error:
                return _asgi.json_answer(repr(error), _asgi.HTTP_BAD_REQUEST)
        return _asgi.json_answer(_control.counters(self.faults_by_part))


def _ignore_cut(_: _asgi.Scope) -> None:
    """Do nothing; used until the server sets its own callback."""


def _part_of(scope: _asgi.Scope) -> str:
    if scope['path'] == _VMS_PATH:
        return 'list'
    if scope['path'].startswith(_OBJECTS_PREFIX):
        return 'objects'
    return 'table'


def _action_of(scope: _asgi.Scope) -> str:
    target = _asgi.header_of(scope, b'x-amz-target').decode()
    return target.rpartition('.')[2]


def _is_write(scope: _asgi.Scope) -> bool:
    if _part_of(scope) == 'table':
        return _action_of(scope) in WRITES
    return scope['method'] in {'PUT', 'DELETE'}
