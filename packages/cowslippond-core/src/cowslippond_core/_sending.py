"""Sending of an admitted call: choice of upstreams, retries and hedging."""

import random
from contextlib import ExitStack
from typing import NamedTuple

import anyio

from cowslippond_core._attempt import (
    Answered,
    AnswerLost,
    Attempt,
    AttemptResult,
    NotRun,
)
from cowslippond_core._candidates import Candidates, find_candidates
from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._crash_watch import watch_crash
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._load import renew_backoff, slot_wait_deadline
from cowslippond_core._messages import (
    CallRefusal,
    CallRequest,
    Outcome,
)
from cowslippond_core._observations import record_cancelled, record_result
from cowslippond_core._race import Race
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._refusals import not_run_refusal, refusal_for
from cowslippond_core._retries import is_retryable, retry_reason
from cowslippond_core._routing import after_send, pick
from cowslippond_core._service_state import ServiceState
from cowslippond_core._upstreams import Upstream

#: Maximum number of sends of one call by one process. Sends that an upstream
#: refused because it had no free slot count too.
MAX_SENDS = 120

_SILENCE_P99_FACTOR = 4
_SILENT_FAULTS = (ExchangeFault.SILENT, ExchangeFault.TIMEOUT)
_HEDGE_P95_FACTOR = 1.5
_MIN_SILENCE_TIMEOUT: Millis = 200
_SUSPECT_LOCK_TIMEOUT: Millis = 250


class SendingContext(NamedTuple):
    """State shared by all calls of a sender."""

    clock: Clock
    hooks: SendingHooks
    policy: object
    rng: random.Random


