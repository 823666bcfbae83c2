"""The platform's VM list, which shows live and leaving VMs with a lag.

The format is that of Prometheus HTTP service discovery; see
``docs/PROTOCOLS.md``.
"""

from typing import Any

import anyio
import httpcore
import orjson
from expression import Error, Ok, Result

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core._vm import Vm, VmState

_OK_STATUS = 200
_FETCH_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


async def fetch_vms(url: str, timeout: Millis) -> Result[tuple[Vm, ...], str]:
    """Fetch the VM list.

    Entries without targets or a required label are skipped, so that one
    malformed entry does not hide the others.

    :param url: the service discovery endpoint.
    :param timeout: the time limit for the whole response, in milliseconds.
    """
    try:
        with anyio.fail_after(seconds_of(timeout)):
            response = await _request(url)
    except _FETCH_ERRORS as error:
        return Error(f'VM list cannot be fetched: {error!r}')
    if response.status != _OK_STATUS:
        return Error(f'VM list endpoint returned status {response.status}')
    return read_vms(response.content)


def read_vms(text: bytes) -> Result[tuple[Vm, ...], str]:
    """Parse a service discovery response.

    :param text: the JSON text.
    """
    try:
        groups = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return Error(f'VM list is not valid JSON: {error}')
    if not isinstance(groups, list):
        return Error('VM list is not a JSON array')
    vms: list[Vm] = []
    for group in groups:
        vms.extend(_read_group(group))
    return Ok(tuple(vms))


async def _request(url: str) -> httpcore.Response:
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        return await pool.request('GET', url)


def _read_group(group: Any) -> list[Vm]:
    try:
        return _read_targets(group['targets'], group['labels'])
    except (KeyError, TypeError, ValueError):
        return []


def _read_targets(targets: Any, labels: dict[str, str]) -> list[Vm]:
    if not isinstance(targets, list):
        raise TypeError('targets is not a list')
    return [
        Vm(
            name=labels['vm'],
            incarnation=labels['incarnation'],
            failure_domain=labels['failure_domain'],
            state=VmState(labels['state']),
            service=labels['service'],
            address=target,
            admin_address=labels.get('admin_address', ''),
        )
        for target in targets
    ]
