"""Tests of connections that fail while they are being opened."""

from typing import Any, NoReturn

import anyio
import pytest
from cowslippond_core import Clock, Connections, _connections

pytestmark = pytest.mark.anyio


class ResetStream:
    """A stream whose transport has already released its socket."""

    def extra(self, *_: Any) -> NoReturn:
        raise AttributeError('getpeername')

    async def aclose(self) -> None:
        await anyio.lowlevel.checkpoint()


async def open_reset_stream(address: str, timeout: float) -> ResetStream:
    return ResetStream()


class TestAcquire:
    async def test_connection_that_is_reset_at_once_is_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A reset while a connection is opened must not raise.

        The exception gave the caller status 500 without an outcome (soak seed
        1123).
        """
        monkeypatch.setattr(_connections, '_open_stream', open_reset_stream)
        async with anyio.create_task_group() as tasks:
            connections = Connections('127.0.0.1:1', tasks, Clock(), 4)
            acquired = await connections.acquire(is_fresh=True)
        assert acquired.is_error()
        assert connections.has_room()
