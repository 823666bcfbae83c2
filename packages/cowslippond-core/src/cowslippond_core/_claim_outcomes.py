"""Possible outcomes of claiming a call."""

from typing import NamedTuple, TypeAlias

from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._clock import Millis


class ClaimGranted(NamedTuple):
    """The call may be sent, but only by the holder of this claim."""

    claim: Claim


class AnswerRecorded(NamedTuple):
    """The call has already run; its recorded answer is returned."""

    answer: RecordedAnswer


class AnswerNotKept(NamedTuple):
    """The call ran and was answered, but the answer cannot be replayed.

    ``retry_after_ms`` is the delay before the next retry. It is short if the
    object store could not be read, since the answer may be available later.
    """

    status: int
    retry_after_ms: Millis


class ClaimInProgress(NamedTuple):
    """Another claim of the call is unfinished and may still run."""

    retry_after_ms: Millis


class ClaimLost(NamedTuple):
    """A claim was not settled by its deadline; the outcome is unknown."""

    retry_after_ms: Millis


class KeyReused(NamedTuple):
    """The key was already used for a different request."""


class ClaimUnavailable(NamedTuple):
    """The table did not grant the claim, so this request is not run.

    ``is_write_uncertain`` is set if a write of the claim was not confirmed
    and may still take effect.
    """

    retry_after_ms: Millis
    is_write_uncertain: bool


ClaimOutcome: TypeAlias = (
    ClaimGranted
    | AnswerRecorded
    | AnswerNotKept
    | ClaimInProgress
    | ClaimLost
    | KeyReused
    | ClaimUnavailable
)
