"""HTTP client for control ports and admin addresses."""

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
    """Raised when a request to a control port or an admin address fails.

    :param url: URL of the request.
    :param detail: status and body of the answer, or the connection error.
    """

    def __init__(self, url: str, detail: str) -> None:
        super().__init__(f'{url}: {detail}')
        self.url = url
        self.detail = detail


async def get_json(url: str) -> Any:
    """Get a URL and return the decoded JSON body."""
    return orjson.loads(await _request('GET', url, b''))


async def post_json(url: str, body: object) -> Any:
    """Post JSON to a URL and return the decoded JSON answer."""
    answer = await _request('POST', url, orjson.dumps(body))
    return orjson.loads(answer)


async def is_ok(url: str) -> bool:
    """Return whether a GET request succeeds with status 200."""
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
