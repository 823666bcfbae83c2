"""Tests of reading the platform's VM list."""

from types import MappingProxyType

import anyio
import orjson
import pytest
from cowslippond_core import Vm, VmState, fetch_vms, read_vms

pytestmark = pytest.mark.anyio

LABELS = MappingProxyType(
    {
        'vm': 'till-1',
        'incarnation': '7',
        'failure_domain': 'reykjavik',
        'state': 'live',
        'service': 'checkout',
    }
)


async def stay_silent(stream):
    await stream.receive()
    await anyio.sleep(60)


class TestRead:
    def test_each_target_is_a_vm(self):
        content = orjson.dumps(
            [{'targets': ['10.0.0.1:80'], 'labels': dict(LABELS)}]
        )

        assert read_vms(content).ok == (
            Vm(
                'till-1',
                '7',
                'reykjavik',
                VmState.LIVE,
                'checkout',
                '10.0.0.1:80',
                '',
            ),
        )

    @pytest.mark.parametrize(
        'bad',
        [
            {},
            7,
            {'targets': 'a:1', 'labels': dict(LABELS)},
            {'targets': ['a:1']},
            {'targets': ['a:1'], 'labels': {}},
        ],
    )
    def test_a_malformed_entry_does_not_hide_the_others(self, bad):
        good = {'targets': ['10.0.0.1:80'], 'labels': dict(LABELS)}

        vms = read_vms(orjson.dumps([bad, good])).ok

        assert [vm.address for vm in vms] == ['10.0.0.1:80']

    def test_text_that_is_not_a_json_list_is_an_error(self):
        assert read_vms(b'{').is_error()
        assert read_vms(b'{}').is_error()


class TestFetch:
    async def test_a_silent_endpoint_is_an_error_within_the_timeout(self):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, stay_silent)
            answer = await fetch_vms(f'http://127.0.0.1:{port}/vms', 100)
            tasks.cancel_scope.cancel()

        assert answer.is_error()
