"""HTTP client and polling helpers for the integration tests."""

import pathlib
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import anyio
import httpcore
from cowslippond_standins.harness._deployment import Deployment

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
CHECKOUT = EXAMPLES / 'museum-shop' / 'checkout.jsonc'
CATALOGUE = EXAMPLES / 'museum-shop' / 'catalogue.jsonc'
DOMAINS = ('rvk-1', 'rvk-2', 'rvk-3')


class Reply(NamedTuple):
    """An answer as received; ``status`` 0 means that the connection broke."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """The outcome header, which is empty in an upstream's answer."""
        return self.headers.get('x-outcome', '')

    @property
    def reason(self) -> str:
        """The reason header, or an empty string."""
        return self.headers.get('x-reason', '')


async def call(
    address: Any,
    method: str = 'GET',
    path: str = '/checkout/',
    *,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'',
    host: str = 'shop.example',
    timeout: float = 20,
) -> Reply:
    """Send one call on a new connection."""
    request_headers = {
        'Host': host,
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    limits = dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout)
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            answer = await pool.request(
                method,
                f'http://{address}{path}',
                headers=request_headers,
                content=body,
                extensions={'timeout': limits},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return Reply(0, {}, b'')
    response_headers = {
        name.decode().lower(): text.decode() for name, text in answer.headers
    }
    return Reply(answer.status, response_headers, answer.content)


async def order(
    address: Any,
    key: str,
    *,
    body: bytes = b'one print',
    headers: Mapping[str, str] | None = None,
    timeout: float = 20,
) -> Reply:
    """Send one order with an idempotency key."""
    order_headers = {
        'idempotency-key': key,
        'x-caller': 'till-1',
        **(headers or {}),
    }
    return await call(
        address,
        'POST',
        '/checkout/orders',
        headers=order_headers,
        body=body,
        timeout=timeout,
    )


async def wait_until(
    condition: Callable[[], Awaitable[bool]], limit_seconds: float = 20
) -> None:
    """Poll until a condition is true.

    :raises TimeoutError: if it does not become true within the limit.
    """
    with anyio.fail_after(limit_seconds):
        while not await condition():
            await anyio.sleep(0.05)


async def apply(deployment: Deployment, document: Any) -> str:
    """Apply a document and return the output of the operator tool."""
    code, printed = await deployment.apply(document)
    assert code == 0, printed
    return printed


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000
