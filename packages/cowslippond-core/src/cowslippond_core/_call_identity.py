"""Identification of calls that are the same order or the same request."""

import hashlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from cowslippond_core._messages import CallRequest
from cowslippond_core._table import ItemKey

_DIGEST_BYTES = 32
_LENGTH_BYTES = 8
_SORT_KEY = 'claim'


class CallIdentity(NamedTuple):
    """The key of an order and its scope; equal for calls of one order."""

    service: str
    caller: str
    key: str


def claim_key(identity: CallIdentity) -> ItemKey:
    """Return the primary key of the row that claims a call."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in identity:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES))
        digest.update(encoded)
    return ItemKey(f'claim#{digest.hexdigest()}', _SORT_KEY)


def digest_body(body: bytes) -> str:
    """Return the digest that detects corruption of a stored body."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def digest_request(request: CallRequest) -> str:
    """Return the digest that detects reuse of a key for another request.

    It covers the method, the target and the bytes of the body read so far;
    :class:`RestDigest` covers the remaining bytes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    end_marker = b'whole' if request.rest is None else b'open'
    for part in (request.method, request.target, request.body, end_marker):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()


class RestDigest:
    """Digest of the rest of a body, computed while it is streamed.

    :param rest: the chunks of the body that have not been read yet.
    """

    def __init__(self, rest: AsyncIterator[bytes]) -> None:
        self.rest = rest
        self.digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self.is_complete = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body and add them to the digest."""
        async for chunk in self.rest:
            self.digest.update(chunk)
            yield chunk
        self.is_complete = True

    async def consume(self) -> None:
        """Add the chunks of the body to the digest and discard them."""
        async for chunk in self.rest:
            self.digest.update(chunk)
        self.is_complete = True

    def hex_digest(self) -> str:
        """Return the digest, or an empty string for an incomplete body."""
        return self.digest.hexdigest() if self.is_complete else ''
