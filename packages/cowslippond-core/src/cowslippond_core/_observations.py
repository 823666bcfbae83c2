"""Update the state of an upstream and its service from send results."""

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    Attempt,
    AttemptResult,
    NotRun,
)
from cowslippond_core._clock import Millis
from cowslippond_core._crash_watch import record_send_end
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._ejection import record_failure, record_success
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._load import clear_backoff, record_shed
from cowslippond_core._service_state import ServiceState

_FIRST_ERROR_STATUS = 500
_FAILURE_TIMEOUT_FACTOR = 4


def is_error(result: AttemptResult) -> bool:
    """Return whether an upstream answered with a server error."""
    return (
        isinstance(result, Answered)
        and result.answer.status >= _FIRST_ERROR_STATUS
    )


def record_result(
    service: ServiceState,
    hooks: SendingHooks,
    attempt: Attempt,
    result: AttemptResult,
) -> None:
    """Record the result of a send.

    :param service: the service of the call.
    :param hooks: notified of broken connections and of leaving upstreams.
    :param attempt: the send.
    :param result: its result.
    """
    now = attempt.clock.now()
    if isinstance(result, Answered):
        attempt.upstream.answered_at = now
        _record_answer(service, attempt, result, now)
    elif isinstance(result, AnswerLost):
        _record_loss(service, hooks, attempt, result)
    else:
        _record_not_run(service, hooks, attempt, result)


def record_cancelled(service: ServiceState, attempt: Attempt) -> None:
    """Record a send that was cancelled because its hedge was answered.

    The time until the cancellation is recorded as a latency. It is a lower
    bound; without it, the latency quantiles would be too low. If the upstream
    answered no call at all since the send, a failure is counted.
    """
    now = attempt.clock.now()
    service.latency.record(now - attempt.sent_at)
    if attempt.upstream.answered_at < attempt.sent_at:
        peers = service.upstreams.by_address.values()
        record_failure(attempt.upstream, peers, now)


def _record_answer(
    service: ServiceState, attempt: Attempt, answered: Answered, now: Millis
) -> None:
    upstream = attempt.upstream
    if is_error(answered):
        peers = service.upstreams.by_address.values()
        record_failure(upstream, peers, now)
        return
    latency = now - attempt.sent_at
    service.latency.record(latency)
    upstream.record_latency(latency)
    record_success(upstream)
    clear_backoff(upstream)


def _record_loss(
    service: ServiceState,
    hooks: SendingHooks,
    attempt: Attempt,
    lost: AnswerLost,
) -> None:
    now = attempt.clock.now()
    if lost.fault in {ExchangeFault.SILENT, ExchangeFault.BODY}:
        return
    if lost.fault is ExchangeFault.TIMEOUT:
        waited = now - attempt.sent_at
        service.latency.record(waited)
        if waited < service.latency.p95 * _FAILURE_TIMEOUT_FACTOR:
            return
    else:
        record_send_end(hooks.quarantine, attempt)
    peers = service.upstreams.by_address.values()
    record_failure(attempt.upstream, peers, now)


def _record_not_run(
    service: ServiceState,
    hooks: SendingHooks,
    attempt: Attempt,
    refused: NotRun,
) -> None:
    if refused.reason is NotRunReason.DEADLINE:
        return
    upstream = attempt.upstream
    now = attempt.clock.now()
    if refused.reason is NotRunReason.CONNECT_FAILED:
        peers = service.upstreams.by_address.values()
        record_failure(upstream, peers, now)
        return
    upstream.answered_at = now
    record_shed(upstream, service.slot_intervals(), now)
    if refused.reason is NotRunReason.DRAINING:
        hooks.mark_leaving(upstream.address, 'answer')
