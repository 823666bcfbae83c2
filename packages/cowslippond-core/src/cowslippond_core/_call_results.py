"""Results of keyed calls that are not sent to an upstream."""

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
from cowslippond_core._promises import AnswerHead, without_promise
from cowslippond_core._reasons import RefusalReason

_RETRY_AFTER_MS = 1000

CallResult: TypeAlias = CallAnswer | CallRefusal


@singledispatch
def call_result_for(outcome: ClaimOutcome, request: CallRequest) -> CallResult:
    """Return the result of a call whose claim was not granted."""
    raise TypeError(f'unsupported claim outcome: {outcome!r}')


@call_result_for.register
def _recorded(outcome: AnswerRecorded, request: CallRequest) -> CallResult:
    answer = outcome.answer
    # Earlier versions recorded the status as they had received it.
    status, headers = without_promise(
        AnswerHead(answer.status, answer.headers), frozenset()
    )
    return CallAnswer(status, headers, single_chunk(answer.body or b''))


@call_result_for.register
def _not_kept(outcome: AnswerNotKept, request: CallRequest) -> CallResult:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.ANSWER_NOT_KEPT, outcome.retry_after_ms
    )


@call_result_for.register
def _in_progress(outcome: ClaimInProgress, request: CallRequest) -> CallResult:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.KEY_IN_PROGRESS, outcome.retry_after_ms
    )


@call_result_for.register
def _lost(outcome: ClaimLost, request: CallRequest) -> CallResult:
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.KEY_OUTCOME_LOST, outcome.retry_after_ms
    )


@call_result_for.register
def _reused(outcome: KeyReused, request: CallRequest) -> CallResult:
    return refuse_call(Outcome.NOT_RUN, RefusalReason.KEY_REUSED)


@call_result_for.register
def _unavailable(outcome: ClaimUnavailable, request: CallRequest) -> CallResult:
    # An earlier attempt may have run through another daemon, and only the
    # table records that.
    call_outcome = Outcome.UNKNOWN if request.attempt else Outcome.NOT_RUN
    return CallRefusal(
        call_outcome, RefusalReason.CLAIM_UNAVAILABLE, outcome.retry_after_ms
    )


async def single_chunk(body: bytes) -> AsyncGenerator[bytes, None]:
    """Yield a buffered body as one chunk, or nothing if it is empty."""
    if body:
        yield body


def refuse_call(outcome: Outcome, reason: RefusalReason) -> CallRefusal:
    """Return a refusal with a short retry delay."""
    return CallRefusal(outcome, reason, _RETRY_AFTER_MS)
