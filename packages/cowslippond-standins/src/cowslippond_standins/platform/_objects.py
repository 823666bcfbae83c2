"""The object store: objects by bucket and key, with their history."""

import hashlib

from cowslippond_core import Clock

from cowslippond_standins._asgi import HTTP_NOT_FOUND, HTTP_OK, Answer
from cowslippond_standins._history import History
from cowslippond_standins.platform._faults import Faults

_NO_CONTENT = 204
_METHOD_NOT_ALLOWED = 405
_PRECONDITION_FAILED = 412


class ObjectApi:
    """Answers ``PUT``, ``GET`` and ``DELETE`` requests for objects."""

    def __init__(self, clock: Clock, faults: Faults) -> None:
        self.clock = clock
        self.faults = faults
        self.histories: dict[str, History[bytes | None]] = {}

    def answer(
        self, method: str, path: str, payload: bytes, if_none_match: bytes
    ) -> Answer:
        """Execute a request and return its answer.

        :param path: bucket and key, separated by a slash.
        :param if_none_match: ``*`` makes a write fail if the object exists.
        """
        self.faults.counters[method] += 1
        self.faults.throttle('reads' if method == 'GET' else 'writes')
        if method == 'GET':
            return self._get(path)
        if method == 'PUT':
            return self._put(path, payload, must_be_new=if_none_match == b'*')
        if method == 'DELETE':
            self._write(path, None)
            return Answer(_NO_CONTENT)
        return Answer(_METHOD_NOT_ALLOWED)

    def _get(self, path: str) -> Answer:
        history = self.histories.get(path)
        payload = history.read(self.faults.snapshot_time()) if history else None
        if payload is None:
            return Answer(HTTP_NOT_FOUND)
        return Answer(HTTP_OK, payload, ((b'etag', _etag(payload)),))

    def _put(self, path: str, payload: bytes, *, must_be_new: bool) -> Answer:
        history = self.histories.get(path)
        if must_be_new and history and history.newest() is not None:
            self.faults.counters['conflicts'] += 1
            return Answer(_PRECONDITION_FAILED)
        self._write(path, payload)
        return Answer(HTTP_OK, b'', ((b'etag', _etag(payload)),))

    def _write(self, path: str, payload: bytes | None) -> None:
        if path not in self.histories:
            self.histories[path] = History[bytes | None](None)
        self.histories[path].write(self.clock.now(), payload)


def _etag(payload: bytes) -> bytes:
    digest = hashlib.md5(payload, usedforsecurity=False).hexdigest()
    return f'"{digest}"'.encode()
