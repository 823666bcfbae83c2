"""Tests of updates that are pushed to the known daemons at once."""

import anyio
import pytest
from cowslippond_core import Quarantine, _urgent_updates
from fakes import FakeTable
from spread_fakes import make_spread

pytestmark = pytest.mark.anyio


async def test_a_certain_crash_reaches_all_daemons_before_the_next_send(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_urgent_updates, 'PUSH_TIMEOUT', 10_000)
    async with anyio.create_task_group() as tasks:
        fleet = []
        for _ in range(4):
            seeds = tuple(member.gossip.address for member in fleet)
            spread = make_spread(FakeTable(), seeds=seeds)
            await tasks.start(spread.run)
            fleet.append(spread)
        quarantines = [Quarantine(spread.clock) for spread in fleet]
        for spread, quarantine in zip(fleet, quarantines, strict=True):
            spread.share_quarantine(quarantine)
        last = quarantines[-1]
        last.record_break('10.0.0.2:80', 'f')
        await last.push_updates()
        assert all(quarantine.is_suspect('f') for quarantine in quarantines)
        tasks.cancel_scope.cancel()
