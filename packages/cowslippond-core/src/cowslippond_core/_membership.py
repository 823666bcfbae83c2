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

_MISSED_HEARTBEATS = 6
_MAX_DAEMONS = 2048

# How long the joined list of daemons is kept, in milliseconds, and how often a
# random one of them is tried before all are looked through.
_JOIN_INTERVAL: Millis = 500
_TRIES = 16


# The share of conversations with daemons of the own failure domain where there
# are enough: bytes between domains are dear, and a few links carry the news.
_NEAR_SHARE = 0.7


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
        self.given_seeds = self.seeds
        self.listed: dict[str, Daemon] = {}
        self.met: dict[str, Daemon] = {}
        self.joined: list[Daemon] = []
        self.joined_at: Millis = -math.inf
        table.listeners.append(self._hear)

    def beat(self) -> None:
        """Tell all peers that this daemon runs."""
        text = orjson.dumps(self.own[1:]).decode()
        lifetime = self.heartbeat_interval() * _MISSED_HEARTBEATS
        self.table.put(self.own.address, text, lifetime)

    def leave(self) -> None:
        """Tell all peers that this daemon stops soon."""
        self.own = self.own._replace(is_leaving=True)
        self.beat()

    def heartbeat_interval(self) -> Millis:
        """Return the time between two heartbeats, in milliseconds."""
        scaled = HEARTBEAT_PER_DAEMON * self.count()
        return max(HEARTBEAT_INTERVAL, scaled)

    def apply_list(self, vms: Iterable[Vm]) -> None:
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
        self.joined_at = -math.inf
        now = self.clock.now()
        for address in tuple(self.met if self.listed else ()):
            if address in self.listed or self.table.is_alive(address, now):
                continue
            self.met.pop(address)

    def known(self) -> list[Daemon]:
        """Return the daemons known to run, without this one."""
        now = self.clock.now()
        if now - self.joined_at > _JOIN_INTERVAL:
            self.joined_at = now
            self.joined = self._join(now)
        return self.joined

    def count(self) -> int:
        """Return the number of daemons known, this one included."""
        return len(self.known()) + 1

    def staying(self) -> list[Daemon]:
        """Return the others that run or may still run and did not leave."""
        daemons = {**self.listed, **self.met}
        daemons.pop(self.own.address, None)
        return [
            daemon
            for daemon in daemons.values()
            if not self._is_leaving(daemon.address)
        ]

    def choose(self, draw: random.Random, busy: set[str]) -> str | None:
        """Choose a random peer.

        :param busy: addresses that are talked to already.
        """
        known = self.known()
        is_near = draw.random() < _NEAR_SHARE
        for _ in range(min(len(known), _TRIES)):
            peer = draw.choice(known)
            if is_near and peer.failure_domain != self.own.failure_domain:
                continue
            if peer.address not in busy and not self._is_leaving(peer.address):
                return peer.address
        idle = [
            daemon.address for daemon in known if daemon.address not in busy
        ]
        staying = [address for address in idle if not self._is_leaving(address)]
        preferred = staying or idle
        return draw.choice(preferred) if preferred else None

    def disown(self, address: str) -> None:
        """Note that a seed is another name of this daemon."""
        self.seeds = tuple(seed for seed in self.seeds if seed != address)
        self.joined_at = -math.inf

    def _make_room(self) -> None:
        if len(self.met) >= _MAX_DAEMONS:
            self.met.pop(next(iter(self.met)))

    def _join(self, now: Millis) -> list[Daemon]:
        daemons = {address: _seed(address) for address in self.seeds}
        daemons.update(self.listed)
        for address, daemon in self.met.items():
            if address in self.listed or self.table.is_alive(address, now):
                daemons[address] = daemon
        daemons.pop(self.own.address, None)
        return list(daemons.values())

    def _is_leaving(self, address: str) -> bool:
        met = self.met.get(address)
        if met is not None:
            return met.is_leaving
        listed = self.listed.get(address)
        return listed is not None and listed.is_leaving

    def _hear(self, row: GossipRow) -> None:
        daemon = _read_row(row)
        if daemon is None or row.key == self.own.address:
            return
        if row.key not in self.met:
            self.joined_at = -math.inf
            self._make_room()
        self.met[row.key] = daemon


def _seed(address: str) -> Daemon:
    return Daemon(address, '', '', '', is_leaving=False)


def _read_row(row: GossipRow) -> Daemon | None:
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
