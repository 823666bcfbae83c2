"""Calls and their answers as they pass from the caller to an upstream."""

import enum
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RefusalReason

HeaderList: TypeAlias = tuple[tuple[bytes, bytes], ...]


class AnswerChunks(Protocol):
    """The body of an answer; closing it cancels what still runs."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator over the body, which can be read once."""

    async def __anext__(self) -> bytes:
        """Return the next bytes of the body."""

    async def aclose(self) -> None:
        """Give up the rest of the body."""


class Outcome(enum.StrEnum):
    """What is certain about a call that has no answer of an upstream.

    The values are those of the ``x-outcome`` header.
    """

    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class CallRequest(NamedTuple):
    """A call of a caller, ready to be sent.

    ``body`` holds the bytes read so far; ``rest`` yields the remainder of a
    body that is too large to keep, and such a call can be sent only once.
    ``deadline`` is on the clock, in milliseconds. ``attempt`` counts earlier
    sends of this call at outer levels of the call chain. ``fingerprint``
    identifies calls that would do the same work.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    rest: AsyncIterator[bytes] | None
    is_idempotent: bool
    deadline: Millis
    attempt: int
    fingerprint: str


class CallAnswer(NamedTuple):
    """An answer of an upstream; ``chunks`` yields its body once.

    ``chunks`` raises :exc:`TruncatedAnswerError` if the upstream breaks off,
    and closing it (``aclose``) cancels what still runs.
    """

    status: int
    headers: HeaderList
    chunks: AnswerChunks


class CallRefusal(NamedTuple):
    """The final answer of the load balancer itself.

    ``retry_after_ms`` tells the caller when to come back, in milliseconds.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after_ms: Millis


class TruncatedAnswerError(Exception):
    """An upstream broke off in the middle of an answer.

    :param upstream: the address of the upstream.
    """

    def __init__(self, upstream: str) -> None:
        super().__init__(f'answer of upstream {upstream} broke off')
        self.upstream = upstream
