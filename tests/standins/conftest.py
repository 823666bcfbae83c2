"""Fixture that runs a deployment of stand-ins in child processes."""

import pathlib
from collections.abc import AsyncIterator

import pytest
from cowslippond_standins.harness._deployment import Deployment


@pytest.fixture
async def deployment(tmp_path: pathlib.Path) -> AsyncIterator[Deployment]:
    async with Deployment(tmp_path) as started:
        yield started
