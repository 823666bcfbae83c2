"""Header dialects: how call metadata is exchanged with upstreams."""

import enum
import math
from typing import NamedTuple, Protocol

from cowslippond_core._clock import Millis
from cowslippond_core._headers import (
    ATTEMPT,
    DEADLINE,
    NOT_RUN,
    NOT_RUN_DRAINING,
    NOT_RUN_SHED,
    RELAYED,
)
from cowslippond_core._messages import HeaderList

_UNAVAILABLE_STATUS = 503
_NOT_RUN = NOT_RUN.encode()
_DEADLINE = DEADLINE.encode()
_ATTEMPT = ATTEMPT.encode()
_NOT_RUN_VALUES = frozenset((NOT_RUN_SHED.encode(), NOT_RUN_DRAINING.encode()))


class NotRunReason(enum.StrEnum):
    """Why a call certainly did not run on an upstream."""

    CONNECT_FAILED = 'connect_failed'
    DEADLINE = 'deadline'
    SHED = NOT_RUN_SHED
    DRAINING = NOT_RUN_DRAINING
    OTHER_VM = 'other_vm'
    KEY_REVOKED = 'key_revoked'


class LoadReport(NamedTuple):
    """The current load that an upstream reports.

    ``slowness`` is the factor by which work currently takes longer than usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


class AnswerMetadata(NamedTuple):
    """Metadata from the headers of an answer.

    ``request_id`` identifies the call that the answer belongs to, and ``vm``
    is the name of the VM that answered. ``not_run`` is set if the upstream
    promises that it did not run the call. ``is_genuine`` is false if a
    successful answer lacks the mark that shows it to be the upstream's own.
    ``idle_timeout`` is how long the connection may stay idle, in milliseconds.
    ``rate_limit`` is how many calls per second the upstream accepts from all
    daemons together, while it announces a limit. ``is_leaving`` is set if the
    upstream says that it stops soon. ``pause`` is how long it wants no calls from
    this daemon, and ``warm_up`` for how much longer it is cold, both in
    milliseconds; ``None`` if the answer does not say.
    """

    request_id: bytes | None = None
    vm: str | None = None
    not_run: NotRunReason | None = None
    is_genuine: bool = True
    load: LoadReport | None = None
    idle_timeout: Millis | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
    pause: Millis | None = None
    warm_up: Millis | None = None


class SendMetadata(NamedTuple):
    """Metadata that is sent to an upstream along with the caller's request.

    ``remaining`` is how long the caller will still wait, in milliseconds;
    ``attempt`` is the number of earlier sends; ``vm`` is the name of the VM
    that the call is addressed to. ``workspace`` is the name of the workspace
    whose key the caller sent, or ``None``.
    """

    remaining: Millis
    attempt: int
    vm: str
    workspace: str | None = None


def encode_remaining(name: bytes, remaining: Millis) -> HeaderList:
    """Return the header that says how long a caller still waits.

    A call without a deadline has no such header.

    :param name: the name of the header.
    :param remaining: in milliseconds.
    """
    if math.isinf(remaining):
        return ()
    return ((name, b'%d' % max(remaining, 0)),)


class Dialect(Protocol):
    """The headers that this process exchanges with its upstreams.

    ``reserved_headers`` are names in lower case that callers cannot set.
    ``workspace_headers`` are those that the upstream does not get from a caller
    that authenticated for a workspace.
    ``allows_close_delimited`` tells whether an orderly close of the connection
    may end an answer that has no length. ``echoes_request_id`` tells whether
    upstreams repeat the ID of a call in its answer. ``vouching_headers`` are those
    by which an upstream vouches for its status.
    """

    reserved_headers: frozenset[bytes]
    workspace_headers: frozenset[bytes]
    vouching_headers: frozenset[bytes]
    allows_close_delimited: bool
    echoes_request_id: bool

    def request_headers(self, metadata: SendMetadata) -> HeaderList:
        """Return the headers to add to those of the caller."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Return the metadata from the headers of an answer.

        :param headers: with names in lower case.
        """


class DefaultDialect:
    """The default dialect: deadline, attempt number and not-run promise."""

    reserved_headers = frozenset((_DEADLINE, _ATTEMPT, RELAYED.encode()))
    workspace_headers: frozenset[bytes] = frozenset()
    vouching_headers: frozenset[bytes] = frozenset()
    allows_close_delimited = False
    echoes_request_id = False

    def request_headers(self, metadata: SendMetadata) -> HeaderList:
        """Return the headers for the deadline and the attempt number."""
        return (
            *encode_remaining(_DEADLINE, metadata.remaining),
            (_ATTEMPT, b'%d' % metadata.attempt),
        )

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Return the upstream's promise not to have run the call, if any."""
        if status != _UNAVAILABLE_STATUS:
            return AnswerMetadata()
        for name, text in headers:
            if name == _NOT_RUN and text in _NOT_RUN_VALUES:
                return AnswerMetadata(not_run=NotRunReason(text.decode()))
        return AnswerMetadata()
