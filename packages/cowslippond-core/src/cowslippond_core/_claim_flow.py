"""The way of a keyed call: claim it, send it once, settle its claim."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack
from typing import NamedTuple, Protocol, TypeAlias, runtime_checkable

import anyio

from cowslippond_core._call_identity import (
    CallIdentity,
    RestDigest,
    digest_request,
)
from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._claim_backlog import (
    ClaimBacklog,
    FenceClaim,
    RecordAnswer,
    ReleaseClaim,
)
from cowslippond_core._claim_ends import (
    CallEnd,
    end_of,
    refuse_call,
    whole_body,
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

_KEPT_BYTES = 262_144
_LOST_RETRY_AFTER_MS = 60_000

Send: TypeAlias = Callable[[CallRequest], Awaitable[CallEnd]]


@runtime_checkable
class _Closable(Protocol):
    async def aclose(self) -> None:
        """Cancel what still runs."""


class _Held(NamedTuple):
    """The first bytes of an answer and whether they are all of it."""

    body: bytes
    is_whole: bool


class _Run(NamedTuple):
    """A claimed call about to be sent."""

    claim: Claim
    request: CallRequest
    rest: RestDigest | None


class ClaimFlow:
    """Runs keyed calls at most once.

    An answer of up to ``kept_bytes`` is held whole before it is passed on,
    and recorded so that a repeat gets the same. A larger one is recorded as
    answered but not kept, and passed on as it arrives.

    :param claims: the claims of this daemon.
    :param backlog: what settles claims; its ``run`` must be running.
    :param clock: the clock of the deadlines.
    :param kept_bytes: the largest body to record, in bytes.
    """

    def __init__(
        self,
        claims: Claims,
        backlog: ClaimBacklog,
        clock: Clock,
        kept_bytes: int = _KEPT_BYTES,
    ) -> None:
        self.claims = claims
        self.backlog = backlog
        self.clock = clock
        self.kept_bytes = kept_bytes

    async def run(
        self, request: CallRequest, identity: CallIdentity, send: Send
    ) -> CallEnd:
        """Answer a keyed call, sending it at most once over all daemons.

        Once the call is claimed it runs on although its caller may leave, so
        that the record tells the truth; its deadline bounds this.

        :param send: sends the call; must return by the call's deadline. A
            refusal with :attr:`Outcome.NOT_RUN` is a promise.
        """
        rest = None
        if request.rest is not None:
            rest = RestDigest(request.rest)
            request = request._replace(rest=rest.pass_on())
        claim = self.claims.propose(
            identity, digest_request(request), request.deadline
        )
        outcome = await self._claim(claim)
        if isinstance(outcome, ClaimGranted):
            with anyio.CancelScope(shield=True):
                return await self._send(_Run(claim, request, rest), send)
        if rest is not None and isinstance(outcome, AnswerRecorded):
            outcome = await _compare_rest(outcome, rest)
        return end_of(outcome, request)

    async def _claim(self, claim: Claim) -> ClaimOutcome:
        with ExitStack() as doubt:
            # A caller who leaves, or a lost answer, leaves a write in doubt.
            doubt.callback(self.backlog.add, FenceClaim(claim))
            outcome = await self.claims.claim(claim)
            if not _is_doubtful(outcome):
                doubt.pop_all()
        return outcome

    async def _send(self, run: _Run, send: Send) -> CallEnd:
        claim = run.claim
        if not claim.may_send(self.clock.now()):
            self.backlog.add(ReleaseClaim(claim))
            return refuse_call(Outcome.NOT_RUN, RefusalReason.DEADLINE)
        left = claim.deadline - self.clock.now()
        with anyio.move_on_after(seconds_of(left)):
            end = await send(run.request)
            if isinstance(end, CallAnswer):
                return await self._keep(run, end)
            if end.outcome is Outcome.NOT_RUN:
                self.backlog.add(ReleaseClaim(claim))
            return end
        return refuse_call(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)

    async def _keep(self, run: _Run, answer: CallAnswer) -> CallEnd:
        async with AsyncExitStack() as closing:
            closing.push_async_callback(_close, answer.chunks)
            try:
                held = await _hold(answer.chunks, self.kept_bytes)
            except TruncatedAnswerError:
                return refuse_call(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
            closing.pop_all()
        body = held.body if held.is_whole else None
        rest_digest = run.rest.text() if run.rest else ''
        recorded = RecordedAnswer(
            answer.status, answer.headers, body, rest_digest
        )
        self.backlog.add(RecordAnswer(run.claim, recorded))
        if held.is_whole:
            return answer._replace(chunks=whole_body(held.body))
        return answer._replace(chunks=_resume(held.body, answer.chunks))


async def _compare_rest(
    outcome: AnswerRecorded, rest: RestDigest
) -> ClaimOutcome:
    """Return the outcome for a repeat whose body was not read whole yet."""
    await rest.take()
    recorded = outcome.answer
    if not recorded.rest_digest:
        return AnswerNotKept(recorded.status, _LOST_RETRY_AFTER_MS)
    if recorded.rest_digest != rest.text():
        return KeyReused()
    return outcome


def _is_doubtful(outcome: ClaimOutcome) -> bool:
    if isinstance(outcome, ClaimUnavailable):
        return outcome.is_doubtful
    return False


async def _hold(chunks: AsyncIterator[bytes], limit: int) -> _Held:
    held = bytearray()
    async for chunk in chunks:
        held.extend(chunk)
        if len(held) > limit:
            return _Held(bytes(held), is_whole=False)
    return _Held(bytes(held), is_whole=True)


async def _resume(
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
