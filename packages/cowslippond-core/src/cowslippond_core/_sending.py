"""The way of one admitted call through its sends."""

import random
from contextlib import ExitStack
from typing import NamedTuple

import anyio

from cowslippond_core._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    Lost,
    NotRun,
)
from cowslippond_core._candidates import Candidates, find_candidates
from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._crash_watch import watch_crash
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._exchange import ExchangeFault
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._load import note_chosen, wait_limit
from cowslippond_core._messages import (
    CallRefusal,
    CallRequest,
    Outcome,
)
from cowslippond_core._observations import record_cancelled, record_result
from cowslippond_core._race import Race
from cowslippond_core._reasons import RefusalReason, RetryReason
from cowslippond_core._refusals import not_run, refusal_of
from cowslippond_core._retries import is_repeatable, retry_reason
from cowslippond_core._routing import after_send, pick
from cowslippond_core._service_state import ServiceState
from cowslippond_core._upstreams import Upstream

#: The most sends of one call by one process, those that an upstream refused
#: for want of a free slot included.
MAX_SENDS = 120

_SILENCE_FACTOR = 4
_SILENT_FAULTS = (ExchangeFault.SILENT, ExchangeFault.TIMEOUT)
_HEDGE_FACTOR = 1.5
_LEAST_SILENCE: Millis = 200
_LONGEST_TURN_WAIT: Millis = 250


class SendingContext(NamedTuple):
    """What all calls of a sender share."""

    clock: Clock
    hooks: SendingHooks
    policy: object
    rng: random.Random


