"""Claims that allow a keyed call to run at most once.

A daemon claims a call with a conditional write to the table. No other daemon
ever takes over a claimed call: if the holder of a claim does not settle it,
the outcome of the call is unknown until the row expires.
"""

import random
import uuid
from typing import NamedTuple, TypeAlias

from expression import Error, Ok, Result

from cowslippond_core._call_identity import (
    CallIdentity,
    claim_key,
    digest_body,
)
from cowslippond_core._circuit_breaker import CircuitBreaker
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
    ClaimRow,
    ClaimState,
    RecordedAnswerMetadata,
    decode_row,
    encode_row,
    row_conditions,
)
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._objects import ObjectError, ObjectFault, ObjectStore
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
_ROW_RETENTION_MS = 7 * _DAY_MS
_MAX_INLINE_BYTES = 32_768
_MAX_CLAIM_ATTEMPTS = 3
_MIN_RETRY_AFTER_MS = 1000
_MAX_RETRY_AFTER_MS = 4000
_LOST_RETRY_AFTER_MS = 60_000
_IN_PROGRESS_RETRY_AFTER_MS = 1000
_ROW_IS_ABSENT = (Condition('pk', None),)

StoreError: TypeAlias = TableError | ObjectError


class ClaimSettings(NamedTuple):
    """Settings for the storage of claims.

    ``row_retention_ms`` is how long a row is retained. It must be much longer
    than any deadline and than the time over which a caller repeats a call.
    ``max_inline_bytes`` is the largest body stored in the row itself; larger
    bodies are stored in the object store.
    """

    row_retention_ms: Millis = _ROW_RETENTION_MS
    max_inline_bytes: int = _MAX_INLINE_BYTES


class _RowUpdate(NamedTuple):
    """The new state and answer to write to the row of a claim."""

    state: ClaimState
    answer: RecordedAnswerMetadata | None = None
    body: bytes = b''


