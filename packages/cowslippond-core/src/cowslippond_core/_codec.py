"""Frames between daemons, independent of the encoding of their messages."""

import math
from collections.abc import Iterable
from typing import Any, Protocol

from xxhash import xxh3_64_digest

from cowslippond_core._clock import Millis
from cowslippond_core._peer_messages import Message

#: Maximum size of a received frame.
MAX_FRAME_BYTES = 1_048_576

#: Maximum size of a message after decompression.
MAX_MESSAGE_BYTES = 8 * MAX_FRAME_BYTES

#: Size of the length prefix of a frame.
LENGTH_BYTES = 4

_CHECKSUM_BYTES = 8
_MAX_AGE: Millis = 2_000_000_000


class WireError(Exception):
    """Something that a peer sent is invalid.

    :param detail: what is wrong with it.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class Codec(Protocol):
    """Encodes and decodes messages; all daemons of a fleet use the same."""

    def pack(self, message: Message) -> bytes:
        """Encode a message."""

    def unpack(self, packed: bytes) -> Message:
        """Decode a message.

        :raises WireError: if the bytes are not a valid message.
        """


def encode_message(codec: Codec, message: Message) -> bytes:
    """Encode a message as a frame, including the length prefix."""
    packed = codec.pack(message)
    body = xxh3_64_digest(packed) + packed
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_message(codec: Codec, body: bytes) -> Message:
    """Decode the message in a frame.

    A codec may decode truncated or corrupt bytes to a message with wrong
    numbers, and may take seconds to do so. Therefore only bytes that match
    their checksum are passed to it.

    :param body: the frame without its length prefix.
    :raises WireError: if the frame is invalid.
    """
    packed = body[_CHECKSUM_BYTES:]
    if xxh3_64_digest(packed) != body[:_CHECKSUM_BYTES]:
        raise WireError('frame checksum does not match')
    return codec.unpack(packed)


def read_text(field: Any) -> str:
    """Return a field after checking that it is a string.

    :raises WireError: if it is not.
    """
    if isinstance(field, str):
        return field
    raise WireError(f'expected a string, got {field!r}')


def read_number(field: Any) -> int:
    """Return a field after checking that it is a non-negative integer.

    :raises WireError: if it is not.
    """
    if isinstance(field, int) and field >= 0:
        return field
    raise WireError(f'expected a non-negative integer, got {field!r}')


def read_list(field: Any) -> Iterable[Any]:
    """Return a field after checking that it is a list.

    :raises WireError: if it is not.
    """
    if isinstance(field, list):
        return field
    raise WireError(f'expected a list, got {field!r}')


def round_age_up(age: Millis) -> int:
    """Round an age up and clamp it to the range that a message can hold."""
    return math.ceil(min(max(age, 0), _MAX_AGE))
