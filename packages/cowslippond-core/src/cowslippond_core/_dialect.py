"""What the sending path needs to know of the headers that upstreams speak."""

import enum
from typing import NamedTuple, Protocol

from cowslippond_core._clock import Millis
from cowslippond_core._headers import (
    ATTEMPT,
    DEADLINE,
    NOT_RUN,
    NOT_RUN_DRAINING,
    NOT_RUN_SHED,
)
from cowslippond_core._messages import HeaderList

_UNAVAILABLE_STATUS = 503
_NOT_RUN = NOT_RUN.encode()
_DEADLINE = DEADLINE.encode()
_ATTEMPT = ATTEMPT.encode()
_NOT_RUN_VALUES = frozenset((NOT_RUN_SHED.encode(), NOT_RUN_DRAINING.encode()))


class NotRunReason(enum.StrEnum):
    """Why it is certain that an upstream did not run a call."""

    CONNECT_FAILED = 'connect_failed'
    DEADLINE = 'deadline'
    SHED = NOT_RUN_SHED
    DRAINING = NOT_RUN_DRAINING
    OTHER_VM = 'other_vm'


class LoadReport(NamedTuple):
    """What an upstream says about its load at this moment.

    ``slowness`` is how many times as long as usual work takes now.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


class AnswerMetadata(NamedTuple):
    """What the headers of an answer say beside its status.

    ``request_id`` is that of the call which the answer says it belongs to.
    ``vm`` is the name of the VM that answered. ``not_run`` is set if the upstream promises that it did not run the call.
    ``is_genuine`` tells whether a success is marked as the upstream's own.
    ``expiry`` is how long the connection may stay idle, in milliseconds.
    """

    request_id: bytes | None = None
    vm: str | None = None
    not_run: NotRunReason | None = None
    is_genuine: bool = True
    load: LoadReport | None = None
    idle_timeout: Millis | None = None


class SendMetadata(NamedTuple):
    """What a send tells an upstream beside the caller's request.

    ``remaining`` is how long the caller still waits, in milliseconds;
    ``attempt`` counts earlier sends; ``vm`` is the VM that is meant.
    """

    remaining: Millis
    attempt: int
    vm: str


class Dialect(Protocol):
    """The headers that this process and its upstreams exchange.

    ``own_headers`` are names in lower case that callers cannot set.
    ``may_end_with_close`` tells whether a connection that an upstream closes in
    order may end an answer without a length.
    """

    reserved_headers: frozenset[bytes]
    allows_close_delimited: bool

    def request_headers(self, facts: SendMetadata) -> HeaderList:
        """Return the headers that a send adds to the caller's."""

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Return what the headers of an answer say; names in lower case."""


class DefaultDialect:
    """The headers of the project's own interface."""

    reserved_headers = frozenset((_DEADLINE, _ATTEMPT))
    allows_close_delimited = False

    def request_headers(self, facts: SendMetadata) -> HeaderList:
        """Return the deadline and the number of the attempt."""
        return (
            (_DEADLINE, b'%d' % max(facts.remaining, 0)),
            (_ATTEMPT, b'%d' % facts.attempt),
        )

    def read_answer(self, status: int, headers: HeaderList) -> AnswerMetadata:
        """Return whether the upstream promises that it did not run the call."""
        if status != _UNAVAILABLE_STATUS:
            return AnswerMetadata()
        for name, text in headers:
            if name == _NOT_RUN and text in _NOT_RUN_VALUES:
                return AnswerMetadata(not_run=NotRunReason(text.decode()))
        return AnswerMetadata()
