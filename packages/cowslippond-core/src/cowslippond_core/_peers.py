"""The conversations with peers that a daemon opens."""

import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._codec import (
    WireError,
)
from cowslippond_core._conversation import (
    ANSWER_TIMEOUT,
    BROKEN_CONVERSATION,
    Conversation,
    split_address,
)
from cowslippond_core._gossip import Gossip
from cowslippond_core._membership import Membership
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._peer_messages import (
    Documents,
    Exchange,
    Pull,
)

#: The most conversations that a daemon opens at a time.
ACTIVE_PEERS = 8

#: The time between two rounds of a daemon over all its conversations, in
#: milliseconds.
ROUND_INTERVAL: Millis = 333

#: The longest wait for a connection, in milliseconds.
CONNECT_TIMEOUT: Millis = 1000

#: How long a daemon talks with one peer before it chooses another, in
#: milliseconds on average.
CONVERSATION_TIME: Millis = 10_000

#: How many conversations of a daemon, on average, start a round at once when
#: there is news. Epidemic spreading with a fan-out of four leaves about one daemon
#: in fifty (e^-4) to the rounds that follow.
PROMPT_TALKS = 4

#: The least time between two rounds of one conversation, in milliseconds.
LEAST_PAUSE: Millis = 200

# Waits in milliseconds: for a peer to become known, and after a failed
# conversation.
_IDLE_WAIT: Millis = 200
_RETRY_WAIT: Millis = 500

# A wait is drawn from this part of it up to half of it more.
_LEAST_JITTER = 0.75

_logger = logging.getLogger(__name__)


class Peers:
    """The conversations of one daemon.

    Each conversation that it opens has one task: connect, exchange state in
    rounds, move on to another random peer. The number of conversations and
    of rounds a second doesn't grow with the fleet.

    :param gossip: what is told and learnt.
    :param membership: whom to talk to.
    :param clock: the clock of waits.
    :param draw: draws peers and waits.
    :param metrics: counts rounds, failures and bytes.
    """

    def __init__(
        self,
        gossip: Gossip,
        membership: Membership,
        clock: Clock,
        draw: random.Random,
        metrics: Metrics,
    ) -> None:
        self.gossip = gossip
        self.membership = membership
        self.clock = clock
        self.draw = draw
        self.metrics = metrics
        self.busy: set[str] = set()
        self.news = anyio.Event()
        self.is_new = True
        self.started_at = clock.now()

    def announce(self) -> None:
        """Start a round in some conversations at once."""
        self.news.set()
        self.news = anyio.Event()

    def announce_rows(self) -> None:
        """Start a round at once unless gossip has used up its bytes."""
        if self.gossip.budget.has_room():
            self.announce()

    async def run(self) -> None:
        """Keep up the conversations until cancelled."""
        async with anyio.create_task_group() as slots:
            for _ in range(ACTIVE_PEERS):
                slots.start_soon(self._keep_talking)

    async def _keep_talking(self) -> None:
        while True:
            address = self.membership.choose(self.draw, self.busy)
            if address is None:
                await self.clock.sleep(_IDLE_WAIT)
                continue
            with self._hold(address):
                is_success = await self._talk(address)
            if not is_success:
                await self.clock.sleep(self._jitter(_RETRY_WAIT))

    async def _talk(self, address: str) -> bool:
        try:
            await self._talk_in_rounds(address)
        except BROKEN_CONVERSATION as broken:
            self.metrics.count(Metric.GOSSIP_FAILURES)
            self.gossip.contact.note_attempt(
                address, self.clock.now(), is_success=False
            )
            _logger.debug(
                'peer cannot be reached',
                extra={'peer': address, 'why': repr(broken)},
            )
            return False
        return True

    async def _talk_in_rounds(self, address: str) -> None:
        host, port = split_address(address)
        ends_at = self.clock.now() + self._conversation_time()
        with anyio.fail_after(seconds_of(CONNECT_TIMEOUT)):
            stream = await anyio.connect_tcp(host, port)
        async with stream:
            talk = Conversation(
                stream, self.gossip.codec, self.gossip.budget, self.metrics
            )
            while self.clock.now() < ends_at:
                news = self.news
                await self._hold_round(talk, address)
                await self._pause(news)

    async def _hold_round(self, talk: Conversation, address: str) -> None:
        asked_at = self.clock.now()
        with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
            await talk.send(self.gossip.ask(self.is_new))
            theirs = await talk.receive()
        if not isinstance(theirs, Exchange):
            raise WireError(f'no exchange: {theirs!r}')
        if theirs.sender == self.gossip.address:
            self.membership.disown(address)
            raise WireError('this daemon itself')
        self.gossip.check_fleet(theirs)
        self.gossip.catalogue.hear_of(theirs.digest.revision)
        self.gossip.merge_rows(theirs)
        for name, revision in self.gossip.lagging(theirs.digest):
            await self._even_out(talk, name, revision)
        self.gossip.learn(theirs, asked_at)
        with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
            await talk.send(self.gossip.confirmation())
        self.gossip.contact.note_attempt(address, asked_at, is_success=True)
        self.metrics.count(Metric.GOSSIP_EXCHANGES)
        self.is_new = False

    async def _even_out(
        self, talk: Conversation, name: str, revision: int
    ) -> None:
        own = self.gossip.log_of(name).revision
        if revision > own:
            await self._pull(talk, name, own)
        elif revision < own:
            await self._push(talk, name, revision)

    async def _pull(self, talk: Conversation, name: str, after: int) -> None:
        while True:
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await talk.send(Pull(after, name))
                told = await talk.receive()
            if not isinstance(told, Documents):
                raise WireError(f'no documents: {told!r}')
            self.gossip.take_documents(told)
            if told.is_last or not told.documents:
                return
            after = told.documents[-1].revision

    async def _push(self, talk: Conversation, name: str, after: int) -> None:
        while True:
            told = self.gossip.documents_after(after, name)
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await talk.send(told)
                await talk.receive()
            if told.is_last:
                return
            after = told.documents[-1].revision

    async def _pause(self, news: anyio.Event) -> None:
        await self.clock.sleep(LEAST_PAUSE)
        talks = max(len(self.busy), 1)
        rest = self._jitter(ROUND_INTERVAL * talks) - LEAST_PAUSE
        if self.draw.random() * talks >= PROMPT_TALKS:
            news = anyio.Event()
        with anyio.move_on_after(seconds_of(max(rest, 0))):
            await news.wait()

    def _conversation_time(self) -> Millis:
        """Return how long to talk; short at first, when few are known.

        Otherwise daemons that start together would all stay with the seeds.
        """
        age = self.clock.now() - self.started_at
        return min(self._jitter(CONVERSATION_TIME), age)

    def _jitter(self, span: Millis) -> Millis:
        return span * (_LEAST_JITTER + self.draw.random() / 2)

    @contextmanager
    def _hold(self, address: str) -> Iterator[None]:
        self.busy.add(address)
        try:
            yield
        finally:
            self.busy.discard(address)
