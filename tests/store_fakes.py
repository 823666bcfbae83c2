"""Fakes of the store and factories for tests of who reads it."""

import anyio
from cowslippond_core import (
    STORE_LOST_TABLE,
    Clock,
    Millis,
    ReaderRole,
    StoreError,
    StoreRows,
)
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._versions import Versions
from expression import Result


def make_role(clock: Clock, own: Daemon, *others: Daemon) -> ReaderRole:
    table = GossipTable('daemons', clock)
    for daemon in others:
        Membership(clock, table, daemon).send_heartbeat()
    membership = Membership(clock, GossipTable('daemons', clock), own)
    for row in table.rows():
        membership.table.merge(row)
    return ReaderRole(
        membership, Versions(), GossipTable(STORE_LOST_TABLE, clock), clock
    )


def make_daemon(number: int, domain: str) -> Daemon:
    return Daemon(f'10.0.0.{number}:1', '1', domain, '', is_leaving=False)


class ScriptedRows:
    """Returns scripted responses to reads and waits, then never responds."""

    def __init__(self, *answers: Result[StoreRows, StoreError]) -> None:
        self.answers = list(answers)
        self.requests: list[str] = []
        self.waits: list[Millis] = []

    async def read(self) -> Result[StoreRows, StoreError]:
        return await self._next('read')

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        self.waits.append(wait)
        return await self._next(f'wait {after}')

    async def _next(self, request: str) -> Result[StoreRows, StoreError]:
        self.requests.append(request)
        if self.answers:
            return self.answers.pop(0)
        await anyio.sleep_forever()
        raise AssertionError
