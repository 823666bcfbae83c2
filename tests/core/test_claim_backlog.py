"""Tests of the background writes that settle claims."""

import anyio
import pytest
from claim_fakes import IDENTITY, ClaimDaemon, FakeObjectStore
from cowslippond_core import Claim, RecordedAnswer
from cowslippond_core._claim_backlog import RecordAnswer, ReleaseClaim
from fakes import FakeClock, FakeTable

pytestmark = pytest.mark.anyio

_CLAIMS = 40


class SlowTable(FakeTable):
    """A table that counts concurrent writes."""

    def __init__(self) -> None:
        super().__init__()
        self.concurrent_writes = 0
        self.max_concurrent_writes = 0

    async def transact(self, puts: object) -> object:
        self.concurrent_writes += 1
        self.max_concurrent_writes = max(
            self.max_concurrent_writes, self.concurrent_writes
        )
        await anyio.sleep(0.002)
        written = await super().transact(puts)
        self.concurrent_writes -= 1
        return written


async def claim_many(daemon: ClaimDaemon) -> list[Claim]:
    claims = []
    for number in range(_CLAIMS):
        identity = IDENTITY._replace(key=f'order-{number}')
        claim = daemon.claims.prepare(identity, '', daemon.clock.now() + 1000)
        await daemon.claims.claim(claim)
        claims.append(claim)
    return claims


async def test_settlements_are_written_concurrently() -> None:
    """Guard against new settlements waking only one of the workers."""
    table = SlowTable()
    daemon = ClaimDaemon('vm-1', table, FakeObjectStore(), FakeClock())
    claims = await claim_many(daemon)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(daemon.backlog.run)
        for _ in range(3):
            await anyio.sleep(0.01)
            for claim in claims:
                daemon.backlog.add(ReleaseClaim(claim))
            while not daemon.backlog.is_idle():
                await anyio.sleep(0.001)
            assert table.max_concurrent_writes > 4
            table.max_concurrent_writes = 0
        tasks.cancel_scope.cancel()


async def test_memory_is_bounded_during_an_outage() -> None:
    table = FakeTable()
    daemon = ClaimDaemon('vm-1', table, FakeObjectStore(), FakeClock())
    claims = await claim_many(daemon)
    answer = RecordedAnswer(200, (), bytes(1_000_000))
    for claim in claims * 50:
        daemon.backlog.add(RecordAnswer(claim, answer))
    assert daemon.backlog.queued_bytes < 9_000_000
    assert daemon.backlog.unsettled <= 1024
    assert daemon.backlog.dropped > 0
