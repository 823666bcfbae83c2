"""Builds the components of a daemon from its settings."""

import uuid
from typing import NamedTuple

from anyio.abc import TaskGroup
from cowslippond_core import (
    Catalogue,
    ClaimBacklog,
    ClaimFlow,
    Claims,
    Clock,
    DynamoTable,
    LeavingSource,
    Metrics,
    Quarantine,
    S3ObjectStore,
    Sender,
    Settings,
    Spread,
    SpreadSettings,
    read_document,
)

from cowslippond_daemon._services import ServiceStates


class DaemonComponents(NamedTuple):
    """The components that a daemon uses while it runs."""

    clock: Clock
    metrics: Metrics
    catalogue: Catalogue
    spread: Spread
    services: ServiceStates
    sender: Sender
    backlog: ClaimBacklog
    claims: ClaimFlow
    quarantine: Quarantine


def build_components(
    settings: Settings, tasks: TaskGroup, clock: Clock
) -> DaemonComponents:
    """Return the components of a daemon without starting them.

    :param tasks: the task group for connections to upstreams.
    """
    platform = settings.platform
    table = DynamoTable(
        platform.table_url, platform.table_name, platform.timeout_ms
    )
    object_store = S3ObjectStore(
        platform.objects_url, platform.objects_bucket, platform.timeout_ms
    )
    metrics = Metrics(settings.statsd_address or '')
    catalogue = Catalogue(clock, read_document)
    spread = Spread(
        _spread_settings(settings), table, clock, catalogue, metrics
    )
    services = ServiceStates(tasks, clock, settings.max_daemons, spread.vms)
    spread.vm_list.listeners.append(services.update_vms)
    quarantine = Quarantine(clock)
    spread.share_quarantine(quarantine)
    sender = Sender(
        clock,
        is_leaving=spread.leaving.is_leaving,
        mark_leaving=lambda address, _: spread.leaving.mark(
            address, LeavingSource.ANSWER
        ),
        count_retry=metrics.count_retry,
        quarantine=quarantine,
        failure_domain=settings.failure_domain,
    )
    claims = Claims(table, object_store, clock, settings.vm)
    backlog = ClaimBacklog(claims, clock)
    return DaemonComponents(
        clock=clock,
        metrics=metrics,
        catalogue=catalogue,
        spread=spread,
        services=services,
        sender=sender,
        backlog=backlog,
        claims=ClaimFlow(claims, backlog, clock),
        quarantine=quarantine,
    )


def _spread_settings(settings: Settings) -> SpreadSettings:
    return SpreadSettings(
        fleet=settings.platform.table_name,
        peer_address=settings.peer_address,
        admin_address=settings.admin_address,
        failure_domain=settings.failure_domain,
        incarnation=uuid.uuid4().hex,
        seeds=settings.peers,
        vm_list_url=settings.platform.vm_list_url,
    )
