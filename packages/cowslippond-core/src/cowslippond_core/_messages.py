"""Messages of the sending path: calls, answers and refusals."""

import enum
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol, TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.workspaces import CallAccess

HeaderList: TypeAlias = tuple[tuple[bytes, bytes], ...]


class AnswerChunks(Protocol):
    """The body of an answer; closing it cancels the call if it still runs."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator over the body, which can be read once."""

    async def __anext__(self) -> bytes:
        """Return the next bytes of the body."""

    async def aclose(self) -> None:
        """Discard the rest of the body."""


class Outcome(enum.StrEnum):
    """What is known about a call without an answer from an upstream.

    The values are those of the ``x-outcome`` header.
    """

    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class CallRequest(NamedTuple):
    """A call of a caller, ready to be sent.

    ``body`` holds the bytes read so far; ``rest`` yields the remainder of a
    body that is too large to buffer. A call with a ``rest`` can be sent only
    once. ``deadline`` is a clock time in milliseconds. ``attempt`` is the
    number of earlier sends of this call at outer levels of the call chain.
    ``fingerprint`` is equal for calls that would do the same work. ``workspace``
    is the name of the workspace whose key the caller sent, and ``access`` tells
    whether that key is still valid; both are ``None`` if the call needs no key.
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
    workspace: str | None = None
    access: CallAccess | None = None

    def is_revoked(self) -> bool:
        """Tell whether the caller's key was revoked after the call arrived."""
        return self.access is not None and self.access.is_revoked()


async def close_parts(rest: AsyncIterator[bytes]) -> None:
    """Discard the rest of a body, if its iterator can be closed."""
    aclose = getattr(rest, 'aclose', None)
    if aclose is not None:
        await aclose()


class CallAnswer(NamedTuple):
    """An answer of an upstream.

    ``chunks`` yields the body once. It raises :exc:`TruncatedAnswerError` if
    the upstream does not complete the body. Closing it (``aclose``) cancels
    the call if it still runs.
    """

    status: int
    headers: HeaderList
    chunks: AnswerChunks


class CallRefusal(NamedTuple):
    """A final answer from the load balancer itself.

    ``retry_after_ms`` is the time after which the caller may retry.
    """

    outcome: Outcome
    reason: RefusalReason
    retry_after_ms: Millis


class TruncatedAnswerError(Exception):
    """An upstream did not complete the body of its answer.

    :param upstream: the address of the upstream.
    :param reason: why the rest of the answer is missing.
    """

    def __init__(self, upstream: str, reason: str = 'closed') -> None:
        super().__init__(
            f'answer from upstream {upstream} was truncated: {reason}'
        )
        self.upstream = upstream
        self.reason = reason
