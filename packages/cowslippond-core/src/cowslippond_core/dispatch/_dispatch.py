"""Dispatches one call: placement, sending, retries, hedging and the answer."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import repeat
from typing import TypeAlias

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    Attempt,
    AttemptResult,
    NotRun,
)
from cowslippond_core._clock import Millis
from cowslippond_core._crash_watch import watch_crash
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._isolation import run_contained
from cowslippond_core._messages import CallAnswer, CallRefusal, Outcome
from cowslippond_core._metrics import Metric
from cowslippond_core._race import Race
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._upstreams import Upstream
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._call_relay import CallRelay
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._results import record_abandoned, record_result
from cowslippond_core.dispatch._retries import CallRetries
from cowslippond_core.dispatch._service import Service
from cowslippond_core.placing import Grant, PendingCall

_logger = logging.getLogger(__name__)

# A call is hedged once it has taken this many times the service time expected
# at its upstream; service times vary by a third.
_HEDGE_FACTOR = 1.8

# A hedge that got no upstream is tried again after this time. A full upstream
# drops calls, so the first send may never be answered.
_HEDGE_PAUSE: Millis = 50

# Random jitter of the retry-after time, as a fraction of it, so that callers
# that were refused together do not return together.
_RETRY_AFTER_JITTER = 0.5
_MIN_RETRY_AFTER: Millis = 50
_MAX_RETRY_AFTER: Millis = 3000

# If a call is sent later than this after it was placed, what allowed it to go to
# a cold or warm upstream no longer holds: that is known for 100 ms.
_MAX_GRANT_AGE: Millis = 50

Reply: TypeAlias = CallAnswer | CallRefusal
FirstSendCheck: TypeAlias = Callable[[], Awaitable[RefusalReason | None]]


class Dispatch:
    """Processes one call until it is answered or refused.

    :param ctx: dependencies that all dispatches share.
    :param service: the service that the call is for.
    :param call: the call to dispatch.
    """

    def __init__(
        self, ctx: DispatchContext, service: Service, call: Call
    ) -> None:
        self.ctx = ctx
        self.clock = ctx.clock
        self.service = service
        self.call = call
        self.attempted_addresses: set[str] = set()
        self.send_count = 0
        self.retries = CallRetries(ctx, service, call)
        self.relay = CallRelay(ctx, service, call)
        self.grants: dict[Attempt, Grant] = {}
        self.best_result: Answered | AnswerLost | None = None
        # Decides whether a call that had to wait may still be sent. It applies
        # until a send may have run.
        self.check_first_send: FirstSendCheck | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a send may have run at an upstream."""
        return self.retries.runs > 0

    async def run(self) -> Reply:
        """Send the call, with retries, and return the answer or a refusal.

        The caller of this method must read the answer's body to its end or
        close it.
        """
        self.service.budget.record_call()
        try:
            refusal = await self._run()
        except BaseException:
            self._discard_best()
            raise
        if isinstance(self.best_result, Answered):
            self.best_result.attempt.limit_answer(self.call.effective_deadline)
            return self.best_result.answer
        if self.best_result is not None:
            return self.refuse(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
        return self.refuse(Outcome.NOT_RUN, refusal)

    async def _run(self) -> RefusalReason:
        """Send the call until a result is final; return the refusal reason.

        The reason only applies if :attr:`best_result` is unset.
        """
        while True:
            refusal = _find_obstacle(self.ctx, self.call)
            if refusal is not None:
                return refusal
            relayed = await self.relay.run()
            if relayed is not None:
                self._keep_result(relayed)
                return _relay_refusal_reason(relayed, self.relay.refusal)
            grant = await _place(self, self._pending_call())
            if isinstance(grant, RefusalReason):
                if self.relay.is_next_after(grant):
                    continue
                return grant
            result = await self._send(grant)
            self.service.placer.notify_capacity_change()
            await self._check_crash(grant.upstream, result)
            self._keep_result(result)
            self.relay.record_result(result)
            if not self.retries.should_retry(result):
                return _refusal_reason(result)

    async def _check_crash(
        self, upstream: Upstream, result: AttemptResult
    ) -> None:
        """Check whether an upstream crashed under a call without an answer.

        A retry waits for the result of the check. For a call that cannot be
        retried, the check runs in the background, so that the caller does not
        wait for it.
        """
        if not isinstance(result, AnswerLost):
            return
        crash_check = partial(
            watch_crash,
            self.ctx.hooks.quarantine,
            upstream,
            result,
            may_retry=self.call.is_retryable,
        )
        if self.call.is_retryable:
            await crash_check()
            return
        self.service.placer.tasks.start_soon(run_contained, crash_check)

    def _pending_call(self, *, is_hedge: bool = False) -> PendingCall:
        call = self.call
        access = call.request.access
        return PendingCall(
            request_id=call.request.request_id,
            arrived_at=call.arrived_at,
            objective_at=call.objective_at,
            deadline=call.placing_deadline,
            priority=call.priority,
            excluded=self._excluded(),
            is_hedge=is_hedge,
            find_obstacle=partial(find_end, self.ctx, call),
            workspace=access.workspace.name if access else None,
            weight=access.workspace.rate if access else 0,
        )

    def _excluded(self) -> set[str]:
        """Return the addresses of the upstreams that the call must not get.

        Besides those attempted, these are the upstreams that broke under calls
        with the same fingerprint, unless that would exclude all upstreams.
        """
        broken = self.ctx.hooks.quarantine.upstreams_broken_by(
            self.call.request.fingerprint
        )
        excluded = self.attempted_addresses | broken
        if excluded.issuperset(self.service.upstreams.by_address):
            return self.attempted_addresses
        return excluded

    async def _send(self, grant: Grant) -> AttemptResult:
        attempt = self._make_attempt(grant)
        try:
            result = await self._await_result(attempt, grant)
        except BaseException:
            attempt.end()
            self.service.placer.notify_capacity_change()
            raise
        if result is None:
            result = AnswerLost(ExchangeFault.TIMEOUT)
            attempt.end()
            self._record_result(attempt, result)
        return result

    async def _await_result(
        self, attempt: Attempt, grant: Grant
    ) -> AttemptResult | None:
        if not self.call.is_retryable or self.retries.is_suspect():
            return await self._wait(attempt, self.call.effective_deadline)
        expected = (
            self.service.estimator.service_time * grant.slowdown * _HEDGE_FACTOR
        )
        hedge_at = min(
            self.clock.now() + expected, self.call.effective_deadline
        )
        result = await self._wait(attempt, hedge_at)
        if result is not None:
            return result
        if not self.retries.can_hedge():
            return await self._wait(attempt, self.call.effective_deadline)
        race = Race(
            attempt,
            self._make_hedge,
            self._wait_until_deadline,
            repeat(_HEDGE_PAUSE),
        )
        winner = await race.run()
        if isinstance(winner, Answered):
            self._record_losers(race, winner.attempt)
        return winner

    def _record_losers(self, race: Race, winner: Attempt) -> None:
        for attempt in race.attempts:
            if attempt is not winner:
                record_abandoned(
                    self.ctx, self.service, attempt, self.grants[attempt]
                )

    async def _make_hedge(self) -> Attempt | None:
        if not self.retries.can_hedge():
            return None
        grant = await self.service.placer.acquire(
            self._pending_call(is_hedge=True)
        )
        if isinstance(grant, RefusalReason) or not self.retries.can_hedge():
            return None
        self.retries.record_retry(RetryReason.HEDGE)
        return self._make_attempt(grant)

    async def _wait_until_deadline(
        self, attempt: Attempt
    ) -> AttemptResult | None:
        return await self._wait(attempt, self.call.effective_deadline)

    async def _wait(
        self, attempt: Attempt, until: Millis
    ) -> AttemptResult | None:
        result: AttemptResult | None = await attempt.start()
        if result is None:
            result = await attempt.wait_buffered(until)
        if result is not None:
            self._record_result(attempt, result)
        return result

    def _make_attempt(self, grant: Grant) -> Attempt:
        self.send_count += 1
        self.retries.runs += 1
        self.attempted_addresses.add(grant.upstream.address)
        attempt: Attempt = self.ctx.make_attempt(
            grant.upstream,
            self.call.request,
            self.send_count - 1,
            self.clock,
            is_fresh=False,
            dialect=self.ctx.dialect,
        )
        self.grants[attempt] = grant
        waited = self.clock.now() - self.call.arrived_at
        self.ctx.record_duration(Metric.QUEUE_MS, waited)
        if grant.reading_age is not None:
            self.ctx.record_duration(Metric.READING_AGE_MS, grant.reading_age)
        _logger.info(
            'call sent',
            extra={
                'request_id': self.call.request.request_id,
                'upstream': grant.upstream.vm.name,
                'send': self.send_count,
                'factor': round(grant.slowdown, 2),
                'reading_age_ms': grant.reading_age
                and round(grant.reading_age, 1),
                'waited_ms': round(waited, 1),
                **_describe_workspace(self.call),
                **_describe_warm_up(grant.upstream, self.clock.now()),
            },
        )
        return attempt

    def _record_result(self, attempt: Attempt, result: AttemptResult) -> None:
        if isinstance(result, NotRun):
            self.retries.runs -= 1
        record_result(
            self.ctx, self.service, attempt, self.grants[attempt], result
        )

    def _keep_result(self, result: AttemptResult) -> None:
        """Keep a result if it is to be reported to the caller.

        A send that was not run does not replace the result of one that may
        have run, and a lost answer does not replace an answer.
        """
        if isinstance(result, NotRun):
            return
        if isinstance(self.best_result, Answered) and isinstance(
            result, AnswerLost
        ):
            return
        self._discard_best()
        self.best_result = result

    def _discard_best(self) -> None:
        if isinstance(self.best_result, Answered):
            self.best_result.attempt.end()

    def refuse(self, outcome: Outcome, reason: RefusalReason) -> CallRefusal:
        """Return a refusal of the call, and log it."""
        placer = self.service.placer
        wait = placer.limited_waits.retry_after(self.clock.now())
        jitter = 1 + self.ctx.rng.random() * _RETRY_AFTER_JITTER
        delay = min(max(wait, _MIN_RETRY_AFTER) * jitter, _MAX_RETRY_AFTER)
        if reason is RefusalReason.NOT_READY:
            # Another daemon can serve the call at once.
            delay = _MIN_RETRY_AFTER
        _logger.info(
            'call given up',
            extra={
                'request_id': self.call.request.request_id,
                'reason': reason.value,
                'outcome': outcome.value,
                'sends': self.send_count,
                'waiting': len(placer.queue.pending),
                'work_ms': round(self.service.estimator.service_time, 1),
                'upstreams': len(self.service.upstreams.by_address),
                'expected_wait_ms': round(min(wait, _MAX_RETRY_AFTER), 1),
                **_describe_workspace(self.call),
            },
        )
        return CallRefusal(outcome, reason, delay)


def _find_obstacle(ctx: DispatchContext, call: Call) -> RefusalReason | None:
    """Return why a call must not be sent, or not sent again."""
    ending = find_end(ctx, call)
    if ending is not None:
        return ending
    check = ctx.hooks.quarantine.check(call.request.fingerprint)
    return None if check is None else check.reason


def find_end(ctx: DispatchContext, call: Call) -> RefusalReason | None:
    """Return why a call that waits for an upstream must not be sent."""
    if call.request.is_revoked():
        return RefusalReason.KEY_REVOKED
    if ctx.stop is not None and ctx.stop.refuses(
        call.effective_deadline, is_repeatable=call.route.is_idempotent
    ):
        return RefusalReason.NOT_READY
    return None


def _relay_refusal_reason(
    result: AttemptResult, cause: RefusalReason
) -> RefusalReason:
    """Return why a call is refused that no peer took.

    :param cause: why it was sent through peers.
    """
    if _refusal_reason(result) is RefusalReason.KEY_REVOKED:
        return RefusalReason.KEY_REVOKED
    return cause


async def _place(
    dispatch: Dispatch, pending: PendingCall
) -> Grant | RefusalReason:
    """Choose an upstream; again if the check of the first send took long."""
    while True:
        grant = await dispatch.service.placer.acquire(pending)
        placed_at = dispatch.clock.now()
        grant = await _check_first_send(dispatch, grant)
        age = dispatch.clock.now() - placed_at
        if isinstance(grant, RefusalReason) or age <= _MAX_GRANT_AGE:
            return grant
        upstream = grant.upstream
        is_evacuated = upstream.failure_domain in dispatch.ctx.evacuated
        if upstream.load_state.warm_up is None and not is_evacuated:
            return grant
        dispatch.service.placer.notify_capacity_change()


async def _check_first_send(
    dispatch: Dispatch, grant: Grant | RefusalReason
) -> Grant | RefusalReason:
    """Return the grant, or a refusal if the call may no longer be sent."""
    check = dispatch.check_first_send
    if isinstance(grant, RefusalReason) or check is None:
        return grant
    if dispatch.may_have_run:
        return grant
    refusal = await check()
    if refusal is None:
        return grant
    dispatch.service.placer.notify_capacity_change()
    return refusal


def _describe_workspace(call: Call) -> dict[str, str]:
    name = call.request.workspace
    return {} if name is None else {'workspace': name}


def _describe_warm_up(upstream: Upstream, now: Millis) -> dict[str, bool]:
    warm_up = upstream.load_state.warm_up
    return {} if warm_up is None else {'is_cold': warm_up.is_cold(now)}


def _refusal_reason(result: AttemptResult) -> RefusalReason:
    if not isinstance(result, NotRun):
        return RefusalReason.ANSWER_LOST
    if result.reason is NotRunReason.CONNECT_FAILED:
        return RefusalReason.CONNECT_FAILED
    if result.reason is NotRunReason.DEADLINE:
        return RefusalReason.DEADLINE
    if result.reason is NotRunReason.KEY_REVOKED:
        return RefusalReason.KEY_REVOKED
    return RefusalReason.UPSTREAMS_FULL
