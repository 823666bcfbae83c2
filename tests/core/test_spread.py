"""Several daemons' spreading over real connections in one process."""

from collections.abc import Callable

import anyio
import pytest
from cowslippond_core import Spread
from fakes import FakeTable
from spread_fakes import accept, accepted_as, make_spread

pytestmark = pytest.mark.anyio

PATIENCE_S = 20


async def eventually(check: Callable[[], bool]) -> None:
    with anyio.fail_after(PATIENCE_S):
        while not check():
            await anyio.sleep(0.02)


async def start_fleet(tasks, spreads: list[Spread]) -> list[str]:
    return [await tasks.start(spread.run) for spread in spreads]


class TestFleet:
    async def test_a_change_reaches_daemons_cut_off_from_the_table(self):
        table, dead = FakeTable(), FakeTable()
        dead.is_down = True
        accept(table, accepted_as('till', 1, 1))
        async with anyio.create_task_group() as tasks:
            first = make_spread(table)
            address = await tasks.start(first.run)
            others = [
                make_spread(dead, seeds=(address,), seed=seed)
                for seed in range(1, 5)
            ]
            await start_fleet(tasks, others)
            await eventually(
                lambda: all(other.catalogue.revision == 1 for other in others)
            )
            accept(table, accepted_as('till', 2, 2))
            await eventually(
                lambda: all(
                    other.catalogue.versions == {'till': 2} for other in others
                )
            )
            assert all(
                other.catalogue.is_fresh(other.clock.now()) for other in others
            )
            tasks.cancel_scope.cancel()
