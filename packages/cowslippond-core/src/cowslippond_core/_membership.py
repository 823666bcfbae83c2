"""Tracks the daemons of the fleet from the VM list, settings and peers."""

import math
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import orjson

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._fleet_size import MAX_DAEMONS
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._vm import ENTRY_SERVICE, Vm, VmState

#: Minimum time between two heartbeats of a daemon.
HEARTBEAT_INTERVAL: Millis = 10_000

#: How much the heartbeat interval grows with each known daemon, so that a
#: fleet sends at most four heartbeats a second in total.
HEARTBEAT_PER_DAEMON: Millis = 250

_MAX_MISSED_HEARTBEATS = 6

# How long the merged list of daemons is cached.
_MERGE_INTERVAL: Millis = 500

# How many random daemons are checked before the whole list is searched.
_SAMPLING_ATTEMPTS = 16


# The fraction of sessions with daemons of the same failure domain, if it has
# enough daemons. Traffic between domains is expensive, and a few sessions
# across domains are enough to spread updates.
_LOCAL_FRACTION = 0.7


class Daemon(NamedTuple):
    """A daemon of the fleet.

    ``failure_domain`` is empty while only the address is known.
    """

    address: str
    incarnation: str
    failure_domain: str
    admin_address: str
    is_leaving: bool


class Membership:
    """The known daemons of the fleet.

    A daemon is known from its heartbeats, which are replicated between peers,
    from the VM list or from the settings. It counts as possibly running, and
    its failure domain as populated, until it has certainly left: either it
    announced so itself, or its heartbeats ended and a VM list fetched since
    does not contain it. A daemon that only stops sending heartbeats may be on
    the other side of a network partition.

    :param clock: determines which heartbeats have expired.
    :param table: replicates the heartbeats.
    :param own: this daemon.
    :param seeds: the peer addresses in the settings.
    """

    def __init__(
        self,
        clock: Clock,
        table: GossipTable,
        own: Daemon,
        seeds: Sequence[str] = (),
    ) -> None:
        self.clock = clock
        self.table = table
        self.own = own
        self.seeds = tuple(seeds)
        self.configured_seeds = self.seeds
        self.listed: dict[str, Daemon] = {}
        self.announced: dict[str, Daemon] = {}
        self.merged: list[Daemon] = []
        self.merged_at: Millis = -math.inf
        table.listeners.append(self._receive_row)

    def send_heartbeat(self) -> None:
        """Announce to all peers that this daemon runs."""
        text = orjson.dumps(self.own[1:]).decode()
        lifetime = self.heartbeat_interval() * _MAX_MISSED_HEARTBEATS
        self.table.put(self.own.address, text, lifetime)

    def announce_leaving(self) -> None:
        """Announce to all peers that this daemon stops soon."""
        self.own = self.own._replace(is_leaving=True)
        self.send_heartbeat()

    def heartbeat_interval(self) -> Millis:
        """Return the time between two heartbeats, in milliseconds."""
        scaled = HEARTBEAT_PER_DAEMON * self.count()
        return max(HEARTBEAT_INTERVAL, scaled)

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Replace the listed daemons by those of a new VM list.

        Daemons known only from expired heartbeats are removed, unless the
        list contains no daemons.
        """
        self.listed = {
            vm.address: Daemon(
                vm.address,
                vm.incarnation,
                vm.failure_domain,
                vm.admin_address,
                vm.state is VmState.LEAVING,
            )
            for vm in vms
            if vm.service == ENTRY_SERVICE
        }
        # A list without any daemon, not even this one, does not prove that
        # the others left.
        self.merged_at = -math.inf
        now = self.clock.now()
        for address in tuple(self.announced if self.listed else ()):
            if address in self.listed or self.table.is_alive(address, now):
                continue
            self.announced.pop(address)

    def known_daemons(self) -> list[Daemon]:
        """Return the other daemons that are known to run."""
        now = self.clock.now()
        if now - self.merged_at > _MERGE_INTERVAL:
            self.merged_at = now
            self.merged = self._merge(now)
        return self.merged

    def serving_addresses(self) -> list[str]:
        """Return the addresses of the other daemons that serve calls.

        Addresses that are only known from the settings are not included.
        """
        return [daemon.address for daemon in self.serving_daemons()]

    def serving_daemons(self) -> list[Daemon]:
        """Return the other daemons that serve calls."""
        return [
            daemon
            for daemon in self.known_daemons()
            if daemon.incarnation and not daemon.is_leaving
        ]

    def count(self) -> int:
        """Return the number of known daemons, including this one."""
        return len(self.known_daemons()) + 1

    def possibly_running(self) -> list[Daemon]:
        """Return the other daemons that run or may still run.

        Leaving daemons are not included.
        """
        daemons = {**self.listed, **self.announced}
        daemons.pop(self.own.address, None)
        return [
            daemon
            for daemon in daemons.values()
            if not self._is_leaving(daemon.address)
        ]

    def choose_peer(self, rng: random.Random, excluded: set[str]) -> str | None:
        """Choose a random peer to connect to.

        Leaving daemons are chosen only if there are no others.

        :param excluded: the addresses that already have a session.
        """
        candidates = self.known_daemons()
        is_local_only = rng.random() < _LOCAL_FRACTION
        for _ in range(min(len(candidates), _SAMPLING_ATTEMPTS)):
            peer = rng.choice(candidates)
            if is_local_only and peer.failure_domain != self.own.failure_domain:
                continue
            if peer.address not in excluded and not self._is_leaving(
                peer.address
            ):
                return peer.address
        available = [
            daemon.address
            for daemon in candidates
            if daemon.address not in excluded
        ]
        staying = [
            address for address in available if not self._is_leaving(address)
        ]
        preferred = staying or available
        return rng.choice(preferred) if preferred else None

    def exclude_own_address(self, address: str) -> None:
        """Remove a seed that turned out to be an address of this daemon."""
        self.seeds = tuple(seed for seed in self.seeds if seed != address)
        self.merged_at = -math.inf

    def _evict_oldest(self) -> None:
        if len(self.announced) >= MAX_DAEMONS:
            self.announced.pop(next(iter(self.announced)))

    def _merge(self, now: Millis) -> list[Daemon]:
        daemons = {address: _seed_daemon(address) for address in self.seeds}
        daemons.update(self.listed)
        for address, daemon in self.announced.items():
            if address in self.listed or self.table.is_alive(address, now):
                daemons[address] = daemon
        daemons.pop(self.own.address, None)
        return list(daemons.values())

    def _is_leaving(self, address: str) -> bool:
        announced = self.announced.get(address)
        if announced is not None:
            return announced.is_leaving
        listed = self.listed.get(address)
        return listed is not None and listed.is_leaving

    def _receive_row(self, row: GossipRow) -> None:
        daemon = _parse_row(row)
        if daemon is None or row.key == self.own.address:
            return
        if row.key not in self.announced:
            self.merged_at = -math.inf
            self._evict_oldest()
        self.announced[row.key] = daemon


def _seed_daemon(address: str) -> Daemon:
    return Daemon(address, '', '', '', is_leaving=False)


def _parse_row(row: GossipRow) -> Daemon | None:
    try:
        incarnation, domain, admin_address, is_leaving = orjson.loads(row.text)
    except (ValueError, TypeError):
        return None
    return Daemon(
        row.key,
        str(incarnation),
        str(domain),
        str(admin_address),
        is_leaving=bool(is_leaving),
    )
