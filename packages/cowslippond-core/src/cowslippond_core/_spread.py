"""Spread documents and VM states among the daemons of a fleet.

Each daemon receives them from peers, the platform's table and a VM list.
"""

import random
from typing import NamedTuple

from anyio.abc import TaskGroup

from cowslippond_core._catalogue import Catalogue
from cowslippond_core._catalogue_poller import CataloguePoller
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._fleet import Fleet, FleetSettings
from cowslippond_core._membership import Daemon
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._outage_rule import OutageRule
from cowslippond_core._table import Table
from cowslippond_core._thrift_codec import ThriftCodec
from cowslippond_core._vm import Vm
from cowslippond_core._vm_list_poller import VmListPoller

_GAUGE_INTERVAL: Millis = 1000


class SpreadSettings(NamedTuple):
    """Settings with which a daemon joins its fleet.

    ``fleet`` is the same for all daemons that share a table. The daemon
    listens on ``peer_address`` and announces it to peers; port 0 selects a
    free port. ``seeds`` are peer addresses. If ``vm_list_url`` is empty, no
    VM list is read.
    """

    fleet: str
    peer_address: str
    admin_address: str
    failure_domain: str
    incarnation: str
    seeds: tuple[str, ...]
    vm_list_url: str

    @property
    def fleet_settings(self) -> FleetSettings:
        """The settings of the base class, which reads no VM list."""
        return FleetSettings(*self[:-1], ThriftCodec())


class SpreadStatus(NamedTuple):
    """State of the catalogue and the fleet for the status page.

    Ages are in milliseconds. An age is ``None`` if the event has never
    occurred.
    """

    revision: int
    versions: dict[str, int]
    is_fresh: bool
    confirmed_age: Millis | None
    vm_list_age: Millis | None
    store_error: str
    unreadable: int
    daemons: tuple[Daemon, ...]
    domain_ages: dict[str, Millis]
    missing_domains: tuple[str, ...]
    leaving_upstreams: tuple[str, ...]


class Spread(Fleet):
    """A fleet with documents in a table and VMs in a list.

    :param settings: how this daemon joins its fleet.
    :param table: the platform's table.
    :param clock: measures all waits and ages.
    :param catalogue: kept up to date.
    :param metrics: counts reads, gossip rounds and bytes.
    :param rng: selects peers and randomizes waits.
    """

    def __init__(
        self,
        settings: SpreadSettings,
        table: Table,
        clock: Clock,
        catalogue: Catalogue,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(
            settings.fleet_settings, clock, catalogue, metrics, rng
        )
        self.documents = catalogue
        self.poller = CataloguePoller(
            table, catalogue, self.membership, clock, self.rng, metrics
        )
        self.vm_list = VmListPoller(
            settings.vm_list_url, clock, self.rng, metrics
        )
        self.outage_rule = OutageRule(self.contact, self.membership)
        catalogue.may_serve_stale = self.outage_rule.allows_serving
        self.vm_list.listeners.append(self.membership.apply_vm_list)
        self.vm_list.listeners.append(self.leaving.apply_list)

    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs of the last list that was read successfully."""
        return self.vm_list.vms

    def status(self) -> SpreadStatus:
        """Return the state that the status page shows."""
        now = self.clock.now()
        error = self.poller.last_error
        return SpreadStatus(
            revision=self.catalogue.revision,
            versions=self.documents.versions,
            is_fresh=self.documents.is_fresh(now),
            confirmed_age=_elapsed_since(self.catalogue.confirmed_at, now),
            vm_list_age=_elapsed_since(self.vm_list.read_at, now),
            store_error='' if error is None else error.detail,
            unreadable=self.documents.unreadable,
            daemons=tuple(self.membership.known_daemons()),
            domain_ages=dict(self.contact.witnesses(now)),
            missing_domains=tuple(self.outage_rule.missing_domains(now)),
            leaving_upstreams=tuple(
                address
                for address in self.leaving.marks
                if self.leaving.is_leaving(address)
            ),
        )

    def start_sources(self, tasks: TaskGroup) -> None:
        """Start polling the table and the VM list, and set the gauges."""
        tasks.start_soon(self.poller.run)
        if self.vm_list.url:
            tasks.start_soon(self.vm_list.run)
        tasks.start_soon(self._report_gauges)

    async def _report_gauges(self) -> None:
        while True:
            self._set_gauges()
            await self.clock.sleep(_GAUGE_INTERVAL)

    def _set_gauges(self) -> None:
        now = self.clock.now()
        confirmed_age = _elapsed_since(self.catalogue.confirmed_at, now)
        self.metrics.gauge(Metric.REVISION, self.catalogue.revision)
        self.metrics.gauge(
            Metric.DOCUMENTS_IN_FORCE, len(self.documents.in_force)
        )
        self.metrics.gauge(
            Metric.DOCUMENTS_UNREADABLE, self.documents.unreadable
        )
        self.metrics.gauge(Metric.DAEMONS_KNOWN, self.membership.count())
        self.metrics.gauge(Metric.UPSTREAMS_LEAVING, len(self.leaving.marks))
        if confirmed_age is not None:
            self.metrics.gauge(Metric.CONFIRMED_AGE_MS, confirmed_age)


def _elapsed_since(at: Millis | None, now: Millis) -> Millis | None:
    return None if at is None else now - at
