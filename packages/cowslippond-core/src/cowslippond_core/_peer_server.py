"""The conversations with peers that a daemon answers."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import SocketStream

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._codec import WireError
from cowslippond_core._conversation import (
    ANSWER_TIMEOUT,
    BROKEN_CONVERSATION,
    Conversation,
)
from cowslippond_core._gossip import Gossip
from cowslippond_core._metrics import Metrics
from cowslippond_core._peer_messages import Confirmation

# The longest wait for the next message of a peer, in milliseconds.
_SILENCE_LIMIT: Millis = 60_000

# The most conversations that a daemon answers at a time.
_MAX_ANSWERED = 256

_logger = logging.getLogger(__name__)


class PeerServer:
    """Answers peers, one task for each connection.

    :param gossip: what is told and learnt.
    :param clock: the clock of waits and ages.
    :param metrics: counts bytes.
    """

    def __init__(self, gossip: Gossip, clock: Clock, metrics: Metrics) -> None:
        self.gossip = gossip
        self.clock = clock
        self.metrics = metrics
        self.answered = 0

    async def serve(self, stream: SocketStream) -> None:
        """Answer a peer until it ends the conversation or falls silent."""
        async with stream:
            if self.answered >= _MAX_ANSWERED:
                return
            with self._count_answered():
                await self._answer_all(stream)

    async def _answer_all(self, stream: SocketStream) -> None:
        talk = Conversation(
            stream, self.gossip.codec, self.gossip.budget, self.metrics
        )
        try:
            await self._answer_each(talk)
        except BROKEN_CONVERSATION as broken:
            _logger.debug('conversation ended', extra={'why': repr(broken)})

    async def _answer_each(self, talk: Conversation) -> None:
        answered_at: Millis | None = None
        while True:
            with anyio.fail_after(seconds_of(_SILENCE_LIMIT)):
                message = await talk.receive()
            if isinstance(message, Confirmation):
                self._learn_after(message, answered_at)
                continue
            answered_at = self.clock.now()
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await talk.send(self.gossip.answer(message))

    def _learn_after(
        self, message: Confirmation, answered_at: Millis | None
    ) -> None:
        if answered_at is None:
            raise WireError('a confirmation before any answer')
        self.gossip.learn(message, answered_at)

    @contextmanager
    def _count_answered(self) -> Iterator[None]:
        self.answered += 1
        try:
            yield
        finally:
            self.answered -= 1
