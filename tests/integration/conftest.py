"""Fixtures for tests with real processes."""

import pathlib
from collections.abc import AsyncIterator

import pytest
from cowslippond_standins.harness._deployment import Deployment


@pytest.fixture
async def deployment(tmp_path: pathlib.Path) -> AsyncIterator[Deployment]:
    """A platform that runs, with nothing else started yet."""
    async with Deployment(tmp_path) as running:
        yield running
