"""Entry point of the sending path: admits calls and sends them."""

import random
from collections.abc import Callable
from functools import partial

from cowslippond_core._attempt import Attempt
from cowslippond_core._batch_throttle import BatchThrottle
from cowslippond_core._budgets import is_first_attempt
from cowslippond_core._clock import Clock
from cowslippond_core._crash_watch import record_send_end
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._messages import CallAnswer, CallRefusal, CallRequest
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._refusals import not_run_refusal
from cowslippond_core._routing import NearLeastInFlight
from cowslippond_core._sending import CallForwarder, SendingContext
from cowslippond_core._service_state import ServiceState


class Sender:
    """Sends calls to upstreams.

    One sender serves all services of a process; the state of each service is
    in its :class:`ServiceState`.

    :param clock: the clock of the process.
    :param is_leaving: returns whether the upstream at an address is leaving.
    :param mark_leaving: called with the address and the source of the report
        when an answer of an upstream says that it is leaving.
    :param count_retry: called with the reason for each retry or hedge.
    :param quarantine: blocks requests that crash upstreams.
    :param failure_domain: the failure domain of this process.
    :param policy: routing policy to use instead of the default one; meant for
        benchmarks.
    :param rng: random source, for example for tie-breaking; pass a seeded one
        to make a run repeatable.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        is_leaving: Callable[[str], bool],
        mark_leaving: Callable[[str, str], None],
        count_retry: Callable[[RetryReason], None],
        quarantine: Quarantine,
        failure_domain: str = '',
        policy: object | None = None,
        rng: random.Random | None = None,
    ) -> None:
        hooks = SendingHooks(is_leaving, mark_leaving, count_retry, quarantine)
        self.batch_throttle = BatchThrottle()
        self.ctx = SendingContext(
            clock,
            hooks,
            policy or NearLeastInFlight(failure_domain),
            rng or random.Random(),
        )

    async def send(
        self, service: ServiceState, request: CallRequest
    ) -> CallAnswer | CallRefusal:
        """Send a call; return the answer, or a refusal.

        The caller of this method must read the answer's body to its end or
        close it. Until then the call counts as running.

        :param service: the service that the call belongs to.
        :param request: the call.
        """
        clock = self.ctx.clock
        refusal = await self._admit(service, request)
        if refusal is not None:
            return not_run_refusal(refusal, self.ctx.rng)
        if is_first_attempt(request.attempt):
            service.retry_budget.record_send()
            service.hedge_budget.record_send()
        started_at = clock.now()
        try:
            result = await CallForwarder(self.ctx, service, request).run()
        except BaseException:
            service.limiter.release()
            raise
        if isinstance(result, CallRefusal):
            service.limiter.release()
            return result
        service.limiter.record_answer(clock.now() - started_at)
        result.attempt.limit_answer(
            started_at + service.document.deadline.ceiling_ms
        )
        result.attempt.call_when_ended(
            partial(self._finish_call, service, result.attempt)
        )
        return result.answer

    def _finish_call(self, service: ServiceState, attempt: Attempt) -> None:
        service.limiter.release()
        record_send_end(self.ctx.hooks.quarantine, attempt)

    async def _admit(
        self, service: ServiceState, request: CallRequest
    ) -> RefusalReason | None:
        now = self.ctx.clock.now()
        priority = service.document.priority
        limiter = service.limiter
        self.batch_throttle.apply(limiter, priority, now)
        if limiter.waiting:
            self.batch_throttle.record_wait(priority, now)
        return await limiter.admit(request.deadline, service.latency.fastest)
