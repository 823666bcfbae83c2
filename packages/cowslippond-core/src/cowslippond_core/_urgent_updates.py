"""Pushes the newest rows of a table to the known daemons at once."""

import logging
import random

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._gossip import Gossip
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._metrics import Metrics
from cowslippond_core._peer_messages import TableRows
from cowslippond_core._peer_session import (
    SESSION_ERRORS,
    PeerSession,
    split_address,
)

#: Maximum wait for the daemons to receive an update.
PUSH_TIMEOUT: Millis = 40

#: Minimum average time between two pushes, and how many may be made in a burst.
PUSH_INTERVAL: Millis = 2000
PUSH_BURST = 4

_MAX_PUSHED_ROWS = 4

# Many daemons detect a crash at the same time. In a large fleet each of them
# notifies only some daemons; gossip reaches the rest within a few rounds.
_MAX_RECEIVERS = 32

_logger = logging.getLogger(__name__)


class UrgentUpdates:
    """Pushes rows that daemons must have before a caller can retry.

    Regular gossip replicates these rows as well, so a push may be skipped or
    fail; it only makes them arrive sooner.

    :param table: the name of the table whose rows are pushed.
    :param gossip: builds the message.
    :param membership: knows the daemons to push to.
    :param clock: limits the rate of pushes.
    :param metrics: counts the bytes.
    """

    def __init__(
        self,
        table: str,
        gossip: Gossip,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.gossip = gossip
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.next_at: Millis = 0

    async def push(self) -> None:
        """Push the newest rows and wait until they arrive or time runs out.

        The push is skipped if it would exceed the rate limit.
        """
        if not self._try_acquire():
            return
        newest = self.gossip.tables[self.table].rows()[-_MAX_PUSHED_ROWS:]
        update = TableRows(self.table, tuple(newest))
        with anyio.move_on_after(seconds_of(PUSH_TIMEOUT)):
            async with anyio.create_task_group() as tasks:
                for daemon in self._choose_receivers():
                    tasks.start_soon(self._try_send, daemon.address, update)

    def _choose_receivers(self) -> list[Daemon]:
        candidates = self.membership.known_daemons()
        return random.sample(candidates, min(len(candidates), _MAX_RECEIVERS))

    def _try_acquire(self) -> bool:
        now = self.clock.now()
        earliest = now - PUSH_INTERVAL * PUSH_BURST
        due_at = max(self.next_at, earliest) + PUSH_INTERVAL
        if due_at > now:
            return False
        self.next_at = due_at
        return True

    async def _try_send(self, address: str, update: TableRows) -> None:
        try:
            await self._send(address, update)
        except SESSION_ERRORS as error:
            _logger.debug(
                'urgent update not delivered to peer',
                extra={'peer': address, 'why': repr(error)},
            )

    async def _send(self, address: str, update: TableRows) -> None:
        host, port = split_address(address)
        message = self.gossip.build_exchange(0, 0)._replace(tables=(update,))
        async with await anyio.connect_tcp(host, port) as stream:
            session = PeerSession(
                stream, self.gossip.codec, self.gossip.budget, self.metrics
            )
            await session.send(message)
            await session.receive()
