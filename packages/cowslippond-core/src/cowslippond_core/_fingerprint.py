"""Fingerprints that identify calls which would do the same work."""

import hashlib

FINGERPRINT_BODY_BYTES = 65_536
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def fingerprint_request(
    method: bytes, target: bytes, key: str, body: bytes
) -> str:
    """Return the fingerprint of a request.

    :param key: the caller's idempotency key, empty if there is none.
    :param body: the bytes read so far; only the first
        :data:`FINGERPRINT_BODY_BYTES` are included.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, target, key.encode(), body[:FINGERPRINT_BODY_BYTES]):
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
