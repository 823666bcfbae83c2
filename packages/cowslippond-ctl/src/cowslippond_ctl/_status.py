"""The ``status`` command: which versions each daemon has in force."""

from collections.abc import Sequence
from typing import NamedTuple

from cowslippond_core import (
    Clock,
    Millis,
    Table,
    Vm,
    fetch_vms,
    read_documents,
)
from expression import Error, Ok, Result
from rich.console import RenderableType

from cowslippond_ctl._daemons import ObservedDaemon, daemon_vms, fetch_statuses
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._in_force import (
    Coverage,
    Deployment,
    Lag,
    compare_versions,
)
from cowslippond_ctl._outcome import (
    CommandOutcome,
    Record,
    describe_error,
    fail,
)
from cowslippond_ctl._times import format_age
from cowslippond_ctl._views import grid

_POLL_INTERVAL_MS: Millis = 200


class StatusSnapshot(NamedTuple):
    """The state of the table and the daemons at one time.

    ``table_fault`` is the reason why the table could not be read, or empty.
    """

    deployment: Deployment
    table_fault: str


class StatusReader:
    """Reads the status once, or polls until everything is in force.

    :param vm_list_url: URL of the platform's VM list.
    :param timeout: maximum wait for the VM list and for the status of each
        daemon, in milliseconds.
    """

    def __init__(
        self, table: Table, vm_list_url: str, timeout: Millis, clock: Clock
    ) -> None:
        self.table = table
        self.vm_list_url = vm_list_url
        self.timeout = timeout
        self.clock = clock

    async def read(self, wait: Millis) -> CommandOutcome:
        """Return the status once everything is in force, or after ``wait``.

        :param wait: maximum time to poll, in milliseconds; 0 reads the status
            once.
        """
        wait_until = self.clock.now() + wait
        while True:
            snapshot = await self._take_snapshot()
            if self.clock.now() >= wait_until or _is_complete(snapshot):
                return self._outcome_of(snapshot)
            await self.clock.sleep(_POLL_INTERVAL_MS)

    async def _take_snapshot(self) -> Result[StatusSnapshot, str]:
        vms = await self._fetch_vms()
        if vms.is_error():
            return Error(vms.error)
        # The documents are read before the daemons, so that a change accepted
        # in between cannot make an up-to-date daemon appear to lag.
        documents = await read_documents(self.table)
        daemons = await fetch_statuses(vms.ok, self.timeout)
        if documents.is_error():
            return Ok(
                StatusSnapshot(
                    compare_versions((), daemons),
                    describe_error(documents.error),
                )
            )
        return Ok(StatusSnapshot(compare_versions(documents.ok, daemons), ''))

    async def _fetch_vms(self) -> Result[Sequence[Vm], str]:
        fetched = await fetch_vms(self.vm_list_url, self.timeout)
        if fetched.is_error():
            return Error(fetched.error)
        return Ok(daemon_vms(fetched.ok))

    def _outcome_of(
        self, latest: Result[StatusSnapshot, str]
    ) -> CommandOutcome:
        if latest.is_error():
            message = f'the daemons are not known: {latest.error}'
            return fail(ExitCode.UNAVAILABLE, 'unavailable', message)
        snapshot = latest.ok
        views = _views_of(snapshot, self.clock.wall())
        record = _snapshot_record(snapshot)
        if snapshot.table_fault:
            return CommandOutcome(ExitCode.UNAVAILABLE, record, views)
        if snapshot.deployment.is_in_force():
            return CommandOutcome(ExitCode.DONE, record, views)
        return CommandOutcome(ExitCode.NOT_IN_FORCE, record, views)


def _is_complete(snapshot: Result[StatusSnapshot, str]) -> bool:
    if snapshot.is_error():
        return False
    return not snapshot.ok.table_fault and snapshot.ok.deployment.is_in_force()


def _snapshot_record(snapshot: StatusSnapshot) -> Record:
    deployment = snapshot.deployment
    return {
        'in_force_everywhere': deployment.is_in_force(),
        'table_fault': snapshot.table_fault,
        'services': [
            deployment.coverage_of(service)._asdict()
            for service in deployment.newest
        ],
        'daemons': [
            _daemon_record(deployment, daemon) for daemon in deployment.daemons
        ],
    }


def _daemon_record(deployment: Deployment, daemon: ObservedDaemon) -> Record:
    status = daemon.status
    return {
        'vm': daemon.vm,
        'failure_domain': daemon.failure_domain,
        'admin_address': daemon.admin_address,
        'leaving': daemon.is_leaving,
        'fault': daemon.fault,
        'status': status._asdict() if status else None,
        'lags': [lag._asdict() for lag in deployment.lags_of(daemon)],
    }


def _views_of(snapshot: StatusSnapshot, wall_ms: int) -> list[RenderableType]:
    deployment = snapshot.deployment
    coverages = [
        deployment.coverage_of(service) for service in deployment.newest
    ]
    services = grid(
        ('service', 'newest', 'accepted', 'in force', 'lagging'),
        (_service_cells(coverage, wall_ms) for coverage in coverages),
    )
    daemons = grid(
        ('vm', 'failure domain', 'state', 'ready', 'revision', 'lags'),
        (
            _daemon_cells(deployment, each, wall_ms)
            for each in deployment.daemons
        ),
    )
    views: list[RenderableType] = [services, '', daemons, '']
    if snapshot.table_fault:
        views.append(
            'the platform table cannot be read, so newer versions may exist: '
            f'{snapshot.table_fault}'
        )
    views.append(_summary_of(deployment))
    return views


def _summary_of(deployment: Deployment) -> str:
    if not deployment.daemons:
        return "the platform's VM list contains no daemon"
    if not deployment.newest:
        return 'no document has been accepted yet'
    if deployment.is_in_force():
        return 'the versions above are in force everywhere'
    return 'not in force everywhere'


def _service_cells(coverage: Coverage, wall_ms: int) -> tuple[str, ...]:
    age = 'not known'
    if coverage.accepted_at_ms is not None:
        age = f'{format_age(wall_ms - coverage.accepted_at_ms)} ago'
    total = coverage.in_force_count + len(coverage.lagging)
    return (
        coverage.service,
        str(coverage.newest),
        age,
        f'{coverage.in_force_count} of {total}',
        ', '.join(coverage.lagging) or '-',
    )


def _lag_text(lag: Lag, accepted_at: int | None, wall_ms: int) -> str:
    text = f'{lag.service} has {lag.in_force}, newest {lag.newest}'
    if accepted_at is None:
        return text
    return f'{text} for {format_age(wall_ms - accepted_at)}'


def _daemon_cells(
    deployment: Deployment, daemon: ObservedDaemon, wall_ms: int
) -> list[str]:
    status = daemon.status
    if status is None:
        return [daemon.vm, daemon.failure_domain, daemon.fault, '-', '-', '-']
    lags = ', '.join(
        _lag_text(lag, deployment.accepted_at.get(lag.service), wall_ms)
        for lag in deployment.lags_of(daemon)
    )
    return [
        daemon.vm,
        daemon.failure_domain,
        status.state,
        'yes' if status.is_ready else 'no',
        str(status.revision),
        lags or '-',
    ]
