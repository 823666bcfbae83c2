"""Lets calls pass that are within the quotas of their workspaces."""

import logging
import random
from typing import TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core._messages import CallAnswer, CallRefusal, Outcome
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.dispatch import Dispatch, UploadDispatch
from cowslippond_core.quotas._limiter import QuotaLimiter, QuotaRefusal
from cowslippond_core.quotas._workspace_use import Token

# Refused callers return at random times between the expected one and half as
# much later, so that they do not all return at the same moment.
_JITTER = 0.5
_MIN_RETRY_AFTER: Millis = 50

# The slack of the bound covers tokens that are used this much later.
_MAX_QUEUE_TIME: Millis = 300

AnyDispatch: TypeAlias = Dispatch | UploadDispatch

_logger = logging.getLogger(__name__)


class QuotaGate:
    """Takes a token for each call, and returns it if the call did not run.

    A call that is sent through a peer takes a token there, as the peer sends it
    to an upstream; the token taken here is returned. Retries and hedges belong
    to the call and take none.

    :param limiter: grants the tokens.
    :param rng: randomizes the callers' waits.
    """

    def __init__(self, limiter: QuotaLimiter, rng: random.Random) -> None:
        self.limiter = limiter
        self.rng = rng

    async def run(self, dispatch: AnyDispatch) -> CallAnswer | CallRefusal:
        """Dispatch a call if it is within its workspace's quota."""
        workspace = dispatch.call.request.workspace
        if workspace is None:
            return await dispatch.run()
        decision = await self.limiter.take(workspace)
        if decision is None:
            return await dispatch.run()
        if isinstance(decision, QuotaRefusal):
            return self._refuse(dispatch, workspace, decision)
        admission = _Admission(self.limiter, dispatch, decision)
        dispatch.check_first_send = admission.renew
        return await admission.run()

    def _refuse(
        self, dispatch: AnyDispatch, workspace: str, refusal: QuotaRefusal
    ) -> CallRefusal:
        jitter = 1 + self.rng.random() * _JITTER
        wait = max(refusal.wait, _MIN_RETRY_AFTER) * jitter
        _log_refusal(dispatch, workspace, refusal)
        return CallRefusal(Outcome.NOT_RUN, RefusalReason.OVER_QUOTA, wait)


class _Admission:
    """A call that has a token."""

    def __init__(
        self, limiter: QuotaLimiter, dispatch: AnyDispatch, token: Token
    ) -> None:
        self.limiter = limiter
        self.dispatch = dispatch
        self.token: Token | None = token
        self.workspace = token.workspace
        self.taken_at = limiter.clock.now()

    async def run(self) -> CallAnswer | CallRefusal:
        """Dispatch the call; return its token if it did not run."""
        has_run = False
        try:
            reply = await self.dispatch.run()
        except BaseException:
            has_run = self.dispatch.send_count > 0
            raise
        else:
            has_run = self.dispatch.send_count > 0 and not _is_not_run(reply)
        finally:
            if not has_run:
                self._give_back()
        return reply

    async def renew(self) -> RefusalReason | None:
        """Exchange the token of a call that has waited long in the queue.

        Calls that waited together while upstreams stood still would otherwise
        run in one window, in addition to those that arrive then.
        """
        if self.limiter.clock.now() - self.taken_at <= _MAX_QUEUE_TIME:
            return None
        self._give_back()
        decision = await self.limiter.take(self.workspace)
        if isinstance(decision, QuotaRefusal):
            _log_refusal(self.dispatch, self.workspace, decision)
            return RefusalReason.OVER_QUOTA
        self.token = decision
        self.taken_at = self.limiter.clock.now()
        return None

    def _give_back(self) -> None:
        if self.token is not None:
            self.limiter.give_back(self.token)
            self.token = None


def _log_refusal(
    dispatch: AnyDispatch, workspace: str, refusal: QuotaRefusal
) -> None:
    _logger.info(
        'call refused by the quota of its workspace',
        extra={
            'request_id': dispatch.call.request.request_id,
            'workspace': workspace,
            'expected_wait_ms': round(refusal.wait),
            'owners_asked': refusal.asked,
            'owners_unreached': refusal.unreached,
        },
    )


def _is_not_run(reply: CallAnswer | CallRefusal) -> bool:
    return isinstance(reply, CallRefusal) and reply.outcome is Outcome.NOT_RUN
