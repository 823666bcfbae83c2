"""Decides whether a call is retried or hedged, within the retry budget."""

from types import MappingProxyType

from cowslippond_core._attempt import Answered, AttemptResult, NotRun
from cowslippond_core._clock import TIMER_RESOLUTION
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._reasons import RetryReason
from cowslippond_core.dispatch._call import Call
from cowslippond_core.dispatch._context import DispatchContext
from cowslippond_core.dispatch._service import Service

_FIRST_ERROR_STATUS = 500

_RETRY_REASONS = MappingProxyType(
    {
        NotRunReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
        NotRunReason.SHED: RetryReason.SHED,
        NotRunReason.DRAINING: RetryReason.DRAINING,
        NotRunReason.OTHER_VM: RetryReason.OTHER_VM,
    }
)


class CallRetries:
    """Decides on the retries and hedges of one call.

    ``runs`` is the number of sends that may have run at an upstream.

    :param ctx: dependencies that all dispatches share.
    :param service: the service whose retry budget is charged.
    :param call: the call.
    """

    def __init__(
        self, ctx: DispatchContext, service: Service, call: Call
    ) -> None:
        self.ctx = ctx
        self.budget = service.budget
        self.call = call
        self.runs = 0

    def should_retry(self, result: AttemptResult) -> bool:
        """Tell whether to retry after a result, and charge the retry."""
        if self._is_over():
            return False
        if isinstance(result, NotRun):
            return self._can_resend(result.reason)
        if isinstance(result, Answered):
            if result.answer.status < _FIRST_ERROR_STATUS:
                return False
        if not self.call.is_retryable:
            return False
        if self.runs >= self.call.route.max_sends:
            return False
        return self._spend_retry(
            RetryReason.UPSTREAM_ERROR
            if isinstance(result, Answered)
            else RetryReason.ANSWER_LOST
        )

    def can_hedge(self) -> bool:
        """Tell whether a hedge may be sent now."""
        if self.runs >= self.call.route.max_sends:
            return False
        if self.call.request.is_revoked():
            return False
        if self._is_over() or self.is_suspect():
            return False
        return self.budget.can_hedge()

    def is_suspect(self) -> bool:
        """Tell whether calls like this one are suspected to crash upstreams."""
        fingerprint = self.call.request.fingerprint
        return self.ctx.hooks.quarantine.is_suspect(fingerprint)

    def record_retry(self, reason: RetryReason) -> None:
        """Charge a retry or hedge to the budget and count it."""
        self.budget.spend()
        self.ctx.hooks.count_retry(reason)

    def _is_over(self) -> bool:
        """Tell whether the call's time has passed, or the wait for it has ended."""
        ended_at = self.call.effective_deadline - TIMER_RESOLUTION
        return self.ctx.clock.now() >= ended_at

    def _can_resend(self, reason: NotRunReason) -> bool:
        if reason not in _RETRY_REASONS or not self.call.may_resend_after(
            reason
        ):
            return False
        if reason is NotRunReason.CONNECT_FAILED:
            # Nothing reached the upstream, so the budget is not charged.
            self.ctx.hooks.count_retry(_RETRY_REASONS[reason])
            return True
        return self._spend_retry(_RETRY_REASONS[reason])

    def _spend_retry(self, reason: RetryReason) -> bool:
        if not self.budget.can_retry():
            return False
        self.record_retry(reason)
        return True
