"""Tests of news that are pushed to every known daemon."""

import anyio
import pytest
from cowslippond_core import Quarantine, _urgent_updates
from fakes import FakeTable
from spread_fakes import make_spread

pytestmark = pytest.mark.anyio


async def test_certain_crash_is_known_everywhere_before_the_next_send(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_urgent_updates, 'PATIENCE', 10_000)
    async with anyio.create_task_group() as tasks:
        fleet = []
        for _ in range(4):
            seeds = tuple(known.gossip.address for known in fleet)
            spread = make_spread(FakeTable(), seeds=seeds)
            await tasks.start(spread.run)
            fleet.append(spread)
        quarantines = [Quarantine(spread.clock) for spread in fleet]
        for spread, quarantine in zip(fleet, quarantines, strict=True):
            spread.share_quarantine(quarantine)
        last = quarantines[-1]
        last.record_break('10.0.0.2:80', 'f')
        await last.push_updates()
        assert all(known.is_suspect('f') for known in quarantines)
        tasks.cancel_scope.cancel()
