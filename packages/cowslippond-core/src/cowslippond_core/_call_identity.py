"""What tells whether two calls are the same order, and the same request."""

import hashlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from cowslippond_core._messages import CallRequest
from cowslippond_core._table import ItemKey

_DIGEST_BYTES = 32
_LENGTH_BYTES = 8
_SORT_KEY = 'claim'


class CallIdentity(NamedTuple):
    """What makes two calls the same order: the key within its scope."""

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
    """Return the digest that guards a kept body."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def digest_request(request: CallRequest) -> str:
    """Return the digest by which a key used for another call is found.

    It covers the method, the target and the bytes of the body that were read;
    :class:`RestDigest` covers those that were not.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    end_marker = b'whole' if request.rest is None else b'open'
    for part in (request.method, request.target, request.body, end_marker):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()


class RestDigest:
    """The digest of the rest of a body, taken while it passes.

    :param rest: the parts of the body that were not read yet.
    """

    def __init__(self, rest: AsyncIterator[bytes]) -> None:
        self.rest = rest
        self.digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self.is_complete = False

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""
        async for chunk in self.rest:
            self.digest.update(chunk)
            yield chunk
        self.is_complete = True

    async def consume(self) -> None:
        """Read the parts of the body without keeping them."""
        async for chunk in self.rest:
            self.digest.update(chunk)
        self.is_complete = True

    def hex_digest(self) -> str:
        """Return the digest, empty if the body was not passed on whole."""
        return self.digest.hexdigest() if self.is_complete else ''
