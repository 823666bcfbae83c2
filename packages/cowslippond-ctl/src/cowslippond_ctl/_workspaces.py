"""The part of ``status`` that shows workspaces and evacuations.

The daemons of the users' platform are asked for it by address, since they have
neither the VM list nor the table of the daemons of service documents.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import anyio
import httpcore
from cowslippond_core import Millis
from expression import Error, Ok, Result
from rich.console import RenderableType

from cowslippond_ctl._daemons import fetch_record
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._outcome import CommandOutcome
from cowslippond_ctl._views import grid

_PARSE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)


class WorkspaceUse(NamedTuple):
    """The limit of a workspace and its calls at one or all daemons.

    ``rate`` and ``demand`` are in calls per second; the demand includes refused
    calls. ``admitted`` and ``refused`` count calls since the daemons' start.
    """

    rate: float
    burst: float
    demand: float
    admitted: int
    refused: int


class DaemonReport(NamedTuple):
    """What one daemon reports of workspaces and evacuations.

    ``configuration`` is the version in force, from which the limits are.
    """

    vm: str
    configuration: int
    uses: Mapping[str, WorkspaceUse]
    evacuated: tuple[str, ...]


async def show_workspaces(
    addresses: Sequence[str], timeout: Millis
) -> CommandOutcome:
    """Return the use of each workspace, summed over daemons.

    :param addresses: the admin addresses of the daemons.
    :param timeout: maximum wait for each daemon, in milliseconds.
    """
    fetched: dict[str, Result[DaemonReport, str]] = {}
    async with httpcore.AsyncConnectionPool(
        max_connections=len(addresses)
    ) as pool:
        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(_fetch_into, fetched, pool, address, timeout)
    reports = [got.ok for got in fetched.values() if got.is_ok()]
    faults = {
        asked: got.error for asked, got in fetched.items() if got.is_error()
    }
    return _outcome_of(reports, faults)


async def _fetch_into(
    fetched: dict[str, Result[DaemonReport, str]],
    pool: httpcore.AsyncConnectionPool,
    address: str,
    timeout: Millis,
) -> None:
    record = await fetch_record(pool, address, timeout)
    fetched[address] = record.bind(_parse_report)


def _parse_report(record: Any) -> Result[DaemonReport, str]:
    try:
        return Ok(
            DaemonReport(
                str(record['vm']),
                int(record['configuration']),
                {
                    str(name): _use_of(figures)
                    for name, figures in record['quotas'].items()
                },
                tuple(str(domain) for domain in record['evacuated']),
            )
        )
    except _PARSE_ERRORS:
        return Error('answered with a status without workspaces')


def _use_of(figures: Mapping[str, Any]) -> WorkspaceUse:
    return WorkspaceUse(
        float(figures['rate']),
        float(figures['burst']),
        float(figures['demand']),
        int(figures['admitted']),
        int(figures['refused']),
    )


def _add_up(reports: Iterable[DaemonReport]) -> dict[str, WorkspaceUse]:
    """Return the use of each workspace; its limit is that of the newest."""
    totals: dict[str, WorkspaceUse] = {}
    for report in sorted(reports, key=_configuration_of):
        for name, use in report.uses.items():
            known = totals.get(name, WorkspaceUse(0, 0, 0, 0, 0))
            totals[name] = use._replace(
                demand=round(known.demand + use.demand, 1),
                admitted=known.admitted + use.admitted,
                refused=known.refused + use.refused,
            )
    return dict(sorted(totals.items()))


def _configuration_of(report: DaemonReport) -> int:
    return report.configuration


def _evacuations_of(reports: Sequence[DaemonReport]) -> dict[str, int]:
    """Return for each evacuated domain how many daemons know of it."""
    domains: dict[str, int] = {}
    for report in reports:
        for domain in report.evacuated:
            domains[domain] = domains.get(domain, 0) + 1
    return dict(sorted(domains.items()))


def _outcome_of(
    reports: Sequence[DaemonReport], faults: Mapping[str, str]
) -> CommandOutcome:
    workspaces = _add_up(reports)
    evacuated = _evacuations_of(reports)
    record = {
        'daemons': len(reports),
        'workspaces': {name: use._asdict() for name, use in workspaces.items()},
        'evacuated': evacuated,
        'faults': faults,
    }
    total = len(reports)
    code = ExitCode.UNAVAILABLE if faults else ExitCode.DONE
    views: list[RenderableType] = [_grid_of(workspaces), '']
    views.extend(
        f'failure domain {domain} is evacuated at {known} of {total} daemons'
        for domain, known in evacuated.items()
    )
    if not evacuated:
        views.append('no failure domain is evacuated')
    views.extend(f'{address}: {fault}' for address, fault in faults.items())
    return CommandOutcome(code, record, views)


def _grid_of(workspaces: Mapping[str, WorkspaceUse]) -> RenderableType:
    return grid(
        ('workspace', 'limit/s', 'burst', 'demand/s', 'admitted', 'refused'),
        (_cells_of(name, use) for name, use in workspaces.items()),
    )


def _cells_of(name: str, use: WorkspaceUse) -> list[str]:
    return [
        name,
        str(use.rate) if use.rate else 'none',
        str(use.burst),
        str(use.demand),
        str(use.admitted),
        str(use.refused),
    ]