class Claims:
    """Claims that one daemon makes in the platform's table.

    :param table: stores claims and small answers.
    :param object_store: stores large answers.
    :param clock: measures the deadlines.
    :param vm: the name of this VM, recorded in rows for operators.
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
        self.rng = random.Random()
        self.breaker = CircuitBreaker(clock)

    def prepare(
        self, identity: CallIdentity, request_digest: str, deadline: Millis
    ) -> Claim:
        """Return a claim with a unique token, without writing it.

        :param deadline: the time on the clock, in milliseconds, until which
            the caller waits.
        """
        time_left = int(deadline - self.clock.now())
        return Claim(
            claim_key(identity),
            uuid.uuid4().hex,
            request_digest,
            deadline,
            self.clock.wall() + time_left,
        )

    async def claim(self, claim: Claim) -> ClaimOutcome:
        """Write a prepared claim and return the outcome.

        Unless the outcome is :class:`ClaimGranted`, the call must not be
        sent. If the answer to the write is lost, the row is read back and
        its token compared. After :class:`ClaimUnavailable` such a write may
        still take effect; :meth:`fence` prevents that. While the table does
        not answer, most claims are refused without a request to it.
        """
        if self.breaker.is_open():
            return ClaimUnavailable(
                self._retry_after(), is_write_uncertain=False
            )
        self.breaker.record_attempt()
        outcome = await self._claim_with_retries(claim)
        if isinstance(outcome, ClaimUnavailable):
            self.breaker.record_failure()
        else:
            self.breaker.record_success()
        return outcome

    async def _claim_with_retries(self, claim: Claim) -> ClaimOutcome:
        conditions = _claim_conditions(None)
        is_write_uncertain = False
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            if not claim.may_send(self.clock.now()):
                break
            write_result = await self._write_row(
                claim, _RowUpdate(ClaimState.CLAIMED), conditions
            )
            if write_result.is_ok():
                return ClaimGranted(claim)
            is_write_uncertain = is_write_uncertain or _may_take_effect(
                write_result.error
            )
            read_result = await self._read_back(
                claim.row_key, write_result.error
            )
            if read_result.is_error():
                break
            row = read_result.ok
            if row is not None and _blocks_claim(claim, row):
                return await self._outcome_from_row(claim, row)
            conditions = _claim_conditions(row)
        return ClaimUnavailable(self._retry_after(), is_write_uncertain)

    async def record(
        self, claim: Claim, answer: RecordedAnswer
    ) -> Result[None, StoreError]:
        """Record the answer of a claimed call.

        A large body is written to the object store before the row. Recording
        again after an error is safe. A conflict is final.
        """
        body = answer.body or b''
        metadata = _answer_metadata(
            claim, answer, self.settings.max_inline_bytes
        )
        if metadata.stored_at:
            put_result = await self.object_store.put(metadata.stored_at, body)
            body = b''
            # A conflict means that an earlier attempt stored the body.
            if put_result.is_error() and put_result.error.fault is not (
                ObjectFault.CONFLICT
            ):
                return Error(put_result.error)
        return await self._settle(
            claim, _RowUpdate(ClaimState.ANSWERED, metadata, body)
        )

    async def release(self, claim: Claim) -> Result[None, StoreError]:
        """Release a claim whose call is known not to have run.

        Releasing again after an error is safe. A conflict is final.
        """
        return await self._settle(claim, _RowUpdate(ClaimState.RELEASED))

    async def fence(self, claim: Claim) -> Result[None, StoreError]:
        """Prevent an unconfirmed write of a claim from taking effect.

        The write may still be in flight. Updating the row makes its condition
        false, and the key can be claimed again.
        """
        read_result = await self._read_row(claim.row_key)
        if read_result.is_error():
            return Error(read_result.error)
        conditions = _fence_conditions(claim, read_result.ok)
        if not conditions:
            return Ok(None)
        write_result = await self._write_row(
            claim, _RowUpdate(ClaimState.RELEASED), conditions
        )
        if write_result.is_error():
            # The conflict may be caused by the unconfirmed write itself, so
            # it is not final.
            detail = write_result.error.detail
            return Error(TableError(TableFault.UNKNOWN, detail))
        return Ok(None)

    def _retry_after(self) -> Millis:
        """Return a random delay that spreads the retries of refused callers."""
        return self.rng.uniform(_MIN_RETRY_AFTER_MS, _MAX_RETRY_AFTER_MS)

    async def _settle(
        self, claim: Claim, update: _RowUpdate
    ) -> Result[None, StoreError]:
        conditions = row_conditions(claim.token, ClaimState.CLAIMED)
        write_result = await self._write_row(claim, update, conditions)
        if write_result.is_ok():
            return Ok(None)
        if write_result.error.fault is not TableFault.CONFLICT:
            return Error(write_result.error)
        read_result = await self._read_row(claim.row_key)
        if read_result.is_error():
            return Error(read_result.error)
        if _has_update(read_result.ok, claim, update):
            return Ok(None)
        return Error(write_result.error)

    async def _write_row(
        self,
        claim: Claim,
        update: _RowUpdate,
        conditions: tuple[Condition, ...],
    ) -> Result[None, TableError]:
        retention_ms = int(self.settings.row_retention_ms)
        row = ClaimRow(
            claim.token,
            update.state,
            claim.request_digest,
            self.vm,
            claim.deadline_unix_ms,
            (claim.deadline_unix_ms + retention_ms) // _MILLIS_PER_SECOND,
            update.answer,
            update.body,
        )
        return await self.table.put(
            Put(claim.row_key, encode_row(row), conditions)
        )

    async def _read_back(
        self, row_key: ItemKey, failed: TableError
    ) -> Result[ClaimRow | None, TableError]:
        """Read a row after a failed write, unless the table is unavailable."""
        if failed.fault is TableFault.UNAVAILABLE:
            return Error(failed)
        return await self._read_row(row_key)

    async def _read_row(
        self, row_key: ItemKey
    ) -> Result[ClaimRow | None, TableError]:
        read_result = await self.table.get(row_key)
        if read_result.is_error():
            return Error(read_result.error)
        if read_result.ok is None:
            return Ok(None)
        return decode_row(read_result.ok).map_error(_decoding_error)

    async def _outcome_from_row(
        self, claim: Claim, row: ClaimRow
    ) -> ClaimOutcome:
        if row.token == claim.token:
            return ClaimGranted(claim)
        if row.request_digest != claim.request_digest:
            return KeyReused()
        if row.answer is not None:
            return await self._replay(row.answer, row.body)
        time_left = row.deadline_unix_ms - self.clock.wall()
        if time_left <= 0:
            return ClaimLost(_LOST_RETRY_AFTER_MS)
        return ClaimInProgress(min(time_left, _IN_PROGRESS_RETRY_AFTER_MS))

    async def _replay(
        self, metadata: RecordedAnswerMetadata, body: bytes
    ) -> ClaimOutcome:
        if metadata.stored_at:
            read_result = await self.object_store.get(metadata.stored_at)
            if read_result.is_error():
                return AnswerNotKept(metadata.status, self._retry_after())
            body = read_result.ok or b''
        if not metadata.is_kept or digest_body(body) != metadata.digest:
            return AnswerNotKept(metadata.status, _LOST_RETRY_AFTER_MS)
        return AnswerRecorded(
            RecordedAnswer(
                metadata.status, metadata.headers, body, metadata.rest_digest
            )
        )


def _may_take_effect(error: TableError) -> bool:
    return error.fault is TableFault.UNKNOWN


def _blocks_claim(claim: Claim, row: ClaimRow) -> bool:
    if row.request_digest != claim.request_digest:
        return True
    return row.state is not ClaimState.RELEASED


def _claim_conditions(row: ClaimRow | None) -> tuple[Condition, ...]:
    if row is None:
        return _ROW_IS_ABSENT
    return row_conditions(row.token, row.state)


def _has_update(row: ClaimRow | None, claim: Claim, update: _RowUpdate) -> bool:
    if row is None or row.token != claim.token:
        return False
    return row.state is update.state


def _fence_conditions(
    claim: Claim, row: ClaimRow | None
) -> tuple[Condition, ...]:
    """Return the conditions of a fencing write, or none if none is needed."""
    if row is None:
        return _ROW_IS_ABSENT
    if row.state is ClaimState.RELEASED:
        return row_conditions(row.token, row.state)
    if row.token == claim.token and row.state is ClaimState.CLAIMED:
        return row_conditions(row.token, row.state)
    return ()


def _answer_metadata(
    claim: Claim, answer: RecordedAnswer, max_inline_bytes: int
) -> RecordedAnswerMetadata:
    body = answer.body or b''
    stored_at = ''
    if len(body) > max_inline_bytes:
        digest = claim.row_key.partition.removeprefix('claim#')
        stored_at = f'answers/{digest}/{claim.token}'
    return RecordedAnswerMetadata(
        answer.status,
        answer.headers,
        len(body),
        digest_body(body),
        stored_at,
        answer.body is not None,
        answer.rest_digest,
    )


def _decoding_error(detail: str) -> TableError:
    return TableError(TableFault.UNKNOWN, f'unreadable claim: {detail}')
