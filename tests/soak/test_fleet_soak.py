"""Soak test: real daemons keep every promise under random faults.

``pytest tests/soak --soak`` runs many seeds, ``--soak-seed N`` runs one.
"""

import pathlib
from collections.abc import Mapping
from types import MappingProxyType

import pytest
from cowslippond_standins.fleet import FleetDeployment
from soak.checks import find_breaches
from soak.faults import draw_announcements, draw_faults
from soak.run import SoakRun

pytestmark = pytest.mark.anyio

# Together, these seeds draw most kinds of faults.
CI_SEEDS = (1, 2)
LONG_SEEDS = range(1, 51)
FAULTS = 9
ANNOUNCEMENTS = 2

# Seeds of past failures, each with its cause.
REGRESSIONS: Mapping[int, str] = MappingProxyType(
    {7: 'daemons with other addresses of the store ignored updates from peers'}
)


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Select the seeds from the command-line options."""
    if 'seed' not in metafunc.fixturenames:
        return
    chosen = metafunc.config.getoption('--soak-seed')
    is_long = metafunc.config.getoption('--soak')
    seeds = (*(LONG_SEEDS if is_long else CI_SEEDS), *REGRESSIONS)
    metafunc.parametrize('seed', seeds if chosen is None else (chosen,))


class TestFleetSoak:
    async def test_every_promise_holds(
        self, seed: int, tmp_path: pathlib.Path
    ) -> None:
        faults = [
            *draw_faults(seed, FAULTS),
            *draw_announcements(seed, ANNOUNCEMENTS),
        ]
        async with FleetDeployment(tmp_path) as fleet:
            run = SoakRun(fleet, seed)
            await run.start_shop()
            await run.run_with_faults(faults)
            fault_free = await run.run_without_faults()
            breaches = find_breaches(run, fault_free)
        assert len(run.results) > 500
        assert not breaches, '\n'.join(
            [f'seed {seed}; logs in {tmp_path}', *map(str, faults), *breaches]
        )
