"""Tests of how the edge reads the body of a call."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import anyio
import pytest
from cowslippond_core import CallRefusal, Outcome, RefusalReason
from cowslippond_daemon._edge import Edge, IncomingCall

pytestmark = pytest.mark.anyio

BUFFERED_BYTES = 65_536
REFUSAL = CallRefusal(Outcome.NOT_RUN, RefusalReason.NO_SERVICE, 50)
SCOPE = MappingProxyType(
    {
        'type': 'http',
        'method': 'POST',
        'path': '/orders',
        'raw_path': b'/orders',
        'query_string': b'',
        'headers': (),
    }
)


class RecordingRouter:
    """Records the calls that it gets and the rest of their bodies."""

    def __init__(self) -> None:
        self.calls: list[IncomingCall] = []
        self.rest = b''

    async def check_head(self, _: IncomingCall) -> CallRefusal | None:
        refusal: CallRefusal | None = None
        return refusal

    def record_refusal(self, call: IncomingCall, refusal: CallRefusal) -> None:
        raise AssertionError(refusal)

    async def serve_call(self, call: IncomingCall) -> CallRefusal:
        self.calls.append(call)
        if call.rest is not None:
            self.rest = b''.join([part async for part in call.rest])
        return REFUSAL


async def serve_in_chunks(sizes: Iterable[int]) -> RecordingRouter:
    """Serve a call whose body arrives in chunks of the given sizes."""
    chunks = [bytes(size) for size in sizes]
    messages = [
        {'type': 'http.request', 'body': chunk, 'more_body': True}
        for chunk in chunks
    ]
    messages[-1]['more_body'] = False
    response_sent = anyio.Event()

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop(0)
        await response_sent.wait()
        return {'type': 'http.disconnect'}

    async def send(message: Any) -> None:
        if message['type'] == 'http.response.body':
            response_sent.set()

    router = RecordingRouter()
    await Edge(router, 5)(dict(SCOPE), receive, send)
    return router


class TestLargeBody:
    @pytest.mark.parametrize(
        'sizes',
        [(300_000,), (50_000, 250_000), (65_536, 234_464), (1, 1, 1, 299_997)],
    )
    async def test_is_split_at_a_fixed_offset_for_any_chunk_sizes(
        self, sizes: tuple[int, ...]
    ) -> None:
        """Guard against a split that depends on how the body arrives.

        A repeat with the same body, but other chunk sizes, was then treated as
        a different request.
        """
        router = await serve_in_chunks(sizes)
        call = router.calls[0]
        assert len(call.body) == BUFFERED_BYTES
        assert len(router.rest) == 300_000 - BUFFERED_BYTES

    @pytest.mark.parametrize(
        'sizes', [(BUFFERED_BYTES,), (BUFFERED_BYTES, 0), (9, 5)]
    )
    async def test_is_buffered_whole_up_to_that_offset(
        self, sizes: tuple[int, ...]
    ) -> None:
        router = await serve_in_chunks(sizes)
        call = router.calls[0]
        assert call.rest is None
        assert len(call.body) == sum(sizes)
