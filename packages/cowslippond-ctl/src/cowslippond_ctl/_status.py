"""The command ``status``: which version each daemon has in force."""

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

from cowslippond_ctl._daemons import DaemonView, ask_daemons, entry_vms
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._in_force import Coverage, Deployment, Lag, compare
from cowslippond_ctl._outcome import Outcome, Record, describe_error, fail
from cowslippond_ctl._times import show_age
from cowslippond_ctl._views import grid

_POLL_MS: Millis = 200


class Survey(NamedTuple):
    """One look at the table and the daemons.

    ``table_fault`` says why the table could not be read, if it could not.
    """

    deployment: Deployment
    table_fault: str


class StatusReader:
    """Looks at the deployment, once or until everything is in force.

    :param vm_list_url: where the list of VMs is read.
    :param timeout: the longest wait for one answer, in milliseconds.
    """

    def __init__(
        self, table: Table, vm_list_url: str, timeout: Millis, clock: Clock
    ) -> None:
        self.table = table
        self.vm_list_url = vm_list_url
        self.timeout = timeout
        self.clock = clock

    async def read(self, wait: Millis) -> Outcome:
        """Return the status, as soon as all is in force or the wait is over.

        :param wait: the longest wait, in milliseconds; 0 looks once.
        """
        give_up_at = self.clock.now() + wait
        while True:
            survey = await self._survey()
            if self.clock.now() >= give_up_at or _is_done(survey):
                return self._outcome_of(survey)
            await self.clock.sleep(_POLL_MS)

    async def _survey(self) -> Result[Survey, str]:
        vms = await self._fetch_vms()
        if vms.is_error():
            return Error(vms.error)
        # The documents are read first, so that a change between the readings
        # cannot make a daemon look late.
        documents = await read_documents(self.table)
        daemons = await ask_daemons(vms.ok, self.timeout)
        if documents.is_error():
            return Ok(
                Survey(compare((), daemons), describe_error(documents.error))
            )
        return Ok(Survey(compare(documents.ok, daemons), ''))

    async def _fetch_vms(self) -> Result[Sequence[Vm], str]:
        fetched = await fetch_vms(self.vm_list_url, self.timeout)
        if fetched.is_error():
            return Error(fetched.error)
        return Ok(entry_vms(fetched.ok))

    def _outcome_of(self, survey: Result[Survey, str]) -> Outcome:
        if survey.is_error():
            message = f'the daemons are not known: {survey.error}'
            return fail(ExitCode.UNAVAILABLE, 'unavailable', message)
        found = survey.ok
        views = _views_of(found, self.clock.wall())
        record = _record_of(found)
        if found.table_fault:
            return Outcome(ExitCode.UNAVAILABLE, record, views)
        if found.deployment.is_in_force():
            return Outcome(ExitCode.DONE, record, views)
        return Outcome(ExitCode.NOT_IN_FORCE, record, views)


def _is_done(survey: Result[Survey, str]) -> bool:
    if survey.is_error():
        return False
    return not survey.ok.table_fault and survey.ok.deployment.is_in_force()


def _record_of(survey: Survey) -> Record:
    deployment = survey.deployment
    return {
        'in_force_everywhere': deployment.is_in_force(),
        'table_fault': survey.table_fault,
        'services': [
            deployment.coverage_of(service)._asdict()
            for service in deployment.newest
        ],
        'daemons': [
            _daemon_record(deployment, daemon) for daemon in deployment.daemons
        ],
    }


def _daemon_record(deployment: Deployment, daemon: DaemonView) -> Record:
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


def _views_of(survey: Survey, wall: int) -> list[RenderableType]:
    deployment = survey.deployment
    coverages = [
        deployment.coverage_of(service) for service in deployment.newest
    ]
    services = grid(
        ('service', 'newest', 'accepted', 'in force', 'lagging'),
        (_service_cells(coverage, wall) for coverage in coverages),
    )
    daemons = grid(
        ('vm', 'failure domain', 'state', 'ready', 'revision', 'lags'),
        (_daemon_cells(deployment, each, wall) for each in deployment.daemons),
    )
    views: list[RenderableType] = [services, '', daemons, '']
    if survey.table_fault:
        views.append(
            'the platform table cannot be read, so newer versions may exist: '
            f'{survey.table_fault}'
        )
    views.append(_verdict_on(deployment))
    return views


def _verdict_on(deployment: Deployment) -> str:
    if not deployment.daemons:
        return "no daemon is in the platform's list of VMs"
    if not deployment.newest:
        return 'no document was accepted yet'
    if deployment.is_in_force():
        return 'the versions above are in force everywhere'
    return 'not in force everywhere'


def _service_cells(coverage: Coverage, wall: int) -> tuple[str, ...]:
    age = 'not known'
    if coverage.accepted_at_ms is not None:
        age = f'{show_age(wall - coverage.accepted_at_ms)} ago'
    total = coverage.in_force_count + len(coverage.lagging)
    return (
        coverage.service,
        str(coverage.newest),
        age,
        f'{coverage.in_force_count} of {total}',
        ', '.join(coverage.lagging) or '-',
    )


def _lag_text(lag: Lag, accepted_at: int | None, wall: int) -> str:
    text = f'{lag.service} has {lag.in_force}, newest {lag.newest}'
    if accepted_at is None:
        return text
    return f'{text} for {show_age(wall - accepted_at)}'


def _daemon_cells(
    deployment: Deployment, daemon: DaemonView, wall: int
) -> list[str]:
    status = daemon.status
    if status is None:
        return [daemon.vm, daemon.failure_domain, daemon.fault, '-', '-', '-']
    lags = ', '.join(
        _lag_text(lag, deployment.accepted_at.get(lag.service), wall)
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
