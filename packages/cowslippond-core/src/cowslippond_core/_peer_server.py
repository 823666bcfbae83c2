"""The peer sessions that other daemons open to this one."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import ByteStream

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._codec import WireError
from cowslippond_core._gossip import Gossip
from cowslippond_core._metrics import Metrics
from cowslippond_core._peer_messages import Confirmation
from cowslippond_core._peer_session import (
    ANSWER_TIMEOUT,
    SESSION_ERRORS,
    PeerSession,
)

# Maximum wait for the next message from a peer.
_IDLE_TIMEOUT: Millis = 60_000

# Maximum number of concurrent sessions; further connections are closed.
_MAX_SESSIONS = 256

_logger = logging.getLogger(__name__)


class PeerServer:
    """Answers peers, with one task for each connection.

    :param gossip: builds and applies the messages.
    :param clock: measures ages.
    :param metrics: counts bytes.
    """

    def __init__(self, gossip: Gossip, clock: Clock, metrics: Metrics) -> None:
        self.gossip = gossip
        self.clock = clock
        self.metrics = metrics
        self.open_sessions = 0

    async def serve(self, stream: ByteStream) -> None:
        """Answer a peer until it closes the session or stops sending."""
        async with stream:
            if self.open_sessions >= _MAX_SESSIONS:
                return
            with self._count_session():
                await self._serve_session(stream)

    async def _serve_session(self, stream: ByteStream) -> None:
        session = PeerSession(
            stream, self.gossip.codec, self.gossip.budget, self.metrics
        )
        try:
            await self._answer_messages(session)
        except SESSION_ERRORS as error:
            _logger.debug('peer session ended', extra={'why': repr(error)})

    async def _answer_messages(self, session: PeerSession) -> None:
        answered_at: Millis | None = None
        while True:
            with anyio.fail_after(seconds_of(_IDLE_TIMEOUT)):
                message = await session.receive()
            if isinstance(message, Confirmation):
                self._apply_confirmation(message, answered_at)
                continue
            answered_at = self.clock.now()
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await session.send(self.gossip.answer(message))

    def _apply_confirmation(
        self, message: Confirmation, answered_at: Millis | None
    ) -> None:
        if answered_at is None:
            raise WireError('confirmation received before any request')
        self.gossip.apply_peer_state(message, answered_at)

    @contextmanager
    def _count_session(self) -> Iterator[None]:
        self.open_sessions += 1
        try:
            yield
        finally:
            self.open_sessions -= 1
