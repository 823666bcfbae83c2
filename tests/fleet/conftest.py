"""Fixture with a deployment of real daemons on a stand-in platform."""

import pathlib
from collections.abc import AsyncIterator

import pytest
from cowslippond_standins.fleet import FleetDeployment


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[FleetDeployment]:
    async with FleetDeployment(tmp_path) as deployment:
        yield deployment
