"""The way of a call from admission to the answer of an upstream."""

import random
from collections.abc import Callable, Container
from types import MappingProxyType

from cowslippond_core._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    Lost,
    NotRun,
    NotRunReason,
)
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._messages import (
    CallAnswer,
    CallRefusal,
    CallRequest,
    Outcome,
)
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._routing import LeastInFlight, pick
from cowslippond_core._service_state import ServiceState
from cowslippond_core._upstreams import Upstream

#: The most sends of one call by one process.
MAX_SENDS = 4

_RETRY_AFTER: Millis = 1000

_SHIPPED_POLICY = LeastInFlight()

_RETRY_REASONS = MappingProxyType(
    {
        NotRunReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        NotRunReason.SHED: RetryReason.SHED,
        NotRunReason.DRAINING: RetryReason.DRAINING,
    }
)


class Sender:
    """Send calls to upstreams.

    One sender serves all services of a process; what belongs to a service is
    in its :class:`ServiceState`.

    :param clock: the process's clock.
    :param is_leaving: tells whether the upstream at an address is leaving.
    :param mark_leaving: called with the address and the reason when an
        upstream's own answer says that it is leaving.
    :param count_retry: called once for each repeated send.
    :param on_break: called with the upstream, the call's fingerprint and the
        time when a connection breaks before the answer.
    :param policy: how upstreams are chosen; the default is the shipped one.
    :param rng: breaks ties; pass a seeded one to repeat a run.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        is_leaving: Callable[[str], bool],
        mark_leaving: Callable[[str, str], None],
        count_retry: Callable[[RetryReason], None],
        on_break: Callable[[Upstream, str, Millis], None],
        policy: object = _SHIPPED_POLICY,
        rng: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.is_leaving = is_leaving
        self.mark_leaving = mark_leaving
        self.count_retry = count_retry
        self.on_break = on_break
        self.policy = policy
        self.rng = rng or random.Random()

    async def send(
        self, service: ServiceState, request: CallRequest
    ) -> CallAnswer | CallRefusal:
        """Send a call; return the answer, or why there is none.

        :param service: the service that the call belongs to.
        :param request: the call.
        """
        refusal = await service.limiter.admit(request.deadline)
        if refusal is not None:
            return _not_run(refusal)
        try:
            answer = await self._send_admitted(service, request)
        except BaseException:
            service.limiter.release()
            raise
        if isinstance(answer, CallRefusal):
            service.limiter.release()
        return answer

    async def _send_admitted(
        self, service: ServiceState, request: CallRequest
    ) -> CallAnswer | CallRefusal:
        service.budget.note_call()
        tried: set[str] = set()
        refusal = _not_run(RefusalReason.NO_UPSTREAM)
        number = request.attempt
        for _ in range(MAX_SENDS):
            upstream = self._pick(service, tried)
            if upstream is None:
                return refusal
            tried.add(upstream.address)
            attempt = Attempt(upstream, request, number, self.clock)
            result = await self._run(attempt)
            if isinstance(result, Answered):
                attempt.when_ended(service.limiter.release)
                return result.answer
            if refusal.outcome is not Outcome.UNKNOWN:
                refusal = _refusal_of(result)
            retry = self._retry_reason(result, service, request)
            if retry is None:
                return refusal
            if isinstance(result, Lost):
                number += 1
            self.count_retry(retry)
        return refusal

    def _pick(
        self, service: ServiceState, tried: Container[str]
    ) -> Upstream | None:
        candidates = [
            upstream
            for upstream in service.upstreams.by_address.values()
            if upstream.address not in tried
            and upstream.connections.has_room()
            and not self.is_leaving(upstream.address)
        ]
        if not candidates:
            return None
        chosen = pick(self.policy, candidates, self.rng)
        chosen.chosen_at = self.clock.now()
        return chosen

    async def _run(self, attempt: Attempt) -> AttemptResult:
        refused = await attempt.start()
        if refused is not None:
            return refused
        result = await attempt.wait(attempt.request.deadline)
        if result is None:
            attempt.end()
            return Lost(ExchangeFault.TIMEOUT)
        self._note(attempt, result)
        return result

    def _note(self, attempt: Attempt, result: AttemptResult) -> None:
        upstream = attempt.upstream
        now = self.clock.now()
        if isinstance(result, Answered):
            upstream.note_latency(now - attempt.sent_at)
            return
        if isinstance(result, Lost):
            self.on_break(upstream, attempt.request.fingerprint, now)
            return
        if result.reason is NotRunReason.DRAINING:
            self.mark_leaving(upstream.address, 'answer')

    def _retry_reason(
        self, result: NotRun | Lost, service: ServiceState, request: CallRequest
    ) -> RetryReason | None:
        if self.clock.now() >= request.deadline:
            return None
        is_body_kept = request.rest is None
        if isinstance(result, NotRun):
            if is_body_kept or result.reason is NotRunReason.CONNECT_FAILED:
                return _RETRY_REASONS[result.reason]
            return None
        if not request.is_idempotent or not is_body_kept:
            return None
        if request.attempt > 0 or not service.budget.take():
            return None
        return RetryReason.ANSWER_LOST


def _not_run(reason: RefusalReason) -> CallRefusal:
    return CallRefusal(Outcome.NOT_RUN, reason, _RETRY_AFTER)


def _refusal_of(result: NotRun | Lost) -> CallRefusal:
    if isinstance(result, Lost):
        return CallRefusal(
            Outcome.UNKNOWN, RefusalReason.ANSWER_LOST, _RETRY_AFTER
        )
    if result.reason is NotRunReason.CONNECT_FAILED:
        return _not_run(RefusalReason.CONNECT_FAILED)
    return _not_run(RefusalReason.UPSTREAMS_FULL)
