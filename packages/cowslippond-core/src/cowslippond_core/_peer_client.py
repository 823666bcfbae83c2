"""The peer sessions that a daemon opens."""

import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import ByteStream

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._codec import (
    WireError,
)
from cowslippond_core._gossip import Gossip
from cowslippond_core._isolation import run_restarting
from cowslippond_core._membership import Membership
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._peer_messages import (
    Documents,
    Exchange,
    Pull,
)
from cowslippond_core._peer_session import (
    ANSWER_TIMEOUT,
    SESSION_ERRORS,
    PeerSession,
    split_address,
)

#: Maximum number of concurrent sessions that a daemon opens.
MAX_OPENED_SESSIONS = 8

#: Average time between two gossip rounds of a daemon, over all its sessions.
ROUND_INTERVAL: Millis = 333

#: Maximum wait for a connection.
CONNECT_TIMEOUT: Millis = 1000

#: Average duration of a session before the daemon chooses another peer.
SESSION_DURATION: Millis = 10_000

#: How many sessions of a daemon, on average, start a gossip round at once when
#: there is an update. Epidemic spreading with a fan-out of four leaves about
#: one daemon in fifty (e^-4) to the rounds that follow.
PROMPT_SESSIONS = 4

#: Minimum time between two gossip rounds of one session.
MIN_ROUND_INTERVAL: Millis = 200

#: The time between two requests for all rows of the tables is a fraction of the
#: daemon's age within these limits: lists differ much only after a start.
MIN_ALL_ROWS_INTERVAL: Millis = 400
MAX_ALL_ROWS_INTERVAL: Millis = 10_000
ALL_ROWS_AGE_FRACTION = 0.25

# How long to wait if no peer is available, and after a failed session.
_IDLE_WAIT: Millis = 200
_RETRY_WAIT: Millis = 500

# A randomized wait is this fraction of its nominal length plus a random part of
# up to half of that length.
_MIN_JITTER = 0.75

_logger = logging.getLogger(__name__)


