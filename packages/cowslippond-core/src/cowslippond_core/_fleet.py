"""Connects a daemon to the other daemons of its fleet."""

import random
from collections.abc import Mapping
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup, TaskStatus

from cowslippond_core._clock import Clock
from cowslippond_core._codec import Codec
from cowslippond_core._fleet_contact import FleetContact
from cowslippond_core._fleet_size import FleetSize
from cowslippond_core._gossip import Gossip
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._isolation import run_contained, run_restarting
from cowslippond_core._leaving import LeavingMarks
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._metrics import Metrics
from cowslippond_core._peer_client import PeerClient
from cowslippond_core._peer_server import PeerServer
from cowslippond_core._quarantine import Quarantine
from cowslippond_core._quarantine_gossip import share_quarantine
from cowslippond_core._reader_role import STORE_READER_TABLE
from cowslippond_core._urgent_updates import UrgentUpdates
from cowslippond_core._versions import Versions

_DAEMONS = 'daemons'

# Few sends suffice for a deferred table: a lost row is soon followed by the
# next one.
_DEFERRED_SENDS = 3


class FleetSettings(NamedTuple):
    """How a daemon joins its fleet.

    ``fleet`` is the same for all daemons that share a table.
    ``peer_address`` is the address to listen on, which is also announced to
    peers; port 0 selects a free port. ``seeds`` are peer addresses, ``codec``
    encodes all messages.
    """

    fleet: str
    peer_address: str
    admin_address: str
    failure_domain: str
    incarnation: str
    seeds: tuple[str, ...]
    codec: Codec


class Fleet:
    """The membership, gossip and peer sessions of a daemon.

    :param settings: how this daemon joins its fleet.
    :param clock: used for all waits and ages.
    :param catalogue: the versioned documents to replicate.
    :param metrics: counts gossip rounds and bytes.
    :param rng: chooses peers and randomizes waits.
    :param logs: additional logs of versioned texts to replicate, by name.
    :param tables: names of additional tables whose rows are sent at once.
    :param deferred_tables: names of additional tables whose rows are sent with
        the next regular gossip rounds.
    """

    def __init__(
        self,
        settings: FleetSettings,
        clock: Clock,
        catalogue: Versions,
        metrics: Metrics,
        rng: random.Random | None = None,
        logs: Mapping[str, Versions] | None = None,
        tables: tuple[str, ...] = (),
        deferred_tables: tuple[str, ...] = (),
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.catalogue = catalogue
        self.metrics = metrics
        self.rng = rng or random.Random()
        self.tables = {
            name: GossipTable(name, clock)
            for name in sorted(
                ('leaving', 'ejections', 'quarantine', *tables),
                key=_is_not_leading,
            )
        }
        for deferred in (*deferred_tables, _DAEMONS):
            self.tables[deferred] = GossipTable(
                deferred, clock, sends=_DEFERRED_SENDS, is_urgent=False
            )
        self.leaving = LeavingMarks(clock, self.tables['leaving'])
        self.membership = Membership(
            clock, self.tables[_DAEMONS], _own_daemon(settings), settings.seeds
        )
        own_address = settings.peer_address
        self.size = FleetSize(
            clock,
            self.membership.count,
            has_peers=any(seed != own_address for seed in settings.seeds),
        )
        self.contact = FleetContact(settings.failure_domain, self.size)
        self.gossip = Gossip(
            settings.fleet,
            settings.peer_address,
            catalogue,
            self.contact,
            self.tables.values(),
            clock,
            settings.codec,
            logs,
        )
        self.peer_client = PeerClient(
            self.gossip, self.membership, clock, self.rng, metrics
        )
        self.peer_server = PeerServer(self.gossip, clock, metrics)
        for log in self.gossip.logs.values():
            log.listeners.append(self.peer_client.start_rounds)
        for table in self.tables.values():
            if table.is_urgent:
                table.write_listeners.append(self.peer_client.start_row_rounds)

    def gossip_table(self, name: str) -> GossipTable:
        """Return a replicated table.

        :param name: ``leaving``, ``ejections``, ``quarantine``, ``daemons`` or
            the name of an additional table.
        """
        return self.tables[name]

    def relay_at_once(self, name: str) -> None:
        """Pass on rows of a table that peers add, without waiting for a round.

        Each daemon relays a key once, as a row that replaces another of the
        same key is left to the regular rounds.

        :param name: the name of a table whose rows have few keys.
        """
        self.tables[name].addition_listeners.append(
            self.peer_client.start_row_rounds
        )

    def share_quarantine(self, quarantine: Quarantine) -> None:
        """Replicate the changes of a quarantine and push them at once."""
        share_quarantine(quarantine, self.tables['quarantine'])
        quarantine.push_updates = UrgentUpdates(
            'quarantine',
            self.gossip,
            self.membership,
            self.clock,
            self.metrics,
        ).push

    def known_daemons(self) -> list[Daemon]:
        """Return the other daemons that are known to run."""
        return self.membership.known_daemons()

    def announce_leaving(self) -> None:
        """Announce to the fleet that this daemon stops soon."""
        self.membership.announce_leaving()

    async def run(
        self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Answer peers and gossip until cancelled.

        The task status reports the peer address once the daemon listens on it.
        """
        host, _, port = self.settings.peer_address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener, anyio.create_task_group() as tasks:
            bound = listener.extra(SocketAttribute.local_port)
            self._set_own_address(f'{host}:{bound}')
            tasks.start_soon(listener.serve, self._serve_peer)
            tasks.start_soon(self.peer_client.run)
            self.start_sources(tasks)
            tasks.start_soon(run_restarting, self.clock, self.send_heartbeats)
            task_status.started(self.gossip.address)

    def start_sources(self, tasks: TaskGroup) -> None:
        """Start the tasks that update the catalogue from other sources.

        Subclasses override it.
        """

    def _set_own_address(self, address: str) -> None:
        self.gossip.address = address
        own = self.membership.own
        self.membership.own = own._replace(address=address)

    async def _serve_peer(self, stream: ByteStream) -> None:
        await run_contained(self.peer_server.serve, stream)

    async def send_heartbeats(self) -> None:
        """Announce this daemon periodically until cancelled."""
        while True:
            self.membership.send_heartbeat()
            await self.clock.sleep(self.membership.heartbeat_interval())


def _is_not_leading(name: str) -> bool:
    """Return the sort key by which tables of few rows come first.

    A message holds 16 rows, and those of other tables could fill it.
    """
    return name != STORE_READER_TABLE


def _own_daemon(settings: FleetSettings) -> Daemon:
    return Daemon(
        settings.peer_address,
        settings.incarnation,
        settings.failure_domain,
        settings.admin_address,
        is_leaving=False,
    )