class Sending:
    """One admitted call on its way.

    :param ctx: what all calls share.
    :param service: the service of the call.
    :param request: the call.
    """

    def __init__(
        self, ctx: SendingContext, service: ServiceState, request: CallRequest
    ) -> None:
        self.ctx = ctx
        self.clock = ctx.clock
        self.service = service
        self.request = request
        self.tried: set[str] = set()
        self.silent: set[str] = set()
        self.sends = 0
        self.number = request.attempt
        self.is_repeatable = is_repeatable(request)
        self.is_fresh = not request.is_idempotent
        self.none_left = RefusalReason.NO_UPSTREAM
        self.best: AttemptResult | None = None
        self.refusal: CallRefusal | None = None

    async def run(self) -> Answered | CallRefusal:
        """Send the call until it is answered or given up."""
        try:
            await self._send_until_settled()
        except BaseException:
            self._keep(None)
            raise
        if isinstance(self.best, Answered):
            return self.best
        if self.refusal is not None:
            if isinstance(self.best, Lost):
                return self.refusal._replace(outcome=Outcome.UNKNOWN)
            return self.refusal
        if self.best is None:
            return not_run(self.none_left, self.ctx.rng)
        return refusal_of(self.best, self.ctx.rng)

    async def _send_until_settled(self) -> None:
        while self.sends < MAX_SENDS:
            upstream = await self._choose()
            if upstream is None:
                return
            result = await self._send_in_turn(upstream)
            if isinstance(result, CallRefusal):
                self.refusal = result
                return
            retry = retry_reason(
                result,
                self.request,
                self.service.retry_budget,
                self.clock.now(),
            )
            self._keep(result)
            if retry is None:
                return
            self.ctx.hooks.count_retry(retry)

    async def _choose(self) -> Upstream | None:
        while True:
            now = self.clock.now()
            found = self._find()
            if found.free:
                return self._pick(found.free)
            if self.silent:
                self.tried -= self.silent
                self.silent.clear()
                continue
            if found.open_at is None:
                return None
            if found.open_at >= wait_limit(
                self.service.slot_pace(), self.request.deadline, now
            ):
                self.none_left = RefusalReason.UPSTREAMS_FULL
                return None
            self.service.limiter.record_full()
            await self.clock.sleep(found.open_at - now)

    def _find(self) -> Candidates:
        return find_candidates(
            self.service.upstreams,
            self.tried,
            self.ctx.hooks.is_leaving,
            self.clock.now(),
        )

    def _pick(self, found: list[Upstream]) -> Upstream:
        broken = self.ctx.hooks.quarantine.upstreams_broken_by(
            self.request.fingerprint
        )
        free = [one for one in found if one.address not in broken] or found
        chosen = pick(self.ctx.policy, free, self.ctx.rng)
        chosen.chosen_at = self.clock.now()
        note_chosen(chosen, self.service.slot_pace(), chosen.chosen_at)
        after_send(self.ctx.policy, free, self.ctx.rng)
        return chosen

    async def _make_copy(self) -> Attempt | None:
        found = self._find()
        if not found.free:
            return None
        upstream = self._pick(found.free)
        self.tried.add(upstream.address)
        self.ctx.hooks.count_retry(RetryReason.HEDGE)
        self.service.hedge_budget.spend()
        return self._attempt(upstream, self.number + 1, is_fresh=True)

    def _attempt(
        self, upstream: Upstream, number: int, *, is_fresh: bool
    ) -> Attempt:
        self.sends += 1
        return Attempt(
            upstream, self.request, number, self.clock, is_fresh=is_fresh
        )

    async def _send_in_turn(
        self, upstream: Upstream
    ) -> AttemptResult | CallRefusal:
        """Send the call; one that may crash upstreams waits for its turn."""
        quarantine = self.ctx.hooks.quarantine
        fingerprint = self.request.fingerprint
        if not quarantine.is_suspect(fingerprint):
            return await self._send_to(upstream)
        turn = quarantine.send_lock(fingerprint)
        if not await _is_acquired(turn):
            return not_run(RefusalReason.QUARANTINED, self.ctx.rng)
        with ExitStack() as held:
            held.callback(turn.release)
            refusal = quarantine.check(fingerprint)
            if refusal is not None:
                return refusal
            if quarantine.is_suspect(fingerprint):
                return await self._send_to(upstream)
        return await self._send_to(upstream)

    async def _send_to(self, upstream: Upstream) -> AttemptResult:
        attempt = self._attempt(upstream, self.number, is_fresh=self.is_fresh)
        try:
            result = await self._settle(attempt)
        except BaseException:
            attempt.end()
            raise
        if isinstance(result, Answered):
            return result
        if isinstance(result, Lost):
            await watch_crash(
                self.ctx.hooks.quarantine,
                upstream,
                result,
                may_repeat=self.is_repeatable,
            )
            self.number += 1
            self.is_fresh = True
            if attempt.is_reused and result.fault in _SILENT_FAULTS:
                # The connection may be at fault, and not the upstream.
                self.silent.add(upstream.address)
        is_shed = isinstance(result, NotRun) and (
            result.reason is NotRunReason.SHED
        )
        if not is_shed:
            self.tried.add(upstream.address)
        return result

    async def _settle(self, attempt: Attempt) -> AttemptResult:
        result = None
        if self.is_repeatable:
            result = await self._wait(attempt, self._hedge_time())
        if result is None and self._may_hedge_now():
            result = await self._hedge(attempt)
        elif result is None:
            result = await self._wait_while_trusted(attempt)
        if result is None:
            attempt.end()
            result = Lost(ExchangeFault.TIMEOUT)
            record_result(self.service, self.ctx.hooks, attempt, result)
        return result

    def _hedge_time(self) -> Millis:
        hedging = self.service.document.hedging
        late = self.service.latency.p95 * _HEDGE_FACTOR
        delay = max(hedging.delay_ms, late)
        return min(self.clock.now() + delay, self.request.deadline)

    def _may_hedge_now(self) -> bool:
        if not self.is_repeatable or self.clock.now() >= self.request.deadline:
            return False
        if self.ctx.hooks.quarantine.is_suspect(self.request.fingerprint):
            return False
        has_upstream = bool(self._find().free)
        return has_upstream and self.service.hedge_budget.can_spend()

    async def _wait_while_trusted(
        self, attempt: Attempt
    ) -> AttemptResult | None:
        """Wait for the answer; give an old connection less time.

        An answer that stays away on a connection that had worked before may
        mean that the connection went silent for good.
        """
        until = self._trusted_until(attempt)
        result = await self._wait(attempt, until)
        if result is not None or until >= self.request.deadline:
            return result
        attempt.upstream.connections.suspect_silent(attempt.sent_at)
        if not self.service.retry_budget.can_spend():
            return await self._wait(attempt, self.request.deadline)
        self.service.retry_budget.spend()
        attempt.end()
        late = Lost(ExchangeFault.TIMEOUT)
        record_result(self.service, self.ctx.hooks, attempt, late)
        return Lost(ExchangeFault.SILENT)

    def _trusted_until(self, attempt: Attempt) -> Millis:
        if not attempt.is_reused or not self.is_repeatable:
            return self.request.deadline
        silence = self.service.latency.p99 * _SILENCE_FACTOR
        trusted = attempt.sent_at + max(silence, _LEAST_SILENCE)
        return min(trusted, self.request.deadline)

    async def _hedge(self, first: Attempt) -> AttemptResult | None:
        self.tried.add(first.upstream.address)
        race = Race(first, self._make_copy, self._wait_while_trusted)
        winner = await race.run()
        for attempt in race.attempts:
            if not attempt.exchange.is_headed:
                record_cancelled(self.service, attempt)
        return winner

    async def _wait(
        self, attempt: Attempt, until: Millis
    ) -> AttemptResult | None:
        result = await attempt.start() or await attempt.wait(until)
        if result is not None:
            record_result(self.service, self.ctx.hooks, attempt, result)
        return result

    def _keep(self, result: AttemptResult | None) -> None:
        """Keep the result that is certain to be said to the caller.

        Once a send may have run, a later 'not run' doesn't change that.
        """
        known = self.best
        if isinstance(known, Answered | Lost) and isinstance(result, NotRun):
            return
        if isinstance(known, Answered) and isinstance(result, Lost):
            return
        if isinstance(known, Answered):
            known.attempt.end()
        self.best = result


async def _is_acquired(turn: anyio.Lock) -> bool:
    try:
        with anyio.fail_after(seconds_of(_LONGEST_TURN_WAIT)):
            await turn.acquire()
    except TimeoutError:
        return False
    return True
