"""Helpers for TCP streams of the stand-ins."""

import socket
from typing import Any

import anyio
import pytest
from cowslippond_standins import _stream

pytestmark = pytest.mark.anyio


class ClosedStream:
    """A stream whose event loop has closed the socket."""

    def extra(self, attribute: Any) -> socket.socket:
        return socket.socket(fileno=-1)


class TestReset:
    async def test_connection_that_just_closed_can_be_reset(self) -> None:
        """Cutting a link failed when one of its connections was closing."""
        stream: Any = ClosedStream()
        with anyio.fail_after(1):
            await _stream.reset(stream)
