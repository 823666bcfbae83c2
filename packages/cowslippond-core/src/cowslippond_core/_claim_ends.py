"""What the caller of a keyed call is told when its call is not sent."""

from collections.abc import AsyncGenerator
from functools import singledispatch
from typing import TypeAlias

from cowslippond_core._claim_outcomes import (
    AnswerNotKept,
    AnswerRecorded,
    ClaimInProgress,
    ClaimLost,
    ClaimOutcome,
    ClaimUnavailable,
    KeyReused,
)
from cowslippond_core._messages import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Outcome,
)
from cowslippond_core._reasons import RefusalReason

_RETRY_AFTER_MS = 1000

CallEnd: TypeAlias = CallAnswer | CallRefusal


@singledispatch
def end_of(outcome: ClaimOutcome, request: CallRequest) -> CallEnd:
    """Return what the caller of an unclaimed call is told."""
    raise TypeError(f'no answer to the caller for {outcome!r}')


@end_of.register
def _recorded(outcome: AnswerRecorded, request: CallRequest) -> CallEnd:
    answer = outcome.answer
    return CallAnswer(
        answer.status, answer.headers, whole_body(answer.body or b'')
    )


@end_of.register
def _not_kept(outcome: AnswerNotKept, request: CallRequest) -> CallEnd:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.ANSWER_NOT_KEPT, outcome.retry_after_ms
    )


@end_of.register
def _in_progress(outcome: ClaimInProgress, request: CallRequest) -> CallEnd:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.KEY_IN_PROGRESS, outcome.retry_after_ms
    )


@end_of.register
def _lost(outcome: ClaimLost, request: CallRequest) -> CallEnd:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.KEY_OUTCOME_LOST, outcome.retry_after_ms
    )


@end_of.register
def _reused(outcome: KeyReused, request: CallRequest) -> CallEnd:
    return refuse_call(Outcome.NOT_RUN, RefusalReason.KEY_REUSED)


@end_of.register
def _unavailable(outcome: ClaimUnavailable, request: CallRequest) -> CallEnd:
    # A caller that repeats a call may have had it run through another daemon,
    # which only the table could tell.
    told = Outcome.UNKNOWN if request.attempt else Outcome.NOT_RUN
    return CallRefusal(
        told, RefusalReason.CLAIM_UNAVAILABLE, outcome.retry_after_ms
    )


async def whole_body(body: bytes) -> AsyncGenerator[bytes, None]:
    """Yield a body that is held whole."""
    if body:
        yield body


def refuse_call(outcome: Outcome, reason: RefusalReason) -> CallRefusal:
    """Return a refusal after which the caller may come back soon."""
    return CallRefusal(outcome, reason, _RETRY_AFTER_MS)
