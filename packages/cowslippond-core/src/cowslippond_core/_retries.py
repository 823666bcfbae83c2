"""Decides whether a call is sent again, and for which reason."""

from types import MappingProxyType

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    AttemptResult,
    NotRun,
)
from cowslippond_core._budgets import RatioBudget, is_first_attempt
from cowslippond_core._clock import TIMER_RESOLUTION, Millis
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._messages import CallRequest
from cowslippond_core._reasons import RetryReason

_RETRIED_STATUSES = frozenset((500, 502, 503, 504))

_NOT_RUN_REASONS = MappingProxyType(
    {
        NotRunReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        NotRunReason.SHED: RetryReason.SHED,
        NotRunReason.DRAINING: RetryReason.DRAINING,
    }
)


def is_retryable(request: CallRequest) -> bool:
    """Return whether this process may cause a call to run more than once.

    If an outer level of the call chain is already retrying the call, it is not
    retried here, so that retries do not multiply with the depth of the chain.
    """
    if not request.is_idempotent or request.rest is not None:
        return False
    return is_first_attempt(request.attempt)


def retry_reason(
    result: AttemptResult,
    request: CallRequest,
    budget: RatioBudget,
    now: Millis,
) -> RetryReason | None:
    """Return why a call is sent again, or ``None`` if it is not.

    :param result: the result of the last attempt.
    :param budget: the retry budget; it is charged for retries of a call
        that may have run.
    :param now: current clock time in milliseconds.
    """
    if now >= request.deadline - TIMER_RESOLUTION:
        return None
    if isinstance(result, NotRun):
        return _not_run_retry_reason(result, request)
    if isinstance(result, Answered):
        if result.answer.status not in _RETRIED_STATUSES:
            return None
    if not is_retryable(request):
        return None
    if isinstance(result, AnswerLost) and result.fault is ExchangeFault.SILENT:
        # Only the connection failed. The retry budget protects upstreams that
        # may be failing, so it is not charged here.
        return RetryReason.SILENT_CONNECTION
    if not budget.can_spend():
        return None
    budget.spend()
    if isinstance(result, AnswerLost):
        return RetryReason.ANSWER_LOST
    return RetryReason.UPSTREAM_ERROR


def _not_run_retry_reason(
    result: NotRun, request: CallRequest
) -> RetryReason | None:
    is_unsent = result.reason is NotRunReason.CONNECT_FAILED
    if is_unsent or request.rest is None:
        return _NOT_RUN_REASONS[result.reason]
    return None
