"""Bounded background queue for the writes that settle claims."""

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
_MAX_SETTLEMENTS = 1024
_MAX_BODY_BYTES = 8_388_608
_MAX_RETRY_TIME_MS = 600_000
_INITIAL_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 5000
_CONFLICT_FAULTS = (TableFault.CONFLICT, ObjectFault.CONFLICT)


class RecordAnswer(NamedTuple):
    """Record the answer of a claimed call."""

    claim: Claim
    answer: RecordedAnswer


class ReleaseClaim(NamedTuple):
    """Release the claim of a call that is known not to have run."""

    claim: Claim


class FenceClaim(NamedTuple):
    """Prevent an abandoned write of a claim from taking effect later."""

    claim: Claim


Settlement: TypeAlias = RecordAnswer | ReleaseClaim | FenceClaim


@singledispatch
async def settle(
    settlement: Settlement, claims: Claims
) -> Result[None, StoreError]:
    """Attempt to write a settlement once."""
    raise TypeError(f'unsupported settlement: {settlement!r}')


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
    body_size: int
    give_up_at: Millis


class ClaimBacklog:
    """Queue of settlements that are not yet written to the table.

    A write that fails is retried with exponential back-off. A settlement
    that is dropped leaves its claim unfinished: callers that repeat the call
    get an unknown outcome, and the call is not run again.

    :param claims: writes the settlements.
    :param clock: times the back-off between attempts.
    """

    def __init__(self, claims: Claims, clock: Clock) -> None:
        self.claims = claims
        self.clock = clock
        self.pending: deque[_Entry] = deque()
        self.queued_bytes = 0
        self.unsettled = 0
        self.settled = 0
        self.dropped = 0
        self.attempts = 0
        self.settlement_added = anyio.Event()

    def add(self, settlement: Settlement) -> None:
        """Queue a settlement, or drop it if the queue is full.

        The body of an answer is discarded if the queued bodies would exceed
        the memory limit.
        """
        settlement = self._fit_body(settlement)
        if self.unsettled >= _MAX_SETTLEMENTS:
            self.dropped += 1
            return
        size = _body_size(settlement)
        give_up_at = self.clock.now() + _MAX_RETRY_TIME_MS
        self.pending.append(_Entry(settlement, size, give_up_at))
        self.queued_bytes += size
        self.unsettled += 1
        self.settlement_added.set()
        self.settlement_added = anyio.Event()

    def is_idle(self) -> bool:
        """Return whether every settlement has been written or dropped."""
        return self.unsettled == 0

    async def run(self) -> None:
        """Write queued settlements until cancelled."""
        async with anyio.create_task_group() as workers:
            for _ in range(_WORKERS):
                workers.start_soon(self._run_worker)

    async def _run_worker(self) -> None:
        while True:
            if not self.pending:
                await self.settlement_added.wait()
                continue
            entry = self.pending.popleft()
            if await self._settle_with_retries(entry):
                self.settled += 1
            else:
                self.dropped += 1
            self.queued_bytes -= entry.body_size
            self.unsettled -= 1

    async def _settle_with_retries(self, entry: _Entry) -> bool:
        backoff: Millis = _INITIAL_BACKOFF_MS
        while True:
            self.attempts += 1
            write_result = await settle(entry.settlement, self.claims)
            if write_result.is_ok():
                return True
            if write_result.error.fault in _CONFLICT_FAULTS:
                return False
            if self.clock.now() + backoff > entry.give_up_at:
                return False
            await self.clock.sleep(backoff)
            backoff = min(backoff * 2, _MAX_BACKOFF_MS)

    def _fit_body(self, settlement: Settlement) -> Settlement:
        if self.queued_bytes + _body_size(settlement) <= _MAX_BODY_BYTES:
            return settlement
        if not isinstance(settlement, RecordAnswer):
            return settlement
        return settlement._replace(answer=settlement.answer._replace(body=None))


def _body_size(settlement: Settlement) -> int:
    if not isinstance(settlement, RecordAnswer):
        return 0
    return len(settlement.answer.body or b'')
