"""Client of the platform's object store for the S3 protocol."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, Protocol
from urllib.parse import quote

import httpcore
from expression import Error, Ok, Result

from cowslippond_core._clock import Millis
from cowslippond_core._http_client import HttpClient

_OK_STATUS = 200
_CREATED_STATUS = 201
_NO_CONTENT_STATUS = 204
_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_PRECONDITION_STATUS = 412
_THROTTLED_STATUS = 429
_SUCCESS_STATUSES = frozenset((_OK_STATUS, _CREATED_STATUS, _NO_CONTENT_STATUS))
_CONFLICT_STATUSES = frozenset((_CONFLICT_STATUS, _PRECONDITION_STATUS))
_MAX_CONNECTIONS = 8
_AMBIGUOUS_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


class ObjectFault(enum.StrEnum):
    """The kind of failure of a call to the object store.

    ``UNAVAILABLE`` means that the call had no effect. ``UNKNOWN`` means that
    it may have taken effect even though no conclusive answer was received.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


class ObjectError(NamedTuple):
    """A failed call to the object store."""

    fault: ObjectFault
    detail: str


class ObjectStore(Protocol):
    """The operations on the platform's object store that this project uses."""

    async def put(self, key: str, body: bytes) -> Result[None, ObjectError]:
        """Write a new object; an existing key is a conflict."""

    async def get(self, key: str) -> Result[bytes | None, ObjectError]:
        """Return an object, or ``None`` if it is absent."""

    async def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object; deleting an absent one succeeds."""


class S3ObjectStore:
    """A bucket of the platform's object store, accessed over HTTP.

    :param url: the endpoint, such as ``http://10.0.0.1:9000``.
    :param bucket: the bucket's name.
    :param timeout: the maximum time to wait for an answer, in milliseconds.
    """

    def __init__(self, url: str, bucket: str, timeout: Millis) -> None:
        base = httpcore.URL(url).target.decode().rstrip('/')
        self.base = f'{base}/{quote(bucket)}'
        self.client = HttpClient(url, _MAX_CONNECTIONS, timeout)

    async def put(self, key: str, body: bytes) -> Result[None, ObjectError]:
        """Write a new object; an existing key is a conflict."""
        answer = await self._call('PUT', key, {'If-None-Match': '*'}, body)
        return answer.bind(_check_written)

    async def get(self, key: str) -> Result[bytes | None, ObjectError]:
        """Return an object, or ``None`` if it is absent."""
        answer = await self._call('GET', key, {}, None)
        return answer.bind(_read_object)

    async def delete(self, key: str) -> Result[None, ObjectError]:
        """Delete an object; deleting an absent one succeeds."""
        answer = await self._call('DELETE', key, {}, None)
        return answer.bind(_check_deleted)

    async def close(self) -> None:
        """Close the connections to the object store."""
        await self.client.aclose()

    async def _call(
        self,
        method: str,
        key: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> Result[httpcore.Response, ObjectError]:
        try:
            response = await self.client.request(
                method, f'{self.base}/{quote(key)}', headers, body
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
        ) as connect_error:
            return Error(
                ObjectError(ObjectFault.UNAVAILABLE, repr(connect_error))
            )
        except _AMBIGUOUS_ERRORS as ambiguous_error:
            return Error(
                ObjectError(ObjectFault.UNKNOWN, repr(ambiguous_error))
            )
        return Ok(response)


def _check_written(response: httpcore.Response) -> Result[None, ObjectError]:
    if response.status in _SUCCESS_STATUSES:
        return Ok(None)
    return Error(_to_object_error(response))


def _check_deleted(response: httpcore.Response) -> Result[None, ObjectError]:
    if response.status == _NOT_FOUND_STATUS:
        return Ok(None)
    return _check_written(response)


def _read_object(
    response: httpcore.Response,
) -> Result[bytes | None, ObjectError]:
    if response.status == _NOT_FOUND_STATUS:
        return Ok(None)
    if response.status == _OK_STATUS:
        return Ok(response.content)
    return Error(_to_object_error(response))


def _to_object_error(response: httpcore.Response) -> ObjectError:
    detail = f'status {response.status}'
    if response.status in _CONFLICT_STATUSES:
        return ObjectError(ObjectFault.CONFLICT, detail)
    if response.status == _THROTTLED_STATUS:
        return ObjectError(ObjectFault.UNAVAILABLE, detail)
    return ObjectError(ObjectFault.UNKNOWN, detail)
