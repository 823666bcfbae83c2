"""Claims: a conditional write lets one daemon, once, run a keyed call.

A claimed call is never taken over. A claim that its holder does not finish
leaves the outcome of the call unknown until its row expires.
"""

import random
import uuid
from typing import NamedTuple, TypeAlias

from expression import Error, Ok, Result

from cowslippond_core._call_identity import (
    CallIdentity,
    claim_key,
    digest_bytes,
)
from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._claim_outcomes import (
    AnswerNotKept,
    AnswerRecorded,
    ClaimGranted,
    ClaimInProgress,
    ClaimLost,
    ClaimOutcome,
    ClaimUnavailable,
    KeyReused,
)
from cowslippond_core._claim_rows import (
    AnswerHead,
    ClaimRow,
    ClaimState,
    decode_row,
    encode_row,
    row_conditions,
)
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._objects import ObjectError, ObjectFault, ObjectStore
from cowslippond_core._outage_gate import OutageGate
from cowslippond_core._table import (
    Condition,
    ItemKey,
    Put,
    Table,
    TableError,
    TableFault,
)

_MILLIS_PER_SECOND = 1000
_DAY_MS = 86_400_000
_RECORD_LIFE_MS = 7 * _DAY_MS
_INLINE_BYTES = 32_768
_CLAIM_TRIES = 3
_SOONEST_RETRY_MS = 1000
_LATEST_RETRY_MS = 4000
_LOST_RETRY_AFTER_MS = 60_000
_IN_PROGRESS_RETRY_AFTER_MS = 1000
_ABSENT = (Condition('pk', None),)

StoreError: TypeAlias = TableError | ObjectError


class ClaimSettings(NamedTuple):
    """How claims are kept.

    ``record_life_ms`` is how long a row is kept, in milliseconds; it must be
    much longer than any deadline and than any caller repeats a call.
    ``inline_bytes`` is the largest body kept in the row itself; a larger one
    goes to the object store.
    """

    record_life_ms: Millis = _RECORD_LIFE_MS
    inline_bytes: int = _INLINE_BYTES


class _Ending(NamedTuple):
    """How a claim is settled in its row."""

    state: ClaimState
    answer: AnswerHead | None = None
    body: bytes = b''


