"""Finds daemons that can relay calls while this one reaches no upstream."""

import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio
import orjson
from anyio.abc import TaskGroup

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._connections import Connections
from cowslippond_core._http_calls import HttpCalls
from cowslippond_core._isolation import run_contained
from cowslippond_core._membership import Daemon
from cowslippond_core._upstreams import Upstream
from cowslippond_core._vm import ENTRY_SERVICE, Vm, VmState

_logger = logging.getLogger(__name__)

# How many daemons of the own failure domain, and of all others, are asked.
_LOCAL_PEERS = 4
_REMOTE_PEERS = 4

_ASK_TIMEOUT: Millis = 300

# A peer that has not told its reach for this long gets no calls.
_MAX_AGE: Millis = 3000

# Connections to one peer: far more than the calls that it takes over.
_MAX_CONNECTIONS = 64

_OK_STATUS = 200


class _Peer(NamedTuple):
    """A daemon that serves calls.

    ``out_of_reach`` holds the services whose upstreams it does not reach.
    ``checks_keys`` tells whether it authenticates callers of workspaces; a daemon
    of an earlier release, or with an earlier configuration, passes keys on to
    upstreams.
    """

    upstream: Upstream
    out_of_reach: frozenset[str]
    checks_keys: bool
    asked_at: Millis

    def may_take(self, service: str, *, requires_keys: bool) -> bool:
        if requires_keys and not self.checks_keys:
            return False
        return service not in self.out_of_reach


class RelayPeers:
    """The daemons through which calls can be sent.

    :param list_daemons: returns the other daemons that serve calls.
    :param failure_domain: the failure domain of this daemon.
    :param count_relayed: called for each call that is sent through a peer.
    :param tasks: runs the connections to peers.
    :param clock: dates what peers have told.
    :param rng: chooses among them.
    :param requires_keys: tells whether callers need keys, so that calls are sent
        only through peers that check them.
    """

    def __init__(
        self,
        list_daemons: Callable[[], Iterable[Daemon]],
        failure_domain: str,
        count_relayed: Callable[[], None],
        tasks: TaskGroup,
        clock: Clock,
        rng: random.Random,
        requires_keys: Callable[[], bool] = bool,
    ) -> None:
        self.requires_keys = requires_keys
        self.list_daemons = list_daemons
        self.failure_domain = failure_domain
        self.count_relayed = count_relayed
        self.tasks = tasks
        self.clock = clock
        self.rng = rng
        self.peers: dict[str, _Peer] = {}
        self.refreshed_at: Millis = -math.inf

    def choose(self, service: str, excluded: set[str]) -> Upstream | None:
        """Return a peer that reaches a service, the less busy of two.

        :param excluded: the caller addresses of peers not to choose.
        """
        requires_keys = self.requires_keys()
        candidates = [
            peer.upstream
            for peer in self.peers.values()
            if peer.may_take(service, requires_keys=requires_keys)
            and peer.upstream.address not in excluded
            and peer.upstream.connections.has_room()
            and self.clock.now() - peer.asked_at <= _MAX_AGE
        ]
        local = [one for one in candidates if self._is_local(one)]
        preferred = local or candidates
        if not preferred:
            return None
        pair = self.rng.sample(preferred, min(len(preferred), 2))
        return min(pair, key=lambda one: one.in_flight)

    def discard(self, peer: Upstream) -> None:
        """Stop using a peer until it has told its reach again."""
        self.peers.pop(peer.vm.name, None)
        peer.connections.retire()

    async def refresh(self) -> None:
        """Ask some daemons which services they reach."""
        self.refreshed_at = self.clock.now()
        self._drop_outdated()
        daemons = list(self.list_daemons())
        local = [one for one in daemons if self._is_local(one)]
        remote = [one for one in daemons if not self._is_local(one)]
        asked = [
            *self.rng.sample(local, min(len(local), _LOCAL_PEERS)),
            *self.rng.sample(remote, min(len(remote), _REMOTE_PEERS)),
        ]
        async with anyio.create_task_group() as questions:
            for daemon in asked:
                questions.start_soon(run_contained, self._ask, daemon)

    def _drop_outdated(self) -> None:
        now = self.clock.now()
        for peer in tuple(self.peers.values()):
            if now - peer.asked_at > _MAX_AGE:
                self.discard(peer.upstream)

    async def _ask(self, daemon: Daemon) -> None:
        connections = Connections(
            daemon.admin_address, self.tasks, self.clock, 1
        )
        answer = await HttpCalls(connections).call(
            'GET', '/status', {}, b'', _ASK_TIMEOUT
        )
        connections.retire()
        if answer.is_error() or answer.ok.status != _OK_STATUS:
            _logger.info(
                'peer did not tell which services it reaches',
                extra={'peer': daemon.address},
            )
            return
        self._store(daemon, answer.ok.body)

    def _store(self, daemon: Daemon, body: bytes) -> None:
        try:
            status = orjson.loads(body)
            address = str(status['callers'])
            out_of_reach = frozenset(map(str, status['out_of_reach']))
            is_ready = bool(status['ready'])
        except (ValueError, KeyError, TypeError):
            _logger.info(
                'cannot parse the status of a peer, which may be older',
                extra={'peer': daemon.address},
            )
            return
        checks_keys = status.get('workspaces') is not None
        if not is_ready:
            self.peers.pop(daemon.address, None)
            return
        known = self.peers.get(daemon.address)
        if known is not None and known.upstream.vm.address == address:
            upstream = known.upstream
        else:
            upstream = self._make_upstream(daemon, address)
        self.peers[daemon.address] = _Peer(
            upstream, out_of_reach, checks_keys, self.clock.now()
        )

    def _make_upstream(self, daemon: Daemon, address: str) -> Upstream:
        vm = Vm(
            daemon.address,
            daemon.incarnation,
            daemon.failure_domain,
            VmState.LIVE,
            ENTRY_SERVICE,
            address,
        )
        connections = Connections(
            address, self.tasks, self.clock, _MAX_CONNECTIONS
        )
        return Upstream(vm, connections)

    def _is_local(self, one: Daemon | Upstream) -> bool:
        return one.failure_domain == self.failure_domain
