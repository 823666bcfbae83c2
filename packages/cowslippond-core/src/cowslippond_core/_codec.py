"""Frames between daemons, whatever their messages are encoded with."""

import math
from collections.abc import Iterable
from typing import Any, Protocol

from xxhash import xxh3_64_digest

from cowslippond_core._clock import Millis
from cowslippond_core._peer_messages import Message

#: The largest frame that is read, in bytes.
MAX_FRAME_BYTES = 1_048_576

#: The largest message that a codec may expand a frame to, in bytes.
MAX_MESSAGE_BYTES = 8 * MAX_FRAME_BYTES

#: The length that goes before a frame, in bytes.
LENGTH_BYTES = 4

_CHECKSUM_BYTES = 8
_MAX_AGE: Millis = 2_000_000_000


class WireError(Exception):
    """A peer sent a frame that is no message.

    :param detail: what is wrong with it.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class Codec(Protocol):
    """Turns messages into bytes and back; all daemons of a fleet use one."""

    def pack(self, message: Message) -> bytes:
        """Return a message as bytes."""

    def unpack(self, packed: bytes) -> Message:
        """Return the message of some bytes.

        :raises WireError: if they are none.
        """


def encode_message(codec: Codec, message: Message) -> bytes:
    """Return a message as a frame, its length included."""
    packed = codec.pack(message)
    body = xxh3_64_digest(packed) + packed
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_message(codec: Codec, body: bytes) -> Message:
    """Return the message of a frame.

    A codec may take cut or damaged bytes for a message with other numbers in
    it, and may read for seconds on them. So only bytes that match their
    checksum reach it.

    :param checked: the frame without its length.
    :raises WireError: if it is none.
    """
    packed = body[_CHECKSUM_BYTES:]
    if xxh3_64_digest(packed) != body[:_CHECKSUM_BYTES]:
        raise WireError('a frame whose checksum does not match')
    return codec.unpack(packed)


def read_text(field: Any) -> str:
    """Return a field that must be a text.

    :raises WireError: if it is none.
    """
    if isinstance(field, str):
        return field
    raise WireError(f'not a text: {field!r}')


def read_number(field: Any) -> int:
    """Return a field that must be a whole number of zero or more.

    :raises WireError: if it is none.
    """
    if isinstance(field, int) and field >= 0:
        return field
    raise WireError(f'not a number of zero or more: {field!r}')


def read_list(field: Any) -> Iterable[Any]:
    """Return a field that must be a list.

    :raises WireError: if it is none.
    """
    if isinstance(field, list):
        return field
    raise WireError(f'not a list: {field!r}')


def round_age_up(age: Millis) -> int:
    """Return an age rounded up, within what a message can hold."""
    return math.ceil(min(max(age, 0), _MAX_AGE))
