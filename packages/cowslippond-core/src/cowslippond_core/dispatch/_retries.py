"""Whether a call is sent once more, and what pays for it."""

from types import MappingProxyType

from cowslippond_core._attempt import Answered, AttemptResult, NotRun
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
    """The sends of one call beyond its first.

    ``runs`` counts the sends that may have run.

    :param ctx: what all calls share.
    :param service: whose budget pays.
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
        """Tell whether the call is sent again after a result; pay for it."""
        if self.ctx.clock.now() >= self.call.effective_deadline:
            return False
        if isinstance(result, NotRun):
            return self._may_place_again(result.reason)
        if isinstance(result, Answered):
            if result.answer.status < _FIRST_ERROR_STATUS:
                return False
        if not self.call.is_retryable:
            return False
        if self.runs >= self.call.route.max_sends:
            return False
        return self._spend(
            RetryReason.UPSTREAM_ERROR
            if isinstance(result, Answered)
            else RetryReason.ANSWER_LOST
        )

    def can_hedge(self) -> bool:
        """Tell whether a copy may be sent beside the send under way."""
        if self.runs >= self.call.route.max_sends:
            return False
        if (
            self.ctx.clock.now() >= self.call.effective_deadline
            or self.is_suspect()
        ):
            return False
        return self.budget.can_hedge()

    def is_suspect(self) -> bool:
        """Tell whether the call may crash the upstreams that run it."""
        fingerprint = self.call.request.fingerprint
        return self.ctx.hooks.quarantine.is_suspect(fingerprint)

    def record_retry(self, reason: RetryReason) -> None:
        """Count a repeated send."""
        self.budget.spend()
        self.ctx.hooks.count_retry(reason)

    def _may_place_again(self, reason: NotRunReason) -> bool:
        if reason is NotRunReason.DEADLINE or self.call.request.rest:
            return False
        if reason is NotRunReason.CONNECT_FAILED:
            # Nothing arrived, so nothing is charged.
            self.ctx.hooks.count_retry(_RETRY_REASONS[reason])
            return True
        return self._spend(_RETRY_REASONS[reason])

    def _spend(self, reason: RetryReason) -> bool:
        if not self.budget.can_retry():
            return False
        self.record_retry(reason)
        return True
