"""Writes that settle claims, tried again in the background while bounded."""

from collections import deque
from functools import singledispatch
from typing import NamedTuple, TypeAlias

import anyio
from expression import Result

from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._claims import Claims, StoreError
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._objects import ObjectFault
from cowslippond_core._table import TableFault

_WORKERS = 8
_MAX_WRITES = 1024
_MAX_BYTES = 8_388_608
_KEEP_TRYING_MS = 600_000
_FIRST_PAUSE_MS = 50
_LONGEST_PAUSE_MS = 5000
_CONFLICTS = (TableFault.CONFLICT, ObjectFault.CONFLICT)


class RecordAnswer(NamedTuple):
    """Record the answer of a claimed call."""

    claim: Claim
    answer: RecordedAnswer


class ReleaseClaim(NamedTuple):
    """Give back the claim of a call that is proved not to have run."""

    claim: Claim


class FenceClaim(NamedTuple):
    """Make sure that a claim which was given up never takes effect."""

    claim: Claim


Settlement: TypeAlias = RecordAnswer | ReleaseClaim | FenceClaim


@singledispatch
async def settle(
    settlement: Settlement, claims: Claims
) -> Result[None, StoreError]:
    """Try once to carry out a settlement."""
    raise TypeError(f'no way to settle {settlement!r}')


@settle.register
async def _record(
    settlement: RecordAnswer, claims: Claims
) -> Result[None, StoreError]:
    return await claims.record(settlement.claim, settlement.answer)


@settle.register
async def _release(
    settlement: ReleaseClaim, claims: Claims
) -> Result[None, StoreError]:
    return await claims.release(settlement.claim)


@settle.register
async def _fence(
    settlement: FenceClaim, claims: Claims
) -> Result[None, StoreError]:
    return await claims.fence(settlement.claim)


class _Entry(NamedTuple):
    settlement: Settlement
    size: int
    give_up_at: Millis


class ClaimBacklog:
    """The settlements that this daemon still owes to the table.

    A settlement that is dropped leaves its claim unfinished, which callers
    hear as an unknown outcome; nothing is ever run for it.

    :param claims: the claims to settle.
    :param clock: the clock of the pauses between tries.
    """

    def __init__(self, claims: Claims, clock: Clock) -> None:
        self.claims = claims
        self.clock = clock
        self.waiting: deque[_Entry] = deque()
        self.held_bytes = 0
        self.unsettled = 0
        self.settled = 0
        self.dropped = 0
        self.tries = 0
        self.arrived = anyio.Event()

    def add(self, settlement: Settlement) -> None:
        """Queue a settlement; a body too large to hold is not kept."""
        settlement = self._shrink(settlement)
        if self.unsettled >= _MAX_WRITES:
            self.dropped += 1
            return
        size = _size_of(settlement)
        give_up_at = self.clock.now() + _KEEP_TRYING_MS
        self.waiting.append(_Entry(settlement, size, give_up_at))
        self.held_bytes += size
        self.unsettled += 1
        self.arrived.set()
        self.arrived = anyio.Event()

    def is_idle(self) -> bool:
        """Tell whether every settlement was written or dropped."""
        return self.unsettled == 0

    async def run(self) -> None:
        """Settle what is queued until cancelled."""
        async with anyio.create_task_group() as workers:
            for _ in range(_WORKERS):
                workers.start_soon(self._work)

    async def _work(self) -> None:
        while True:
            if not self.waiting:
                await self.arrived.wait()
                continue
            entry = self.waiting.popleft()
            if await self._is_settled(entry):
                self.settled += 1
            else:
                self.dropped += 1
            self.held_bytes -= entry.size
            self.unsettled -= 1

    async def _is_settled(self, entry: _Entry) -> bool:
        pause: Millis = _FIRST_PAUSE_MS
        while True:
            self.tries += 1
            written = await settle(entry.settlement, self.claims)
            if written.is_ok():
                return True
            if written.error.fault in _CONFLICTS:
                return False
            if self.clock.now() + pause > entry.give_up_at:
                return False
            await self.clock.sleep(pause)
            pause = min(pause * 2, _LONGEST_PAUSE_MS)

    def _shrink(self, settlement: Settlement) -> Settlement:
        if self.held_bytes + _size_of(settlement) <= _MAX_BYTES:
            return settlement
        if not isinstance(settlement, RecordAnswer):
            return settlement
        return settlement._replace(answer=settlement.answer._replace(body=None))


def _size_of(settlement: Settlement) -> int:
    if not isinstance(settlement, RecordAnswer):
        return 0
    return len(settlement.answer.body or b'')
