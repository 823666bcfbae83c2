"""The daemons of the fleet, from the VM list, the settings and from peers."""

import math
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import orjson

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipRow, GossipTable
from cowslippond_core._vm import ENTRY_SERVICE, Vm, VmState

#: The least time between two heartbeats of a daemon, in milliseconds.
HEARTBEAT_INTERVAL: Millis = 10_000

#: How much the interval grows with each known daemon, in milliseconds, so
#: that the heartbeats of a fleet stay at four a second.
HEARTBEAT_PER_DAEMON: Millis = 250

_MAX_MISSED_HEARTBEATS = 6
_MAX_DAEMONS = 2048

# How long the joined list of daemons is kept, in milliseconds, and how often a
# random one of them is tried before all are looked through.
_MERGE_INTERVAL: Millis = 500
_SAMPLING_ATTEMPTS = 16


# The share of conversations with daemons of the own failure domain where there
# are enough: bytes between domains are dear, and a few links carry the news.
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
    """Which daemons there are.

    A daemon is known by its heartbeats, which peers pass on, by the VM list
    or by the settings. Its failure domain counts as populated until it is
    certain that it left: it said so itself, or its heartbeats ended and a VM
    list fetched since does not hold it. A daemon that merely falls silent may
    be on the other side of a cut.

    :param clock: the clock of heartbeats.
    :param table: passes the heartbeats on.
    :param own: this daemon.
    :param seeds: peer addresses of the settings.
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
        """Tell all peers that this daemon runs."""
        text = orjson.dumps(self.own[1:]).decode()
        lifetime = self.heartbeat_interval() * _MAX_MISSED_HEARTBEATS
        self.table.put(self.own.address, text, lifetime)

    def announce_leaving(self) -> None:
        """Tell all peers that this daemon stops soon."""
        self.own = self.own._replace(is_leaving=True)
        self.send_heartbeat()

    def heartbeat_interval(self) -> Millis:
        """Return the time between two heartbeats, in milliseconds."""
        scaled = HEARTBEAT_PER_DAEMON * self.count()
        return max(HEARTBEAT_INTERVAL, scaled)

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Take over a list of VMs."""
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
        # A list without any daemon, not even this one, is no evidence.
        self.merged_at = -math.inf
        now = self.clock.now()
        for address in tuple(self.announced if self.listed else ()):
            if address in self.listed or self.table.is_alive(address, now):
                continue
            self.announced.pop(address)

    def known_daemons(self) -> list[Daemon]:
        """Return the daemons known to run, without this one."""
        now = self.clock.now()
        if now - self.merged_at > _MERGE_INTERVAL:
            self.merged_at = now
            self.merged = self._merge(now)
        return self.merged

    def count(self) -> int:
        """Return the number of daemons known, this one included."""
        return len(self.known_daemons()) + 1

    def possibly_running(self) -> list[Daemon]:
        """Return the others that run or may still run and did not leave."""
        daemons = {**self.listed, **self.announced}
        daemons.pop(self.own.address, None)
        return [
            daemon
            for daemon in daemons.values()
            if not self._is_leaving(daemon.address)
        ]

    def choose_peer(self, rng: random.Random, excluded: set[str]) -> str | None:
        """Choose a random peer.

        :param busy: addresses that are talked to already.
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
        """Note that a seed is another name of this daemon."""
        self.seeds = tuple(seed for seed in self.seeds if seed != address)
        self.merged_at = -math.inf

    def _evict_oldest(self) -> None:
        if len(self.announced) >= _MAX_DAEMONS:
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
