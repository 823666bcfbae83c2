"""What each result of a send teaches about its upstream and its service."""

from cowslippond_core._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    Lost,
    NotRun,
)
from cowslippond_core._clock import Millis
from cowslippond_core._crash_watch import note_end
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._ejection import note_failure, note_success
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._load import note_room, note_shed
from cowslippond_core._service_state import ServiceState

_FIRST_ERROR_STATUS = 500
_TIMEOUT_FACTOR = 4


def is_error(result: AttemptResult) -> bool:
    """Tell whether an upstream answered that it failed."""
    return (
        isinstance(result, Answered)
        and result.answer.status >= _FIRST_ERROR_STATUS
    )


def note_result(
    service: ServiceState,
    hooks: SendingHooks,
    attempt: Attempt,
    result: AttemptResult,
) -> None:
    """Take in the result of a send.

    :param service: the service of the call.
    :param hooks: told of breaks and of leaving upstreams.
    :param attempt: the send.
    :param result: its result.
    """
    now = attempt.clock.now()
    if isinstance(result, Answered):
        attempt.upstream.answered_at = now
        _note_answer(service, attempt, result, now)
    elif isinstance(result, Lost):
        _note_loss(service, hooks, attempt, result)
    else:
        _note_not_run(service, hooks, attempt, result)


def note_given_up(service: ServiceState, attempt: Attempt) -> None:
    """Take in a send that was cancelled because its copy was answered.

    The time that it took is the least that its answer would have taken; left
    out, latencies would look better than they are. An upstream that answered
    no call at all meanwhile counts as failing.
    """
    now = attempt.clock.now()
    service.latency.note(now - attempt.sent_at)
    if attempt.upstream.answered_at < attempt.sent_at:
        peers = service.upstreams.by_address.values()
        note_failure(attempt.upstream, peers, now)


def _note_answer(
    service: ServiceState, attempt: Attempt, answered: Answered, now: Millis
) -> None:
    upstream = attempt.upstream
    if is_error(answered):
        peers = service.upstreams.by_address.values()
        note_failure(upstream, peers, now)
        return
    latency = now - attempt.sent_at
    service.latency.note(latency)
    upstream.note_latency(latency)
    note_success(upstream)
    note_room(upstream)


def _note_loss(
    service: ServiceState, hooks: SendingHooks, attempt: Attempt, lost: Lost
) -> None:
    now = attempt.clock.now()
    if lost.fault is ExchangeFault.SILENT:
        return
    if lost.fault is ExchangeFault.TIMEOUT:
        waited = now - attempt.sent_at
        service.latency.note(waited)
        if waited < service.latency.p95 * _TIMEOUT_FACTOR:
            return
    else:
        note_end(hooks.quarantine, attempt)
    peers = service.upstreams.by_address.values()
    note_failure(attempt.upstream, peers, now)


def _note_not_run(
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
        note_failure(upstream, peers, now)
        return
    upstream.answered_at = now
    note_shed(upstream, service.slot_pace(), now)
    if refused.reason is NotRunReason.DRAINING:
        hooks.mark_leaving(upstream.address, 'answer')
