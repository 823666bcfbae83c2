"""The platform's lagging list of live and leaving VMs.

The format is that of Prometheus HTTP service discovery; see
``docs/PROTOCOLS.md``.
"""

import enum
from typing import Any, NamedTuple

import anyio
import httpcore
import orjson
from expression import Error, Ok, Result

from cowslippond_core._clock import Millis, seconds_of

_OK_STATUS = 200
_LOST_ANSWER = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)

#: The ``service`` label of an entry VM, on which a daemon of this project runs.
ENTRY_SERVICE = 'cowslippond'


class VmState(enum.StrEnum):
    """Whether a VM stays or is about to stop."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(NamedTuple):
    """One VM of the platform's list.

    ``incarnation`` changes whenever a VM with the same name or address is a
    new VM. ``address`` is the ``host:port`` that takes calls; for an entry VM
    it is the address for peers, and ``admin_address`` is set.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: VmState
    service: str
    address: str
    admin_address: str


async def fetch_vms(url: str, timeout: Millis) -> Result[tuple[Vm, ...], str]:
    """Fetch the list of VMs.

    Entries that lack a label or a target are left out, so that one bad entry
    doesn't hide the others.

    :param url: the service discovery endpoint.
    :param timeout: the longest wait for the whole answer, in milliseconds.
    """
    try:
        with anyio.fail_after(seconds_of(timeout)):
            response = await _request(url)
    except _LOST_ANSWER as lost:
        return Error(f'the VM list cannot be fetched: {lost!r}')
    if response.status != _OK_STATUS:
        return Error(f'the VM list answered with status {response.status}')
    return read_vms(response.content)


def read_vms(text: bytes) -> Result[tuple[Vm, ...], str]:
    """Read a service discovery answer.

    :param text: the JSON text.
    """
    try:
        groups = orjson.loads(text)
    except orjson.JSONDecodeError as broken:
        return Error(f'the VM list is no JSON: {broken}')
    if not isinstance(groups, list):
        return Error('the VM list is no JSON list')
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
        raise TypeError('targets are no list')
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