class PeerClient:
    """Opens sessions to random peers and gossips in them.

    A fixed number of tasks each connect to a random peer, exchange state with
    it in gossip rounds and then choose another. Neither the number of sessions
    nor the rate of rounds grows with the fleet.

    :param gossip: builds and applies the messages.
    :param membership: chooses the peers.
    :param clock: used for all waits.
    :param rng: chooses peers and randomizes waits.
    :param metrics: counts rounds, failures and bytes.
    :param connect: opens a connection to a host and port.
    """

    def __init__(
        self,
        gossip: Gossip,
        membership: Membership,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        connect: Callable[[str, int], Awaitable[ByteStream]] = (
            anyio.connect_tcp
        ),
    ) -> None:
        self.gossip = gossip
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.connect = connect
        self.session_peers: set[str] = set()
        self.update_event = anyio.Event()
        self.wants_all_rows = True
        self.all_rows_at: Millis = -math.inf
        self.started_at = clock.now()

    def start_rounds(self) -> None:
        """Start a gossip round in some sessions at once."""
        self.update_event.set()
        self.update_event = anyio.Event()

    def start_row_rounds(self) -> None:
        """Start gossip rounds at once, if the byte budget allows it."""
        if self.gossip.budget.has_room():
            self.start_rounds()

    async def run(self) -> None:
        """Run the sessions until cancelled."""
        async with anyio.create_task_group() as slots:
            for _ in range(MAX_OPENED_SESSIONS):
                slots.start_soon(run_restarting, self.clock, self._run_sessions)

    async def _run_sessions(self) -> None:
        while True:
            address = self.membership.choose_peer(self.rng, self.session_peers)
            if address is None:
                await self.clock.sleep(_IDLE_WAIT)
                continue
            with self._reserve_peer(address):
                is_success = await self._run_session(address)
            if not is_success:
                await self.clock.sleep(self._jitter(_RETRY_WAIT))

    async def _run_session(self, address: str) -> bool:
        try:
            await self._run_rounds(address)
        except SESSION_ERRORS as error:
            self.metrics.count(Metric.GOSSIP_FAILURES)
            self.gossip.contact.record_attempt(
                address, self.clock.now(), is_success=False
            )
            _logger.debug(
                'peer session failed',
                extra={'peer': address, 'why': repr(error)},
            )
            return False
        return True

    async def _run_rounds(self, address: str) -> None:
        host, port = split_address(address)
        duration = self._limit_to_age(self._jitter(SESSION_DURATION))
        ends_at = self.clock.now() + duration
        with anyio.fail_after(seconds_of(CONNECT_TIMEOUT)):
            stream = await self.connect(host, port)
        async with stream:
            session = PeerSession(
                stream, self.gossip.codec, self.gossip.budget, self.metrics
            )
            is_behind = self.wants_all_rows
            while self.clock.now() < ends_at:
                update_event = self.update_event
                is_behind = await self._run_round(session, address, is_behind)
                await self._wait_for_round(update_event, is_behind)

    async def _run_round(
        self, session: PeerSession, address: str, is_behind: bool
    ) -> bool:
        """Return whether the peer knows many more daemons than this one."""
        requested_at = self.clock.now()
        wants_all_rows = is_behind and not self._time_to_all_rows()
        if wants_all_rows:
            self.all_rows_at = requested_at
        with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
            await session.send(self.gossip.build_request(wants_all_rows))
            answer = await session.receive()
        if not isinstance(answer, Exchange):
            raise WireError(f'expected an exchange, got {answer!r}')
        if answer.sender == self.gossip.address:
            self.membership.exclude_own_address(address)
            raise WireError('connected to this daemon itself')
        self.gossip.check_fleet(answer)
        self.gossip.contact.record_fleet_size(answer.digest)
        self.gossip.era.observe_digest(answer.digest)
        self.gossip.catalogue.observe_revision(answer.digest.revision)
        self.gossip.merge_rows(answer)
        for name, revision in self.gossip.out_of_sync_logs(answer.digest):
            await self._sync_log(session, name, revision)
        self.gossip.apply_peer_state(answer, requested_at)
        with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
            await session.send(self.gossip.build_confirmation())
        self.gossip.contact.record_attempt(
            address, requested_at, is_success=True
        )
        self.metrics.count(Metric.GOSSIP_EXCHANGES)
        self.wants_all_rows = False
        return self.gossip.contact.size.is_incomplete(answer.digest.daemons)

    async def _sync_log(
        self, session: PeerSession, name: str, revision: int
    ) -> None:
        own_revision = self.gossip.log_of(name).revision
        if revision > own_revision:
            await self._pull(session, name, own_revision)
        elif revision < own_revision:
            await self._push(session, name, revision)

    async def _pull(self, session: PeerSession, name: str, after: int) -> None:
        while True:
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await session.send(Pull(after, name))
                batch = await session.receive()
            if not isinstance(batch, Documents):
                raise WireError(f'expected documents, got {batch!r}')
            self.gossip.apply_documents(batch)
            if batch.is_last or not batch.documents:
                return
            after = batch.documents[-1].revision

    async def _push(self, session: PeerSession, name: str, after: int) -> None:
        while True:
            batch = self.gossip.documents_after(after, name)
            with anyio.fail_after(seconds_of(ANSWER_TIMEOUT)):
                await session.send(batch)
                await session.receive()
            if batch.is_last:
                return
            after = batch.documents[-1].revision

    async def _wait_for_round(
        self, update_event: anyio.Event, is_behind: bool
    ) -> None:
        await self.clock.sleep(MIN_ROUND_INTERVAL)
        sessions = max(len(self.session_peers), 1)
        interval = self._limit_to_age(self._jitter(ROUND_INTERVAL * sessions))
        remaining = interval - MIN_ROUND_INTERVAL
        if is_behind:
            remaining = min(remaining, self._time_to_all_rows())
        if self.rng.random() * sessions >= PROMPT_SESSIONS:
            update_event = anyio.Event()
        with anyio.move_on_after(seconds_of(max(remaining, 0))):
            await update_event.wait()

    def _time_to_all_rows(self) -> Millis:
        """Return the time until all rows may be requested again."""
        if self.wants_all_rows:
            return 0
        now = self.clock.now()
        interval = ALL_ROWS_AGE_FRACTION * (now - self.started_at)
        interval = max(interval, MIN_ALL_ROWS_INTERVAL)
        interval = min(interval, MAX_ALL_ROWS_INTERVAL)
        return max(self.all_rows_at + interval - now, 0)

    def _limit_to_age(self, span: Millis) -> Millis:
        """Limit a time span to the daemon's age.

        A new daemon knows few peers, and daemons that start together would
        otherwise all stay with the seeds.
        """
        return min(span, self.clock.now() - self.started_at)

    def _jitter(self, span: Millis) -> Millis:
        return span * (_MIN_JITTER + self.rng.random() / 2)

    @contextmanager
    def _reserve_peer(self, address: str) -> Iterator[None]:
        self.session_peers.add(address)
        try:
            yield
        finally:
            self.session_peers.discard(address)
