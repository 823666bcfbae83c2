"""Tests of the writes that settle claims in the background."""

import anyio
import pytest
from claim_world import KEY, Daemon, FakeObjects
from cowslippond_core import Claim, RecordedAnswer
from cowslippond_core._claim_backlog import RecordAnswer, ReleaseClaim
from fakes import FakeClock, FakeTable

pytestmark = pytest.mark.anyio

_ORDERS = 40


class SlowTable(FakeTable):
    """A table that counts the writes under way at once."""

    def __init__(self) -> None:
        super().__init__()
        self.under_way = 0
        self.most_under_way = 0

    async def transact(self, puts: object) -> object:
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        await anyio.sleep(0.002)
        written = await super().transact(puts)
        self.under_way -= 1
        return written


async def claim_orders(daemon: Daemon) -> list[Claim]:
    claims = []
    for number in range(_ORDERS):
        identity = KEY._replace(key=f'order-{number}')
        claim = daemon.claims.propose(identity, '', daemon.clock.now() + 1000)
        await daemon.claims.claim(claim)
        claims.append(claim)
    return claims


async def test_settlements_are_written_side_by_side() -> None:
    """Only one of the workers was woken when settlements came."""
    table = SlowTable()
    daemon = Daemon('vm-1', table, FakeObjects(), FakeClock())
    claims = await claim_orders(daemon)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(daemon.backlog.run)
        for _ in range(3):
            await anyio.sleep(0.01)
            for claim in claims:
                daemon.backlog.add(ReleaseClaim(claim))
            while not daemon.backlog.is_idle():
                await anyio.sleep(0.001)
            assert table.most_under_way > 4
            table.most_under_way = 0
        tasks.cancel_scope.cancel()


async def test_memory_is_bounded_in_an_outage() -> None:
    table = FakeTable()
    daemon = Daemon('vm-1', table, FakeObjects(), FakeClock())
    claims = await claim_orders(daemon)
    answer = RecordedAnswer(200, (), bytes(1_000_000))
    for claim in claims * 50:
        daemon.backlog.add(RecordAnswer(claim, answer))
    assert daemon.backlog.held_bytes < 9_000_000
    assert daemon.backlog.unsettled <= 1024
    assert daemon.backlog.dropped > 0
