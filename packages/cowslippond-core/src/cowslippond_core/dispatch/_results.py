"""Updates the state of upstream and service when a send ends."""

import logging

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
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._upstreams import LoadReading, Upstream
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._load_prober import store_reading
from cowslippond_core.dispatch._service import Service
from cowslippond_core.placing import Grant

_logger = logging.getLogger(__name__)

_FIRST_ERROR_STATUS = 500

# Why a call was not sent, for reasons that say nothing about the upstream.
_UNSENT_REASONS = frozenset((NotRunReason.DEADLINE, NotRunReason.KEY_REVOKED))

# Faults that say nothing about whether the upstream is within reach.
_REACHED_FAULTS = (ExchangeFault.FRAMING, ExchangeFault.BODY)

# A send that was cancelled or timed out counts as failed only if it had already
# taken this many times the expected service time.
_UNRESPONSIVE_FACTOR = 3

# The weight of such a failure if the send was cancelled because another send of
# the call was answered first.
_ABANDONED_WEIGHT = 0.5

# A longer pause is taken for a mistake; the upstream then refuses once more.
_MAX_PAUSE: Millis = 600_000

# Pauses are prolonged at random by up to this fraction and time, as many daemons
# hear of a pause in the same instant.
_PAUSE_JITTER = 0.2
_MAX_PAUSE_JITTER: Millis = 1000


def record_result(
    ctx: DispatchContext,
    service: Service,
    attempt: Attempt,
    grant: Grant,
    result: AttemptResult,
) -> None:
    """Record the result of a send."""
    upstream = attempt.upstream
    now = ctx.clock.now()
    took = now - attempt.sent_at
    _store_load(attempt, now)
    _store_limits(ctx, attempt, result)
    _store_reach(attempt, result)
    _store_leaving(ctx, attempt)
    _store_pause(ctx, attempt, now)
    if isinstance(result, Answered):
        upstream.answered_at = now
        is_failure = result.answer.status >= _FIRST_ERROR_STATUS
        upstream.failures.record(now, is_failure=is_failure)
        # The time of a streamed call is mostly that of its body.
        if not is_failure and attempt.request.rest is None:
            service.estimator.record_service_time(took, grant.slowdown)
            service.placer.queue.fair_order.record_work(
                attempt.request.workspace, took / max(grant.slowdown, 1)
            )
        record_send_end(ctx.hooks.quarantine, attempt)
    elif isinstance(result, AnswerLost):
        _record_loss(ctx, service, attempt, grant, result)
    else:
        _record_not_run(ctx, upstream, result, now)
    _logger.info(
        'send ended',
        extra={
            'request_id': attempt.request.request_id,
            'upstream': upstream.vm.name,
            'took_ms': round(took, 1),
            'failure_share': round(upstream.failures.current_rate(now), 2),
            'rate_limit': attempt.answer_metadata.rate_limit,
            **_describe(result),
        },
    )


def record_abandoned(
    ctx: DispatchContext, service: Service, attempt: Attempt, grant: Grant
) -> None:
    """Record a send that was cancelled since another one was answered."""
    _store_leaving(ctx, attempt)
    now = attempt.clock.now()
    expected = service.estimator.service_time * grant.slowdown
    if now - attempt.sent_at > _UNRESPONSIVE_FACTOR * expected:
        attempt.upstream.failures.record(
            now, is_failure=True, weight=_ABANDONED_WEIGHT
        )
    _logger.info(
        'send cancelled because another send was answered first',
        extra={
            'request_id': attempt.request.request_id,
            'upstream': attempt.upstream.vm.name,
            'took_ms': round(now - attempt.sent_at, 1),
        },
    )


def _store_load(attempt: Attempt, now: Millis) -> None:
    report = attempt.answer_metadata.load
    if report is None:
        return
    previous = attempt.upstream.load_state.reading
    if previous is not None and previous.probed_at > now:
        return
    is_healthy = previous is None or previous.is_healthy
    store_reading(attempt.upstream, report, now, now, is_healthy=is_healthy)


