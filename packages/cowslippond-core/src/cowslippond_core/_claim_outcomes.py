"""What a claim of a call can lead to."""

from typing import NamedTuple, TypeAlias

from cowslippond_core._claim import Claim, RecordedAnswer
from cowslippond_core._clock import Millis


class ClaimGranted(NamedTuple):
    """The call may be sent, by the holder of this claim alone."""

    claim: Claim


class AnswerRecorded(NamedTuple):
    """The call ran before; this is its answer."""

    answer: RecordedAnswer


class AnswerNotKept(NamedTuple):
    """The call ran and was answered; the answer cannot be given again.

    ``retry_after_ms`` tells when to ask again, in milliseconds; it is short
    if the object store could not be read now.
    """

    status: int
    retry_after_ms: Millis


class ClaimInProgress(NamedTuple):
    """Another claim of the call is unfinished and may still run."""

    retry_after_ms: Millis


class ClaimLost(NamedTuple):
    """A claim is unfinished past its deadline: the outcome is unknown."""

    retry_after_ms: Millis


class KeyReused(NamedTuple):
    """The key was used before, for another request."""


class ClaimUnavailable(NamedTuple):
    """The table did not grant the claim; this request is not run.

    ``is_doubtful`` tells that a lost write of the claim may yet take effect.
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
