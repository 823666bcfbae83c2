"""Handling of keyed calls: claim, send at most once, settle the claim."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack
from typing import NamedTuple, Protocol, TypeAlias, runtime_checkable

import anyio

from cowslippond_core._call_identity import (
    CallIdentity,
    RestDigest,
    digest_request,
)
from cowslippond_core._call_results import (
    CallResult,
    call_result_for,
    refuse_call,
    single_chunk,
)
from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._claim_backlog import (
    ClaimBacklog,
    FenceClaim,
    RecordAnswer,
    ReleaseClaim,
)
from cowslippond_core._claim_outcomes import (
    AnswerNotKept,
    AnswerRecorded,
    ClaimGranted,
    ClaimOutcome,
    ClaimUnavailable,
    KeyReused,
)
from cowslippond_core._claims import Claims
from cowslippond_core._clock import Clock, seconds_of
from cowslippond_core._messages import (
    AnswerChunks,
    CallAnswer,
    CallRequest,
    Outcome,
    TruncatedAnswerError,
)
from cowslippond_core._reasons import RefusalReason

_MAX_RECORDED_BYTES = 262_144
_LOST_RETRY_AFTER_MS = 60_000

Send: TypeAlias = Callable[[CallRequest], Awaitable[CallResult]]


@runtime_checkable
class _Closable(Protocol):
    async def aclose(self) -> None:
        """Close the stream and cancel the request behind it."""


class _BufferedBody(NamedTuple):
    """The buffered start of a body, which may be the complete body."""

    body: bytes
    is_complete: bool


class _GrantedCall(NamedTuple):
    """A call whose claim was granted."""

    claim: Claim
    request: CallRequest
    rest: RestDigest | None


class ClaimFlow:
    """Runs keyed calls at most once.

    An answer of up to ``max_recorded_bytes`` is buffered completely before it
    is returned, and recorded so that a repeat gets the same answer. A larger
    one is streamed as it arrives, and only the fact that the call was
    answered is recorded.

    :param claims: the claims of this daemon.
    :param backlog: settles the claims; its ``run`` must be running.
    :param clock: measures the deadlines.
    :param max_recorded_bytes: the largest body to record, in bytes.
    """

    def __init__(
        self,
        claims: Claims,
        backlog: ClaimBacklog,
        clock: Clock,
        max_recorded_bytes: int = _MAX_RECORDED_BYTES,
    ) -> None:
        self.claims = claims
        self.backlog = backlog
        self.clock = clock
        self.max_recorded_bytes = max_recorded_bytes

    async def run(
        self, request: CallRequest, identity: CallIdentity, send: Send
    ) -> CallResult:
        """Answer a keyed call, sending it at most once across all daemons.

        A claimed call continues if its caller disconnects, so that its
        outcome is still recorded. It stops at its deadline.

        :param send: sends the call and must return by the call's deadline.
            A refusal with :attr:`Outcome.NOT_RUN` must guarantee that the
            call did not run, because its claim is then released.
        """
        rest = None
        if request.rest is not None:
            rest = RestDigest(request.rest)
            request = request._replace(rest=rest.stream())
        claim = self.claims.prepare(
            identity, digest_request(request), request.deadline
        )
        outcome = await self._claim(claim)
        if isinstance(outcome, ClaimGranted):
            with anyio.CancelScope(shield=True):
                return await self._send(
                    _GrantedCall(claim, request, rest), send
                )
        if rest is not None and isinstance(outcome, AnswerRecorded):
            outcome = await _verify_rest(outcome, rest)
        return call_result_for(outcome, request)

    async def _claim(self, claim: Claim) -> ClaimOutcome:
        with ExitStack() as fence_on_exit:
            # If the caller disconnects or the table's answer is lost, the
            # write of the claim may still take effect.
            fence_on_exit.callback(self.backlog.add, FenceClaim(claim))
            outcome = await self.claims.claim(claim)
            if not _is_write_uncertain(outcome):
                fence_on_exit.pop_all()
        return outcome

    async def _send(self, granted: _GrantedCall, send: Send) -> CallResult:
        claim = granted.claim
        if not claim.may_send(self.clock.now()):
            self.backlog.add(ReleaseClaim(claim))
            return refuse_call(Outcome.NOT_RUN, RefusalReason.DEADLINE)
        time_left = claim.deadline - self.clock.now()
        with anyio.move_on_after(seconds_of(time_left)):
            call_result = await send(granted.request)
            if isinstance(call_result, CallAnswer):
                return await self._record_answer(granted, call_result)
            if call_result.outcome is Outcome.NOT_RUN:
                self.backlog.add(ReleaseClaim(claim))
            return call_result
        return refuse_call(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)

    async def _record_answer(
        self, granted: _GrantedCall, answer: CallAnswer
    ) -> CallResult:
        async with AsyncExitStack() as closing:
            closing.push_async_callback(_close, answer.chunks)
            try:
                buffered = await _buffer_body(
                    answer.chunks, self.max_recorded_bytes
                )
            except TruncatedAnswerError:
                return refuse_call(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
            closing.pop_all()
        body = buffered.body if buffered.is_complete else None
        rest_digest = granted.rest.hex_digest() if granted.rest else ''
        recorded = RecordedAnswer(
            answer.status, answer.headers, body, rest_digest
        )
        self.backlog.add(RecordAnswer(granted.claim, recorded))
        if buffered.is_complete:
            return answer._replace(chunks=single_chunk(buffered.body))
        return answer._replace(
            chunks=_continue_body(buffered.body, answer.chunks)
        )


async def _verify_rest(
    outcome: AnswerRecorded, rest: RestDigest
) -> ClaimOutcome:
    """Return the outcome of a repeat after comparing the rest of its body."""
    await rest.consume()
    recorded = outcome.answer
    if not recorded.rest_digest:
        return AnswerNotKept(recorded.status, _LOST_RETRY_AFTER_MS)
    if recorded.rest_digest != rest.hex_digest():
        return KeyReused()
    return outcome


def _is_write_uncertain(outcome: ClaimOutcome) -> bool:
    if isinstance(outcome, ClaimUnavailable):
        return outcome.is_write_uncertain
    return False


async def _buffer_body(
    chunks: AsyncIterator[bytes], limit: int
) -> _BufferedBody:
    buffered = bytearray()
    async for chunk in chunks:
        buffered.extend(chunk)
        if len(buffered) > limit:
            return _BufferedBody(bytes(buffered), is_complete=False)
    return _BufferedBody(bytes(buffered), is_complete=True)


async def _continue_body(
    first: bytes, rest: AnswerChunks
) -> AsyncGenerator[bytes, None]:
    async with AsyncExitStack() as closing:
        closing.push_async_callback(_close, rest)
        yield first
        async for chunk in rest:
            yield chunk


async def _close(chunks: AsyncIterator[bytes]) -> None:
    if isinstance(chunks, _Closable):
        await chunks.aclose()
