"""One call on its way: placed, sent, sent again or copied, answered."""

import logging
from functools import partial
from typing import TypeAlias

from cowslippond_core._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    Lost,
    NotRun,
)
from cowslippond_core._clock import Millis
from cowslippond_core._crash_watch import watch_crash
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._messages import CallAnswer, CallRefusal, Outcome
from cowslippond_core._metrics import Metric
from cowslippond_core._race import Race
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._upstreams import Upstream
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._results import record_abandoned, record_result
from cowslippond_core.dispatch._retries import CallRetries
from cowslippond_core.dispatch._service import Service
from cowslippond_core.placing import Grant, PendingCall

_logger = logging.getLogger(__name__)

# A send is late when it takes this many times as long as its upstream's speed
# led to expect; the work itself varies by a third.
_LATE_FACTOR = 1.8

# Callers that were refused together come back spread over this part of the
# expected wait.
_RETURN_SPREAD = 0.5
_SOONEST_RETURN: Millis = 50
_LATEST_RETURN: Millis = 3000

Reply: TypeAlias = CallAnswer | CallRefusal


class Dispatch:
    """Takes one call to an answer or a refusal.

    :param ctx: what all calls share.
    :param service: that the call goes to.
    :param call: the call.
    """

    def __init__(
        self, ctx: DispatchContext, service: Service, call: Call
    ) -> None:
        self.ctx = ctx
        self.clock = ctx.clock
        self.service = service
        self.call = call
        self.tried: set[str] = set()
        self.sends = 0
        self.repeats = CallRetries(ctx, service, call)
        self.grants: dict[Attempt, Grant] = {}
        self.best: Answered | Lost | None = None

    async def run(self) -> Reply:
        """Send the call until it is answered or given up.

        Whoever gets the answer must take its body to the end or close it.
        """
        self.service.budget.record_call()
        try:
            refusal = await self._run()
        except BaseException:
            self._drop_best()
            raise
        if isinstance(self.best, Answered):
            return self.best.answer
        if self.best is not None:
            return self._refuse(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST)
        return self._refuse(Outcome.NOT_RUN, refusal)

    async def _run(self) -> RefusalReason:
        """Return why the call isn't sent any more."""
        while True:
            check = self.ctx.hooks.quarantine.check(
                self.call.request.fingerprint
            )
            if check is not None:
                return check.reason
            grant = await self.service.placer.acquire(self._ask())
            if isinstance(grant, RefusalReason):
                return grant
            result = await self._send(grant)
            self.service.placer.notify_capacity_change()
            if isinstance(result, Lost):
                await self._watch(grant.upstream, result)
            self._keep(result)
            if not self.repeats.should_retry(result):
                return _refusal_reason(result)

    async def _watch(self, upstream: Upstream, lost: Lost) -> None:
        """Find out whether an upstream crashed, before the call is sent again.

        A call that isn't gets its answer meanwhile.
        """
        watching = partial(
            watch_crash,
            self.ctx.hooks.quarantine,
            upstream,
            lost,
            may_repeat=self.call.is_retryable,
        )
        if self.call.is_retryable:
            await watching()
            return
        self.service.placer.tasks.start_soon(watching)

    def _ask(self, *, is_copy: bool = False) -> PendingCall:
        call = self.call
        return PendingCall(
            request_id=call.request.request_id,
            arrived_at=call.arrived_at,
            objective_at=call.objective_at,
            deadline=call.effective_deadline,
            priority=call.route.priority,
            excluded=self._avoided(),
            is_hedge=is_copy,
        )

    def _avoided(self) -> set[str]:
        """Return the upstreams that the call must not get.

        Those that broke under such calls are among them while there are others.
        """
        broken = self.ctx.hooks.quarantine.broken_under(
            self.call.request.fingerprint
        )
        avoided = self.tried | broken
        if avoided.issuperset(self.service.upstreams.by_address):
            return self.tried
        return avoided

    async def _send(self, grant: Grant) -> AttemptResult:
        attempt = self._attempt(grant)
        try:
            result = await self._settle(attempt, grant)
        except BaseException:
            self._give_up(attempt)
            raise
        if result is None:
            result = Lost(ExchangeFault.TIMEOUT)
            attempt.end()
            self._learn(attempt, result)
        return result

    async def _settle(
        self, attempt: Attempt, grant: Grant
    ) -> AttemptResult | None:
        if not self.call.is_retryable or self.repeats.is_suspect():
            return await self._wait(attempt, self.call.effective_deadline)
        expected = (
            self.service.estimator.service_time * grant.slowdown * _LATE_FACTOR
        )
        late_at = min(self.clock.now() + expected, self.call.effective_deadline)
        result = await self._wait(attempt, late_at)
        if result is not None:
            return result
        if not self.repeats.can_hedge():
            return await self._wait(attempt, self.call.effective_deadline)
        race = Race(attempt, self._make_copy, self._wait_to_end)
        winner = await race.run()
        if isinstance(winner, Answered):
            self._learn_from_losers(race, winner.attempt)
        return winner

    def _learn_from_losers(self, race: Race, winner: Attempt) -> None:
        for attempt in race.attempts:
            if attempt is not winner:
                record_abandoned(self.service, attempt, self.grants[attempt])

    async def _make_copy(self) -> Attempt | None:
        if not self.repeats.can_hedge():
            return None
        grant = await self.service.placer.acquire(self._ask(is_copy=True))
        if isinstance(grant, RefusalReason) or not self.repeats.can_hedge():
            return None
        self.repeats.record_retry(RetryReason.HEDGE)
        return self._attempt(grant)

    async def _wait_to_end(self, attempt: Attempt) -> AttemptResult | None:
        return await self._wait(attempt, self.call.effective_deadline)

    async def _wait(
        self, attempt: Attempt, until: Millis
    ) -> AttemptResult | None:
        result: AttemptResult | None = await attempt.start()
        if result is None:
            result = await attempt.wait_whole(until)
        if result is not None:
            self._learn(attempt, result)
        return result

    def _attempt(self, grant: Grant) -> Attempt:
        self.sends += 1
        self.repeats.runs += 1
        self.tried.add(grant.upstream.address)
        attempt: Attempt = self.ctx.make_attempt(
            grant.upstream,
            self.call.request,
            self.sends - 1,
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
                'send': self.sends,
                'factor': round(grant.slowdown, 2),
                'reading_age_ms': grant.reading_age
                and round(grant.reading_age, 1),
                'waited_ms': round(waited, 1),
            },
        )
        return attempt

    def _learn(self, attempt: Attempt, result: AttemptResult) -> None:
        if isinstance(result, NotRun):
            self.repeats.runs -= 1
        record_result(
            self.ctx, self.service, attempt, self.grants[attempt], result
        )

    def _keep(self, result: AttemptResult) -> None:
        """Keep the result that is certain to be said to the caller.

        Once a send may have run, a later 'not run' doesn't change that.
        """
        if isinstance(result, NotRun):
            return
        if isinstance(self.best, Answered) and isinstance(result, Lost):
            return
        self._drop_best()
        self.best = result

    def _drop_best(self) -> None:
        if isinstance(self.best, Answered):
            self.best.attempt.end()

    def _give_up(self, attempt: Attempt) -> None:
        attempt.end()
        self.service.placer.notify_capacity_change()

    def _refuse(self, outcome: Outcome, reason: RefusalReason) -> CallRefusal:
        wait = self.service.placer.queue.retry_after()
        spread = 1 + self.ctx.rng.random() * _RETURN_SPREAD
        delay = min(max(wait, _SOONEST_RETURN) * spread, _LATEST_RETURN)
        _logger.info(
            'call given up',
            extra={
                'request_id': self.call.request.request_id,
                'reason': reason.value,
                'outcome': outcome.value,
                'sends': self.sends,
                'waiting': len(self.service.placer.queue.pending),
                'work_ms': round(self.service.estimator.service_time, 1),
                'upstreams': len(self.service.upstreams.by_address),
                'expected_wait_ms': round(wait, 1),
            },
        )
        return CallRefusal(outcome, reason, delay)


def _refusal_reason(result: AttemptResult) -> RefusalReason:
    if not isinstance(result, NotRun):
        return RefusalReason.ANSWER_LOST
    if result.reason is NotRunReason.CONNECT_FAILED:
        return RefusalReason.CONNECT_FAILED
    if result.reason is NotRunReason.DEADLINE:
        return RefusalReason.DEADLINE
    return RefusalReason.UPSTREAMS_FULL
