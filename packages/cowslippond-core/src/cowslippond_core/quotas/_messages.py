"""The datagrams about quotas between daemons, as JSON arrays."""

from functools import singledispatch
from typing import Any, NamedTuple, TypeAlias

import orjson

from cowslippond_core._clock import Millis
from cowslippond_core._codec import WireError, read_number, read_text

# The most tokens that one datagram may ask for or return.
_MAX_COUNT = 64
_MAX_BYTES = 512

#: The longest time, in milliseconds, for which a daemon is told not to ask again.
MAX_WAIT = 1000

_REQUEST = 'q'
_ANSWER = 'a'
_RETURN = 'r'


class QuotaRequest(NamedTuple):
    """A request for tokens.

    ``ahead`` tokens are granted only while the owner has plenty.
    """

    number: int
    workspace: str
    ahead: int


class QuotaAnswer(NamedTuple):
    """The answer to the request with the same number.

    ``wait`` is when to ask again, in milliseconds, if no token was granted.
    ``epoch`` identifies the run of the owner's process; it is 0 if the sender
    does not own a share of the workspace.
    """

    number: int
    granted: int
    wait: int
    epoch: int


class QuotaReturn(NamedTuple):
    """Tokens that were granted in an epoch and not used."""

    workspace: str
    tokens: int
    epoch: int


QuotaMessage: TypeAlias = QuotaRequest | QuotaAnswer | QuotaReturn


@singledispatch
def encode_quota_message(message: QuotaMessage) -> bytes:
    """Encode a message as a datagram."""
    raise TypeError(message)


@encode_quota_message.register
def _encode_request(message: QuotaRequest) -> bytes:
    return orjson.dumps((_REQUEST, *message))


@encode_quota_message.register
def _encode_answer(message: QuotaAnswer) -> bytes:
    return orjson.dumps((_ANSWER, *message))


@encode_quota_message.register
def _encode_return(message: QuotaReturn) -> bytes:
    return orjson.dumps((_RETURN, *message))


def decode_quota_message(packed: bytes) -> QuotaMessage:
    """Decode a datagram; fields that a later release appends are ignored.

    :raises WireError: if it is not a valid message.
    """
    if len(packed) > _MAX_BYTES:
        raise WireError(f'quota message too long: {len(packed)} bytes')
    try:
        kind, first, second, third, *further = orjson.loads(packed)
    except (ValueError, TypeError) as error:
        raise WireError(f'unreadable quota message: {error!r}') from error
    if kind == _REQUEST:
        return QuotaRequest(
            read_number(first), read_text(second), _read_count(third)
        )
    if kind == _RETURN:
        return QuotaReturn(
            read_text(first), _read_count(second), read_number(third)
        )
    if kind == _ANSWER and further:
        return QuotaAnswer(
            read_number(first),
            _read_count(second),
            min(read_number(third), MAX_WAIT),
            read_number(further[0]),
        )
    raise WireError(f'unknown quota message: {kind!r}')


def round_wait(wait: Millis) -> int:
    """Limit a wait and round it to the whole milliseconds of a message."""
    return round(min(wait, MAX_WAIT))


def _read_count(field: Any) -> int:
    return min(read_number(field), _MAX_COUNT)