class CallForwarder:
    """Sends one admitted call, with retries and hedges.

    :param ctx: state shared by all calls of the sender.
    :param service: the service that the call belongs to.
    :param request: the call.
    """

    def __init__(
        self, ctx: SendingContext, service: ServiceState, request: CallRequest
    ) -> None:
        self.ctx = ctx
        self.clock = ctx.clock
        self.service = service
        self.request = request
        self.attempted_addresses: set[str] = set()
        self.silent_addresses: set[str] = set()
        self.send_count = 0
        self.attempt_number = request.attempt
        self.is_retryable = is_retryable(request)
        self.is_fresh = not request.is_idempotent
        self.unavailable_reason = RefusalReason.NO_UPSTREAM
        self.best_result: AttemptResult | None = None
        self.refusal: CallRefusal | None = None

    async def run(self) -> Answered | CallRefusal:
        """Send the call until it is answered or no further send is allowed."""
        try:
            await self._send_with_retries()
        except BaseException:
            self._record_result(None)
            raise
        if isinstance(self.best_result, Answered):
            return self.best_result
        if self.refusal is not None:
            if isinstance(self.best_result, AnswerLost):
                return self.refusal._replace(outcome=Outcome.UNKNOWN)
            return self.refusal
        if self.best_result is None:
            return not_run_refusal(self.unavailable_reason, self.ctx.rng)
        return refusal_for(self.best_result, self.ctx.rng)

    async def _send_with_retries(self) -> None:
        while self.send_count < MAX_SENDS:
            upstream = await self._choose_upstream()
            if upstream is None:
                return
            result = await self._send_unless_quarantined(upstream)
            if isinstance(result, CallRefusal):
                self.refusal = result
                return
            retry = retry_reason(
                result,
                self.request,
                self.service.retry_budget,
                self.clock.now(),
            )
            self._record_result(result)
            if retry is None:
                return
            self.ctx.hooks.count_retry(retry)

    async def _choose_upstream(self) -> Upstream | None:
        while True:
            now = self.clock.now()
            candidates = self._find_candidates()
            if candidates.free:
                return self._pick_upstream(candidates.free)
            if self.silent_addresses:
                self.attempted_addresses -= self.silent_addresses
                self.silent_addresses.clear()
                continue
            if candidates.next_free_at is None:
                return None
            if candidates.next_free_at >= slot_wait_deadline(
                self.service.slot_intervals(), self.request.deadline, now
            ):
                self.unavailable_reason = RefusalReason.UPSTREAMS_FULL
                return None
            self.service.limiter.record_full()
            await self.clock.sleep(candidates.next_free_at - now)

    def _find_candidates(self) -> Candidates:
        return find_candidates(
            self.service.upstreams,
            self.attempted_addresses,
            self.ctx.hooks.is_leaving,
            self.clock.now(),
        )

    def _pick_upstream(self, candidates: list[Upstream]) -> Upstream:
        broken_addresses = self.ctx.hooks.quarantine.upstreams_broken_by(
            self.request.fingerprint
        )
        preferred = [
            one for one in candidates if one.address not in broken_addresses
        ] or candidates
        chosen = pick(self.ctx.policy, preferred, self.ctx.rng)
        chosen.chosen_at = self.clock.now()
        renew_backoff(chosen, self.service.slot_intervals(), chosen.chosen_at)
        after_send(self.ctx.policy, preferred, self.ctx.rng)
        return chosen

    async def _make_hedge(self) -> Attempt | None:
        candidates = self._find_candidates()
        if not candidates.free:
            return None
        upstream = self._pick_upstream(candidates.free)
        self.attempted_addresses.add(upstream.address)
        self.ctx.hooks.count_retry(RetryReason.HEDGE)
        self.service.hedge_budget.spend()
        return self._make_attempt(
            upstream, self.attempt_number + 1, is_fresh=True
        )

    def _make_attempt(
        self, upstream: Upstream, number: int, *, is_fresh: bool
    ) -> Attempt:
        self.send_count += 1
        return Attempt(
            upstream, self.request, number, self.clock, is_fresh=is_fresh
        )

    async def _send_unless_quarantined(
        self, upstream: Upstream
    ) -> AttemptResult | CallRefusal:
        """Send the call, or refuse it if its fingerprint is quarantined.

        Calls with a suspect fingerprint, which may crash upstreams, are sent
        one at a time. After waiting for the lock, a call is checked again,
        because an earlier one may have crashed an upstream meanwhile.
        """
        quarantine = self.ctx.hooks.quarantine
        fingerprint = self.request.fingerprint
        if not quarantine.is_suspect(fingerprint):
            return await self._send_to_upstream(upstream)
        suspect_lock = quarantine.send_lock(fingerprint)
        if not await _try_acquire(suspect_lock):
            return not_run_refusal(RefusalReason.QUARANTINED, self.ctx.rng)
        with ExitStack() as cleanup:
            cleanup.callback(suspect_lock.release)
            refusal = quarantine.check(fingerprint)
            if refusal is not None:
                return refusal
            if quarantine.is_suspect(fingerprint):
                return await self._send_to_upstream(upstream)
        return await self._send_to_upstream(upstream)

    async def _send_to_upstream(self, upstream: Upstream) -> AttemptResult:
        attempt = self._make_attempt(
            upstream, self.attempt_number, is_fresh=self.is_fresh
        )
        try:
            result = await self._wait_for_result(attempt)
        except BaseException:
            attempt.end()
            raise
        if isinstance(result, Answered):
            return result
        if isinstance(result, AnswerLost):
            await watch_crash(
                self.ctx.hooks.quarantine,
                upstream,
                result,
                may_retry=self.is_retryable,
            )
            self.attempt_number += 1
            self.is_fresh = True
            if attempt.is_reused and result.fault in _SILENT_FAULTS:
                # The connection may have failed rather than the upstream, so
                # the upstream may be tried again when no other one is left.
                self.silent_addresses.add(upstream.address)
        is_shed = isinstance(result, NotRun) and (
            result.reason is NotRunReason.SHED
        )
        if not is_shed:
            self.attempted_addresses.add(upstream.address)
        return result

    async def _wait_for_result(self, attempt: Attempt) -> AttemptResult:
        result = None
        if self.is_retryable:
            result = await self._wait_until(attempt, self._hedge_at())
        if result is None and self._may_hedge():
            result = await self._hedge(attempt)
        elif result is None:
            result = await self._wait_detecting_silence(attempt)
        if result is None:
            attempt.end()
            result = AnswerLost(ExchangeFault.TIMEOUT)
            record_result(self.service, self.ctx.hooks, attempt, result)
        return result

    def _hedge_at(self) -> Millis:
        hedging = self.service.document.hedging
        latency_delay = self.service.latency.p95 * _HEDGE_P95_FACTOR
        delay = max(hedging.delay_ms, latency_delay)
        return min(self.clock.now() + delay, self.request.deadline)

    def _may_hedge(self) -> bool:
        if not self.is_retryable or self.clock.now() >= self.request.deadline:
            return False
        if self.ctx.hooks.quarantine.is_suspect(self.request.fingerprint):
            return False
        has_upstream = bool(self._find_candidates().free)
        return has_upstream and self.service.hedge_budget.can_spend()

    async def _wait_detecting_silence(
        self, attempt: Attempt
    ) -> AttemptResult | None:
        """Wait for the answer, for a shorter time on a reused connection.

        A missing answer on a connection that has worked before may mean that
        the connection drops all traffic without being closed. The call is
        then sent again on another connection, if the retry budget allows it.
        """
        until = self._silence_deadline(attempt)
        result = await self._wait_until(attempt, until)
        if result is not None or until >= self.request.deadline:
            return result
        attempt.upstream.connections.suspect_silent_since(attempt.sent_at)
        if not self.service.retry_budget.can_spend():
            return await self._wait_until(attempt, self.request.deadline)
        self.service.retry_budget.spend()
        attempt.end()
        timed_out = AnswerLost(ExchangeFault.TIMEOUT)
        record_result(self.service, self.ctx.hooks, attempt, timed_out)
        return AnswerLost(ExchangeFault.SILENT)

    def _silence_deadline(self, attempt: Attempt) -> Millis:
        if not attempt.is_reused or not self.is_retryable:
            return self.request.deadline
        silence_timeout = self.service.latency.p99 * _SILENCE_P99_FACTOR
        silent_at = attempt.sent_at + max(silence_timeout, _MIN_SILENCE_TIMEOUT)
        return min(silent_at, self.request.deadline)

    async def _hedge(self, first: Attempt) -> AttemptResult | None:
        self.attempted_addresses.add(first.upstream.address)
        race = Race(first, self._make_hedge, self._wait_detecting_silence)
        winner = await race.run()
        for attempt in race.attempts:
            if not attempt.exchange.has_head:
                record_cancelled(self.service, attempt)
        return winner

    async def _wait_until(
        self, attempt: Attempt, until: Millis
    ) -> AttemptResult | None:
        result = await attempt.start() or await attempt.wait(until)
        if result is not None:
            record_result(self.service, self.ctx.hooks, attempt, result)
        return result

    def _record_result(self, result: AttemptResult | None) -> None:
        """Record the result that the caller will be given.

        Once an attempt may have run, a later 'not run' result must not
        replace it.
        """
        previous = self.best_result
        if isinstance(previous, Answered | AnswerLost) and isinstance(
            result, NotRun
        ):
            return
        if isinstance(previous, Answered) and isinstance(result, AnswerLost):
            return
        if isinstance(previous, Answered):
            previous.attempt.end()
        self.best_result = result


async def _try_acquire(lock: anyio.Lock) -> bool:
    try:
        with anyio.fail_after(seconds_of(_SUSPECT_LOCK_TIMEOUT)):
            await lock.acquire()
    except TimeoutError:
        return False
    return True