class Claims:
    """The claims of one daemon on the platform's table.

    :param table: where claims and small answers are kept.
    :param object_store: where large answers are kept.
    :param clock: the clock of the deadlines.
    :param vm: the name of this VM, written into rows for operators.
    """

    def __init__(
        self,
        table: Table,
        object_store: ObjectStore,
        clock: Clock,
        vm: str,
        settings: ClaimSettings | None = None,
    ) -> None:
        self.table = table
        self.object_store = object_store
        self.clock = clock
        self.vm = vm
        self.settings = settings or ClaimSettings()
        self.draw = random.Random()
        self.gate = OutageGate(clock)

    def propose(
        self, identity: CallIdentity, request_digest: str, deadline: Millis
    ) -> Claim:
        """Return a claim with a token of its own, not yet written.

        :param deadline: the end of the caller's wait on the clock, in
            milliseconds.
        """
        left = int(deadline - self.clock.now())
        return Claim(
            claim_key(identity),
            uuid.uuid4().hex,
            request_digest,
            deadline,
            self.clock.wall() + left,
        )

    async def claim(self, claim: Claim) -> ClaimOutcome:
        """Write a proposed claim and tell what stands in the table.

        Unless the outcome is :class:`ClaimGranted`, the call must not be
        sent. A write whose answer is lost is read back and its token
        compared. After :class:`ClaimUnavailable` such a write may still take
        effect; :meth:`fence` puts an end to that. While the table gives no
        answers, most claims are refused without asking it.
        """
        if self.gate.is_shut():
            return ClaimUnavailable(self._retry_after(), is_doubtful=False)
        self.gate.note_try()
        outcome = await self._claim(claim)
        if isinstance(outcome, ClaimUnavailable):
            self.gate.note_failure()
        else:
            self.gate.note_answer()
        return outcome

    async def _claim(self, claim: Claim) -> ClaimOutcome:
        conditions = _claim_conditions(None)
        is_doubtful = False
        for _ in range(_CLAIM_TRIES):
            if not claim.may_send(self.clock.now()):
                break
            written = await self._put(
                claim, _Ending(ClaimState.CLAIMED), conditions
            )
            if written.is_ok():
                return ClaimGranted(claim)
            is_doubtful = is_doubtful or _may_take_effect(written.error)
            found = await self._read_back(claim.item, written.error)
            if found.is_error():
                break
            row = found.ok
            if row is not None and _is_decided(claim, row):
                return await self._judge(claim, row)
            conditions = _claim_conditions(row)
        return ClaimUnavailable(self._retry_after(), is_doubtful)

    async def record(
        self, claim: Claim, answer: RecordedAnswer
    ) -> Result[None, StoreError]:
        """Record the answer of a claimed call, its body first.

        Recording again after an error is safe. A conflict is final.
        """
        body = answer.body or b''
        head = _head_of(claim, answer, self.settings.inline_bytes)
        if head.stored_at:
            stored = await self.object_store.put(head.stored_at, body)
            body = b''
            # A conflict means that an earlier try has written the body.
            if stored.is_error() and stored.error.fault is not (
                ObjectFault.CONFLICT
            ):
                return Error(stored.error)
        return await self._finish(
            claim, _Ending(ClaimState.ANSWERED, head, body)
        )

    async def release(self, claim: Claim) -> Result[None, StoreError]:
        """Give back a claim whose call is proved not to have run.

        Releasing again after an error is safe. A conflict is final.
        """
        return await self._finish(claim, _Ending(ClaimState.RELEASED))

    async def fence(self, claim: Claim) -> Result[None, StoreError]:
        """Make sure that a claim which was given up never takes effect.

        A lost write of the claim may still be on its way. Whatever condition
        it carries is made false, so that the key can be claimed anew.
        """
        found = await self._read(claim.item)
        if found.is_error():
            return Error(found.error)
        conditions = _fence_conditions(claim, found.ok)
        if not conditions:
            return Ok(None)
        written = await self._put(
            claim, _Ending(ClaimState.RELEASED), conditions
        )
        if written.is_error():
            # A conflict may be the lost write itself, so it is not final.
            detail = written.error.detail
            return Error(TableError(TableFault.UNKNOWN, detail))
        return Ok(None)

    def _retry_after(self) -> Millis:
        """Return a time that spreads callers who were refused together."""
        return self.draw.uniform(_SOONEST_RETRY_MS, _LATEST_RETRY_MS)

    async def _finish(
        self, claim: Claim, ending: _Ending
    ) -> Result[None, StoreError]:
        conditions = row_conditions(claim.token, ClaimState.CLAIMED)
        written = await self._put(claim, ending, conditions)
        if written.is_ok():
            return Ok(None)
        if written.error.fault is not TableFault.CONFLICT:
            return Error(written.error)
        found = await self._read(claim.item)
        if found.is_error():
            return Error(found.error)
        if _is_settled(found.ok, claim, ending):
            return Ok(None)
        return Error(written.error)

    async def _put(
        self,
        claim: Claim,
        ending: _Ending,
        conditions: tuple[Condition, ...],
    ) -> Result[None, TableError]:
        life = int(self.settings.record_life_ms)
        row = ClaimRow(
            claim.token,
            ending.state,
            claim.request_digest,
            self.vm,
            claim.until,
            (claim.until + life) // _MILLIS_PER_SECOND,
            ending.answer,
            ending.body,
        )
        return await self.table.put(
            Put(claim.item, encode_row(row), conditions)
        )

    async def _read_back(
        self, item: ItemKey, failed: TableError
    ) -> Result[ClaimRow | None, TableError]:
        """Read a row after a failed write; leave a table alone that is down."""
        if failed.fault is TableFault.UNAVAILABLE:
            return Error(failed)
        return await self._read(item)

    async def _read(self, item: ItemKey) -> Result[ClaimRow | None, TableError]:
        found = await self.table.get(item)
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return Ok(None)
        return decode_row(found.ok).map_error(_unreadable)

    async def _judge(self, claim: Claim, row: ClaimRow) -> ClaimOutcome:
        if row.token == claim.token:
            return ClaimGranted(claim)
        if row.request_digest != claim.request_digest:
            return KeyReused()
        if row.answer is not None:
            return await self._replay(row.answer, row.body)
        left = row.until - self.clock.wall()
        if left <= 0:
            return ClaimLost(_LOST_RETRY_AFTER_MS)
        return ClaimInProgress(min(left, _IN_PROGRESS_RETRY_AFTER_MS))

    async def _replay(self, head: AnswerHead, body: bytes) -> ClaimOutcome:
        if head.stored_at:
            found = await self.object_store.get(head.stored_at)
            if found.is_error():
                return AnswerNotKept(head.status, self._retry_after())
            body = found.ok or b''
        if not head.is_kept or digest_bytes(body) != head.digest:
            return AnswerNotKept(head.status, _LOST_RETRY_AFTER_MS)
        return AnswerRecorded(
            RecordedAnswer(head.status, head.headers, body, head.rest_digest)
        )


def _may_take_effect(error: TableError) -> bool:
    return error.fault is TableFault.UNKNOWN


def _is_decided(claim: Claim, row: ClaimRow) -> bool:
    if row.request_digest != claim.request_digest:
        return True
    return row.state is not ClaimState.RELEASED


def _claim_conditions(row: ClaimRow | None) -> tuple[Condition, ...]:
    if row is None:
        return _ABSENT
    return row_conditions(row.token, row.state)


def _is_settled(row: ClaimRow | None, claim: Claim, ending: _Ending) -> bool:
    if row is None or row.token != claim.token:
        return False
    return row.state is ending.state


def _fence_conditions(
    claim: Claim, row: ClaimRow | None
) -> tuple[Condition, ...]:
    """Return the conditions of a tombstone, none if there is no need."""
    if row is None:
        return _ABSENT
    if row.state is ClaimState.RELEASED:
        return row_conditions(row.token, row.state)
    if row.token == claim.token and row.state is ClaimState.CLAIMED:
        return row_conditions(row.token, row.state)
    return ()


def _head_of(claim: Claim, answer: RecordedAnswer, inline: int) -> AnswerHead:
    body = answer.body or b''
    stored_at = ''
    if len(body) > inline:
        digest = claim.item.partition.removeprefix('claim#')
        stored_at = f'answers/{digest}/{claim.token}'
    return AnswerHead(
        answer.status,
        answer.headers,
        len(body),
        digest_bytes(body),
        stored_at,
        answer.body is not None,
        answer.rest_digest,
    )


def _unreadable(detail: str) -> TableError:
    return TableError(TableFault.UNKNOWN, f'unreadable claim: {detail}')