def _store_limits(
    ctx: DispatchContext, attempt: Attempt, result: AttemptResult
) -> None:
    is_own_answer = isinstance(result, Answered) or (
        isinstance(result, NotRun)
        and result.reason in {NotRunReason.SHED, NotRunReason.DRAINING}
    )
    if not is_own_answer:
        return
    warm_up = attempt.answer_metadata.warm_up
    if warm_up is not None:
        ctx.hooks.record_warm_up(attempt.upstream, warm_up, attempt.sent_at)
    ctx.hooks.record_rate_limit(
        attempt.upstream, attempt.answer_metadata.rate_limit
    )


def _store_leaving(ctx: DispatchContext, attempt: Attempt) -> None:
    """Stop using an upstream that leaves, unless a new start replaced it."""
    if attempt.answer_metadata.is_leaving and not attempt.upstream.is_removed:
        ctx.hooks.mark_leaving(attempt.upstream.address, 'answer')


def _store_pause(ctx: DispatchContext, attempt: Attempt, now: Millis) -> None:
    pause = attempt.answer_metadata.pause
    if pause is None:
        return
    pause = min(pause, _MAX_PAUSE)
    jitter = ctx.rng.random() * min(pause * _PAUSE_JITTER, _MAX_PAUSE_JITTER)
    state = attempt.upstream.load_state
    state.paused_until = max(state.paused_until, now + pause + jitter)
    _logger.info(
        'upstream asked for a pause',
        extra={
            'request_id': attempt.request.request_id,
            'upstream': attempt.upstream.vm.name,
            'pause_ms': round(pause),
        },
    )


def _store_reach(attempt: Attempt, result: AttemptResult) -> None:
    upstream = attempt.upstream
    if isinstance(result, AnswerLost):
        if result.fault not in _REACHED_FAULTS:
            upstream.reach.record_silence(upstream.address)
        return
    if isinstance(result, NotRun):
        if result.reason is NotRunReason.CONNECT_FAILED:
            upstream.reach.record_connect_failure(
                upstream.address,
                has_open_connections=bool(upstream.connections.open),
            )
            return
        if result.reason in _UNSENT_REASONS:
            return
    upstream.reach.record_answer(is_new_connection=not attempt.is_reused)


def _record_loss(
    ctx: DispatchContext,
    service: Service,
    attempt: Attempt,
    grant: Grant,
    lost: AnswerLost,
) -> None:
    now = ctx.clock.now()
    if lost.fault is ExchangeFault.BODY:
        return
    if lost.fault is ExchangeFault.TIMEOUT:
        expected = service.estimator.service_time * grant.slowdown
        if now - attempt.sent_at < _UNRESPONSIVE_FACTOR * expected:
            return
    else:
        record_send_end(ctx.hooks.quarantine, attempt)
    attempt.upstream.failures.record(now, is_failure=True)


def _record_not_run(
    ctx: DispatchContext, upstream: Upstream, refused: NotRun, now: Millis
) -> None:
    if refused.reason in _UNSENT_REASONS:
        return
    if refused.reason in {NotRunReason.DRAINING, NotRunReason.OTHER_VM}:
        ctx.hooks.mark_leaving(upstream.address, 'answer')
        return
    if upstream.load_state.paused_until > now:
        return
    upstream.failures.record(now, is_failure=True)
    if refused.reason is NotRunReason.SHED:
        upstream.load_state.reading = _as_full(upstream.load_state.reading, now)


def _as_full(reading: LoadReading | None, now: Millis) -> LoadReading | None:
    if reading is None:
        return None
    return reading._replace(
        received_at=now, probed_at=now, running=reading.slots
    )


def _describe(result: AttemptResult) -> dict[str, str | int]:
    if isinstance(result, Answered):
        return {'outcome': 'answered', 'status': result.answer.status}
    if isinstance(result, AnswerLost):
        return {'outcome': 'lost', 'reason': result.fault.value}
    return {'outcome': 'not_run', 'reason': result.reason.value}
