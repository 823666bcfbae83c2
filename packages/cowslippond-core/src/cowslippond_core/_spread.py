"""What the daemons of a fleet tell each other and read from the platform."""

import random
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, TaskStatus

from cowslippond_core._catalogue import Catalogue
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._contact import Contact
from cowslippond_core._gossip import Gossip
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._leaving import Leaving
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._metrics import Metric, Metrics
from cowslippond_core._outage_rule import OutageRule
from cowslippond_core._peer_server import PeerServer
from cowslippond_core._peers import Peers
from cowslippond_core._poller import Poller
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._quarantine_gossip import share_quarantine
from cowslippond_core._table import Table
from cowslippond_core._urgent_news import UrgentNews
from cowslippond_core._vm_list import Vm
from cowslippond_core._vm_list_poller import VmListPoller

_GAUGE_INTERVAL: Millis = 1000
_DAEMONS = 'daemons'

# A lost heartbeat is followed by the next one.
_HEARTBEAT_SENDS = 3


class SpreadSettings(NamedTuple):
    """How a daemon meets its fleet.

    ``fleet`` is the same for all daemons that share a table.
    ``peer_address`` is listened on and told to peers; port 0 takes a free
    one. ``seeds`` are peer addresses, ``vm_list_url`` may be empty.
    """

    fleet: str
    peer_address: str
    admin_address: str
    failure_domain: str
    incarnation: str
    seeds: tuple[str, ...]
    vm_list_url: str


class SpreadStatus(NamedTuple):
    """What the status page tells of the catalogue and the fleet.

    Ages are in milliseconds; ``None`` if it never happened.
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


class Spread:
    """The part of a daemon that acts together with the others.

    :param settings: how this daemon meets its fleet.
    :param table: the platform's table.
    :param clock: the clock of all waits and ages.
    :param catalogue: kept up to date.
    :param metrics: counts reads, rounds and bytes.
    :param draw: draws peers and waits.
    """

    def __init__(
        self,
        settings: SpreadSettings,
        table: Table,
        clock: Clock,
        catalogue: Catalogue,
        metrics: Metrics,
        draw: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.catalogue = catalogue
        self.metrics = metrics
        draw = draw or random.Random()
        self.tables = {
            name: GossipTable(name, clock)
            for name in ('leaving', 'ejections', 'quarantine')
        }
        self.tables[_DAEMONS] = GossipTable(
            _DAEMONS, clock, sends=_HEARTBEAT_SENDS, is_urgent=False
        )
        self.leaving = Leaving(clock, self.tables['leaving'])
        self.membership = Membership(
            clock, self.tables[_DAEMONS], _own_daemon(settings), settings.seeds
        )
        self.contact = Contact(settings.failure_domain)
        self.outage_rule = OutageRule(self.contact, self.membership)
        self.gossip = Gossip(
            settings.fleet,
            settings.peer_address,
            catalogue,
            self.contact,
            self.tables.values(),
            clock,
        )
        self.peers = Peers(self.gossip, self.membership, clock, draw, metrics)
        self.server = PeerServer(self.gossip, clock, metrics)
        self.poller = Poller(
            table, catalogue, self.membership, clock, draw, metrics
        )
        self.vm_list = VmListPoller(settings.vm_list_url, clock, draw, metrics)
        self._connect_parts()

    def gossip_table(self, name: str) -> GossipTable:
        """Return a table whose rows are passed on.

        :param name: ``leaving``, ``ejections``, ``quarantine`` or
            ``daemons``.
        """
        return self.tables[name]

    def share_quarantine(self, quarantine: Quarantine) -> None:
        """Pass on what a quarantine finds out, as soon as it does."""
        share_quarantine(quarantine, self.tables['quarantine'])
        quarantine.push_news = UrgentNews(
            'quarantine',
            self.gossip,
            self.membership,
            self.clock,
            self.metrics,
        ).push

    def vms(self) -> tuple[Vm, ...]:
        """Return the newest list of VMs that could be read."""
        return self.vm_list.vms

    def known_daemons(self) -> list[Daemon]:
        """Return the daemons known to run, without this one."""
        return self.membership.known()

    def status(self) -> SpreadStatus:
        """Return what the status page tells."""
        now = self.clock.now()
        error = self.poller.last_error
        return SpreadStatus(
            revision=self.catalogue.revision,
            versions=self.catalogue.versions,
            is_fresh=self.catalogue.is_fresh(now),
            confirmed_age=_age(self.catalogue.confirmed_at, now),
            vm_list_age=_age(self.vm_list.read_at, now),
            store_error='' if error is None else error.detail,
            unreadable=self.catalogue.unreadable,
            daemons=tuple(self.membership.known()),
            domain_ages=dict(self.contact.witnesses(now)),
            missing_domains=tuple(self.outage_rule.missing(now)),
            leaving_upstreams=tuple(
                address
                for address in self.leaving.marks
                if self.leaving.is_leaving(address)
            ),
        )

    def announce_leaving(self) -> None:
        """Tell the fleet that this daemon stops soon."""
        self.membership.leave()

    async def run(
        self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll, answer peers and gossip until cancelled.

        The task status carries the peer address once it is listened on.
        """
        host, _, port = self.settings.peer_address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener, anyio.create_task_group() as tasks:
            bound = listener.extra(SocketAttribute.local_port)
            self._adopt_address(f'{host}:{bound}')
            tasks.start_soon(listener.serve, self.server.serve)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.poller.run)
            if self.settings.vm_list_url:
                tasks.start_soon(self.vm_list.run)
            tasks.start_soon(self._beat)
            tasks.start_soon(self._report)
            task_status.started(self.gossip.address)

    def _connect_parts(self) -> None:
        self.catalogue.bridges_outage = self.outage_rule.holds
        self.catalogue.listeners.append(self.peers.announce)
        self.vm_list.listeners.append(self.membership.apply_list)
        self.vm_list.listeners.append(self.leaving.apply_list)
        for name, table in self.tables.items():
            if name != _DAEMONS:
                table.writers.append(self.peers.announce_rows)

    def _adopt_address(self, address: str) -> None:
        self.gossip.address = address
        own = self.membership.own
        self.membership.own = own._replace(address=address)

    async def _beat(self) -> None:
        while True:
            self.membership.beat()
            await self.clock.sleep(self.membership.heartbeat_interval())

    async def _report(self) -> None:
        while True:
            self._set_gauges()
            await self.clock.sleep(_GAUGE_INTERVAL)

    def _set_gauges(self) -> None:
        now = self.clock.now()
        confirmed_age = _age(self.catalogue.confirmed_at, now)
        self.metrics.gauge(Metric.REVISION, self.catalogue.revision)
        self.metrics.gauge(
            Metric.DOCUMENTS_IN_FORCE, len(self.catalogue.in_force)
        )
        self.metrics.gauge(
            Metric.DOCUMENTS_UNREADABLE, self.catalogue.unreadable
        )
        self.metrics.gauge(Metric.DAEMONS_KNOWN, self.membership.count())
        self.metrics.gauge(Metric.UPSTREAMS_LEAVING, len(self.leaving.marks))
        if confirmed_age is not None:
            self.metrics.gauge(Metric.CONFIRMED_AGE_MS, confirmed_age)


def _own_daemon(settings: SpreadSettings) -> Daemon:
    return Daemon(
        settings.peer_address,
        settings.incarnation,
        settings.failure_domain,
        settings.admin_address,
        is_leaving=False,
    )


def _age(at: Millis | None, now: Millis) -> Millis | None:
    return None if at is None else now - at
