"""Fixtures for tests that run real processes."""

import os
import pathlib
from collections.abc import AsyncIterator

import pytest
from cowslippond_standins.harness._deployment import Deployment
from cowslippond_standins.harness._process import child_environment

SEAMS = pathlib.Path(__file__).parent / 'seams'


@pytest.fixture
async def deployment(
    tmp_path: pathlib.Path, request: pytest.FixtureRequest
) -> AsyncIterator[Deployment]:
    """A running platform without any daemons or upstreams.

    The option ``--without`` disables one mechanism of the daemons.
    """
    async with Deployment(tmp_path) as running:
        seam = request.config.getoption('--without')
        if seam:
            path = child_environment({})['PYTHONPATH']
            running.daemon_environment = {
                'PYTHONPATH': os.pathsep.join((str(SEAMS), path)),
                'COWSLIPPOND_TEST_SEAM': seam,
            }
        yield running
