"""Faults of the stand-in platform, as seen by its clients."""

from collections.abc import AsyncIterator

import httpcore
import pytest
from cowslippond_core import Condition, DynamoTable, ItemKey, Put, TableFault
from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._deployment import Deployment

pytestmark = pytest.mark.anyio

KEY = ItemKey('p', 's')
FIRST = Put(KEY, {'n': 1}, (Condition('pk', None),))


@pytest.fixture
async def table(deployment: Deployment) -> AsyncIterator[DynamoTable]:
    client = DynamoTable(deployment.platform.url, 'table', 400)
    yield client
    await client.close()


class TestLostAnswers:
    @pytest.mark.parametrize('lost_answer', ['cut', 'hang'])
    async def test_write_takes_effect_although_its_answer_is_lost(
        self, deployment: Deployment, table: DynamoTable, lost_answer: str
    ) -> None:
        await deployment.platform.control(
            'set_faults', part='table', drop_answers=1, lost_answer=lost_answer
        )
        lost = await table.put(FIRST)
        assert lost.error.fault is TableFault.UNKNOWN
        assert (await table.get(KEY)).ok == {'n': 1}
        again = await table.put(FIRST)
        assert again.error.fault is TableFault.CONFLICT
        counters = await deployment.platform.counters()
        assert counters['table']['answers_dropped'] == 1


class TestOutages:
    @pytest.mark.parametrize('outage', ['cut', 'error', 'hang'])
    async def test_write_has_no_effect_in_an_outage(
        self, deployment: Deployment, table: DynamoTable, outage: str
    ) -> None:
        await deployment.platform.control(
            'set_faults', part='table', outage=outage
        )
        assert (await table.put(FIRST)).is_error()
        await deployment.platform.control('clear_faults')
        assert (await table.get(KEY)).ok is None
        counters = await deployment.platform.counters()
        assert counters['table']['outages'] == 1


class TestObjects:
    async def test_object_is_written_once_if_it_must_be_new(
        self, deployment: Deployment
    ) -> None:
        url = '/'.join((deployment.platform.url, 'objects/bucket/key'))
        only_new = {'if-none-match': '*'}
        async with httpcore.AsyncConnectionPool() as pool:
            first = await pool.request(
                'PUT', url, headers=only_new, content=b'1'
            )
            second = await pool.request(
                'PUT', url, headers=only_new, content=b'2'
            )
            found = await pool.request('GET', url)
            await pool.request('DELETE', url)
            gone = await pool.request('GET', url)
        assert (first.status, second.status) == (200, 412)
        assert found.content == b'1'
        assert gone.status == 404


class TestVmList:
    async def test_change_is_served_after_the_lag(
        self, deployment: Deployment
    ) -> None:
        platform = deployment.platform
        await platform.register_vm(Address('127.0.0.1', 1), vm='u', service='s')
        await platform.control('set_lag', lag_ms=60_000)
        await platform.set_state('u', 'leaving')
        assert await _http.get_json(platform.vm_list_url) == []
        await platform.control('set_lag', lag_ms=0)
        groups = await _http.get_json(platform.vm_list_url)
        assert groups[0]['labels']['state'] == 'leaving'
