"""Lets calls pass that are within the quotas of their workspaces."""

import logging
import random

from cowslippond_core._messages import CallAnswer, CallRefusal, Outcome
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.dispatch import Dispatch
from cowslippond_core.quotas._limiter import QuotaLimiter, QuotaRefusal
from cowslippond_core.quotas._workspace_use import Token

# Refused callers return at random times between the expected one and half as
# much later, so that they do not all return at the same moment.
_JITTER = 0.5
_MIN_RETRY_AFTER = 50

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

    async def run(self, dispatch: Dispatch) -> CallAnswer | CallRefusal:
        """Dispatch a call if it is within its workspace's quota."""
        workspace = dispatch.call.request.workspace
        if workspace is None:
            return await dispatch.run()
        decision = await self.limiter.take(workspace)
        if decision is None:
            return await dispatch.run()
        if isinstance(decision, QuotaRefusal):
            return self._refuse(dispatch, workspace, decision)
        return await self._run_counted(dispatch, decision)

    async def _run_counted(
        self, dispatch: Dispatch, token: Token
    ) -> CallAnswer | CallRefusal:
        has_run = False
        try:
            reply = await dispatch.run()
        except BaseException:
            has_run = dispatch.send_count > 0
            raise
        else:
            has_run = dispatch.send_count > 0 and not _is_not_run(reply)
        finally:
            if not has_run:
                self.limiter.give_back(token)
        return reply

    def _refuse(
        self, dispatch: Dispatch, workspace: str, refusal: QuotaRefusal
    ) -> CallRefusal:
        jitter = 1 + self.rng.random() * _JITTER
        wait = max(refusal.wait, _MIN_RETRY_AFTER) * jitter
        _logger.info(
            'call refused by the quota of its workspace',
            extra={
                'request_id': dispatch.call.request.request_id,
                'workspace': workspace,
                'retry_after_ms': round(wait),
                'owners_asked': refusal.asked,
                'owners_unreached': refusal.unreached,
            },
        )
        return CallRefusal(Outcome.NOT_RUN, RefusalReason.OVER_QUOTA, wait)


def _is_not_run(reply: CallAnswer | CallRefusal) -> bool:
    return isinstance(reply, CallRefusal) and reply.outcome is Outcome.NOT_RUN
