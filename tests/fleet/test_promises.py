"""Callers of real daemons are never told 'not run' of a request that has run.

A faulty back end processes a request and then answers with a status that promises
the opposite, without stating it.
"""

import pytest
from cowslippond_standins.fleet import (
    Caller,
    CallResult,
    FleetDeployment,
    Upload,
    Verdict,
    send_upload,
)
from fleet.partitioned_shop import (
    CONTACT_SECONDS,
    Shop,
    first_tries,
    relayed_calls,
)
from fleet.shop import fail_calls, make_caller, start_shop
from fleet.upload_shop import (
    MEBIBYTE,
    add_upload_backend,
    start_node,
)

pytestmark = pytest.mark.anyio

PROMISES = (b'408 Timeout', b'429 Busy', b'503 Down')
CALLS = 10


def false_promises(
    fleet: FleetDeployment, results: list[CallResult]
) -> list[CallResult]:
    """Return the results that promise not to have run what has run."""
    ran = {run.request_id for backend in fleet.backends for run in backend.runs}
    return [
        one
        for one in results
        if one.verdict is Verdict.NOT_RUN and one.request_id in ran
    ]


async def place_orders(caller: Caller) -> None:
    for number in range(CALLS):
        await caller.send_request(f'o{number}', '/orders/1', method='POST')


class TestFailedOrder:
    @pytest.mark.parametrize('status', PROMISES)
    async def test_is_not_answered_with_a_promise(
        self, fleet: FleetDeployment, status: bytes
    ) -> None:
        """Orders ran twice, as callers retried them after a false promise."""
        node = (await start_shop(fleet))[0]
        fail_calls(fleet, status)
        caller = make_caller(fleet, node)
        await place_orders(caller)
        assert not false_promises(fleet, caller.call_results)
        runs = [run for backend in fleet.backends for run in backend.runs]
        failed = [one for one in caller.call_results if one.status == 502]
        assert failed
        assert sorted(run.request_id for run in runs) == sorted(
            one.request_id for one in failed
        )

    async def test_lookup_is_served_by_another_back_end(
        self, fleet: FleetDeployment
    ) -> None:
        """Callers got the bare 429 of one back end beside two idle ones."""
        node = (await start_shop(fleet))[0]
        fail_calls(fleet, b'429 Busy', count=1)
        caller = make_caller(fleet, node)
        for number in range(CALLS):
            await caller.send_request(f'p{number}', '/prints/1')
        verdicts = {one.verdict for one in caller.call_results}
        assert verdicts == {Verdict.GOOD}


class TestRelayedOrder:
    async def test_is_not_answered_with_a_promise(
        self, fleet: FleetDeployment
    ) -> None:
        shop = Shop(fleet)
        await shop.start()
        await shop.send_calls(1)
        shop.cut('hang')
        await shop.send_calls(CONTACT_SECONDS)
        since = fleet.clock.now()
        fail_calls(fleet, b'503 Down')
        await shop.send_calls(2)
        assert sum([await relayed_calls(node) for node in shop.nodes]) > 0
        results = first_tries(shop.partitioned, since)
        assert not false_promises(fleet, results)


class TestEarlyAnswer:
    @pytest.mark.parametrize('early_after', [0, 100_000])
    async def test_is_not_passed_on_as_a_promise(
        self, fleet: FleetDeployment, early_after: int
    ) -> None:
        backend = await add_upload_backend(fleet)
        backend.behaviour.early_after = early_after
        backend.behaviour.early_status = 503
        node = await start_node(fleet)
        upload = Upload('u', 4 * MEBIBYTE)
        response = await send_upload(node.caller_address, upload, fleet.clock)
        assert response.status == 502
