"""Fetch the status of daemons, with the versions that they have in force."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import anyio
import httpcore
import orjson
from cowslippond_core import (
    ENTRY_SERVICE,
    Millis,
    Vm,
    VmState,
    seconds_of,
)
from expression import Error, Ok, Result

_OK_STATUS = 200
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
_PARSE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)


class DaemonStatus(NamedTuple):
    """The status that a daemon reports about itself.

    ``versions`` maps each service name to the version in force.
    """

    vm: str
    state: str
    is_ready: bool
    revision: int
    versions: Mapping[str, int]


class ObservedDaemon(NamedTuple):
    """A daemon in the platform's VM list, with the status fetched from it.

    If the status could not be fetched, ``status`` is ``None`` and ``fault``
    gives the reason. ``is_leaving`` comes from the VM list, not from the
    daemon.
    """

    vm: str
    failure_domain: str
    admin_address: str
    is_leaving: bool
    status: DaemonStatus | None
    fault: str


def daemon_vms(vms: Sequence[Vm]) -> list[Vm]:
    """Return the VMs that run a daemon, sorted by name."""
    return sorted(
        (vm for vm in vms if vm.service == ENTRY_SERVICE and vm.admin_address),
        key=_name_of,
    )


async def fetch_statuses(
    vms: Sequence[Vm], timeout: Millis
) -> tuple[ObservedDaemon, ...]:
    """Fetch the status of all daemons concurrently.

    :param timeout: limit for each daemon, in milliseconds.
    """
    observed: dict[int, ObservedDaemon] = {}
    # A daemon that does not answer occupies its connection until the timeout,
    # so the pool has one connection per daemon.
    async with httpcore.AsyncConnectionPool(
        max_connections=len(vms) or 1
    ) as pool:
        async with anyio.create_task_group() as tasks:
            for index, vm in enumerate(vms):
                tasks.start_soon(
                    _observe_into, observed, index, pool, vm, timeout
                )
    return tuple(daemon for _, daemon in sorted(observed.items()))


async def _observe_into(
    observed: dict[int, ObservedDaemon],
    index: int,
    pool: httpcore.AsyncConnectionPool,
    vm: Vm,
    timeout: Millis,
) -> None:
    record = await fetch_record(pool, vm.admin_address, timeout)
    fetched = record.bind(_parse_status)
    observed[index] = ObservedDaemon(
        vm=vm.name,
        failure_domain=vm.failure_domain,
        admin_address=vm.admin_address,
        is_leaving=vm.state is VmState.LEAVING,
        status=fetched.ok if fetched.is_ok() else None,
        fault=fetched.error if fetched.is_error() else '',
    )


async def fetch_record(
    pool: httpcore.AsyncConnectionPool, address: str, timeout: Millis
) -> Result[Any, str]:
    """Return the status that a daemon reports, as decoded JSON.

    :param address: the admin address of the daemon.
    :param timeout: maximum wait, in milliseconds.
    """
    try:
        with anyio.fail_after(seconds_of(timeout)):
            response = await pool.request('GET', f'http://{address}/status')
    except _HTTP_ERRORS as error:
        return Error(f'no answer ({type(error).__name__})')
    if response.status != _OK_STATUS:
        return Error(f'answered with status {response.status}')
    try:
        return Ok(orjson.loads(response.content))
    except ValueError:
        return Error('answered with an unknown form of status')


def _parse_status(record: Any) -> Result[DaemonStatus, str]:
    try:
        return Ok(_status_of(record))
    except _PARSE_ERRORS:
        return Error('answered with an unknown form of status')


def _status_of(record: Mapping[str, Any]) -> DaemonStatus:
    return DaemonStatus(
        vm=str(record['vm']),
        state=str(record['state']),
        is_ready=bool(record['ready']),
        revision=int(record['revision']),
        versions={
            str(service): int(version)
            for service, version in record['versions'].items()
        },
    )


def _name_of(vm: Vm) -> str:
    return vm.name
