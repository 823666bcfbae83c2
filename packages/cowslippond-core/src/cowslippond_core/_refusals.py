"""Answers that the load balancer gives instead of an upstream."""

import random
from types import MappingProxyType

from cowslippond_core._attempt import AnswerLost, NotRun
from cowslippond_core._clock import Millis
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._messages import CallRefusal, Outcome
from cowslippond_core._reasons import RefusalReason

_MIN_RETRY_AFTER: Millis = 1000
_MAX_RETRY_AFTER: Millis = 3000

_REFUSAL_REASONS = MappingProxyType(
    {
        NotRunReason.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
        NotRunReason.DEADLINE: RefusalReason.DEADLINE,
        NotRunReason.SHED: RefusalReason.UPSTREAMS_FULL,
        NotRunReason.DRAINING: RefusalReason.NO_UPSTREAM,
        NotRunReason.KEY_REVOKED: RefusalReason.KEY_REVOKED,
    }
)


def not_run_refusal(reason: RefusalReason, rng: random.Random) -> CallRefusal:
    """Return the refusal of a call that was not run.

    The retry time is randomized, so that callers refused at the same time do
    not retry at the same time.
    """
    return CallRefusal(Outcome.NOT_RUN, reason, _retry_after(rng))


def refusal_for(result: AnswerLost | NotRun, rng: random.Random) -> CallRefusal:
    """Return the refusal for the result of a call's last attempt."""
    if isinstance(result, NotRun):
        return not_run_refusal(_REFUSAL_REASONS[result.reason], rng)
    return CallRefusal(
        Outcome.UNKNOWN, RefusalReason.ANSWER_LOST, _retry_after(rng)
    )


def _retry_after(rng: random.Random) -> Millis:
    return rng.uniform(_MIN_RETRY_AFTER, _MAX_RETRY_AFTER)
