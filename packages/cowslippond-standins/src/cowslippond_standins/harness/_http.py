"""Small HTTP calls to control ports and admin addresses."""

from typing import Any

import anyio
import httpcore
import orjson
from cowslippond_core import Millis, seconds_of

_TIMEOUT: Millis = 5000
_HTTP_OK = 200
_UNREACHABLE = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


class ControlError(Exception):
    """A control port or an admin address didn't do what it was asked.

    :param url: what was asked.
    :param detail: what came of it.
    """

    def __init__(self, url: str, detail: str) -> None:
        super().__init__(f'{url}: {detail}')
        self.url = url
        self.detail = detail


async def get_json(url: str) -> Any:
    """Return the JSON that a URL serves."""
    return orjson.loads(await _request('GET', url, b''))


async def post_json(url: str, body: object) -> Any:
    """Send JSON to a URL and return the JSON of its answer."""
    answer = await _request('POST', url, orjson.dumps(body))
    return orjson.loads(answer)


async def is_ok(url: str) -> bool:
    """Tell whether a URL answers with status 200."""
    try:
        await _request('GET', url, b'')
    except ControlError:
        return False
    return True


async def _request(method: str, url: str, payload: bytes) -> bytes:
    try:
        with anyio.fail_after(seconds_of(_TIMEOUT)):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(method, url, content=payload)
    except _UNREACHABLE as error:
        raise ControlError(url, repr(error)) from error
    if answer.status != _HTTP_OK:
        raise ControlError(url, f'{answer.status} {answer.content!r}')
    return answer.content
