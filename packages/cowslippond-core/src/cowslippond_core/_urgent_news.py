"""Passes the newest rows of a table to the known daemons at once."""

import logging
import random

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._conversation import (
    BROKEN_CONVERSATION,
    Conversation,
    split_address,
)
from cowslippond_core._gossip import Gossip
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._metrics import Metrics
from cowslippond_core._peer_messages import TableRows

#: The longest wait for the daemons to take the news, in milliseconds.
PATIENCE: Millis = 40

#: The least time between two pushes on average, in milliseconds, and how many
#: may follow each other at once.
PUSH_INTERVAL: Millis = 2000
PUSH_BURST = 4

_NEWEST_ROWS = 4

# A crash is seen by many daemons at once; in a large fleet each tells a part of
# it, and gossip the rest within a few rounds.
_MOST_DAEMONS = 32

_logger = logging.getLogger(__name__)


class UrgentNews:
    """Pushes rows that must be known before a caller can try again.

    Ordinary gossip passes the rows on as well, so a push may be left out or
    fail; it only makes them known sooner.

    :param table: the name of the table whose rows are pushed.
    :param gossip: composes the message.
    :param membership: who gets it.
    :param clock: bounds the wait and the rate.
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
        """Return when the daemons know the newest rows, or patience ends."""
        if not self._is_due():
            return
        newest = self.gossip.tables[self.table].rows()[-_NEWEST_ROWS:]
        told = TableRows(self.table, tuple(newest))
        with anyio.move_on_after(seconds_of(PATIENCE)):
            async with anyio.create_task_group() as tasks:
                for daemon in self._listeners():
                    tasks.start_soon(self._tell, daemon.address, told)

    def _listeners(self) -> list[Daemon]:
        known = self.membership.known()
        return random.sample(known, min(len(known), _MOST_DAEMONS))

    def _is_due(self) -> bool:
        now = self.clock.now()
        earliest = now - PUSH_INTERVAL * PUSH_BURST
        due_at = max(self.next_at, earliest) + PUSH_INTERVAL
        if due_at > now:
            return False
        self.next_at = due_at
        return True

    async def _tell(self, address: str, told: TableRows) -> None:
        try:
            await self._deliver(address, told)
        except BROKEN_CONVERSATION as broken:
            _logger.debug(
                'peer did not take the news',
                extra={'peer': address, 'why': repr(broken)},
            )

    async def _deliver(self, address: str, told: TableRows) -> None:
        host, port = split_address(address)
        message = self.gossip.compose(0, 0)._replace(tables=(told,))
        async with await anyio.connect_tcp(host, port) as stream:
            talk = Conversation(
                stream, self.gossip.codec, self.gossip.budget, self.metrics
            )
            await talk.send(message)
            await talk.receive()
