"""The upstreams of a service and their state in this daemon."""

import math
from collections import deque
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from anyio.abc import TaskGroup

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._connections import Connections
from cowslippond_core._failures import FailureRate
from cowslippond_core._rate_limit import RateLimit
from cowslippond_core._reach import ServiceReach
from cowslippond_core._vm import Vm, VmState
from cowslippond_core._warm_up import WarmUp, WarmUpPolicy

_LATENCY_WEIGHT = 0.2

# Recent grants stored per upstream. A load reading may not include them yet.
_MAX_GRANTS = 8


class Health:
    """The ejection state of an upstream."""

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until: Millis = 0
        self.is_on_probation = False


class Backoff:
    """The back-off of an upstream that refuses calls for lack of a free slot.

    ``full_since`` is when it began to refuse calls. It gets no calls until
    ``retry_at``.
    """

    def __init__(self) -> None:
        self.is_full = False
        self.full_since: Millis = 0
        self.retry_at: Millis = 0


class LoadReading(NamedTuple):
    """The load that an upstream reported.

    ``probed_at`` is when the request was sent and ``received_at`` when the
    report arrived, both on the clock, in milliseconds. ``slowness`` is how many
    times as long as usual work takes.
    """

    probed_at: Millis
    received_at: Millis
    running: int
    waiting: int
    slots: int
    slowness: float
    is_healthy: bool


class LoadState:
    """The known load of an upstream.

    ``reading`` is the latest load reading and ``probe_time`` the time that a
    probe takes. ``grant_times`` are the times at which this daemon placed calls
    on the upstream, in milliseconds. ``rate_limit`` is set while the upstream
    announces a limit. It wants no calls before ``paused_until``, in milliseconds.
    ``warm_up`` is ``None`` if the service does not limit calls to cold upstreams.
    """

    def __init__(self) -> None:
        self.reading: LoadReading | None = None
        self.probe_time: Millis = 0
        self.grant_times: deque[Millis] = deque(maxlen=_MAX_GRANTS)
        self.rate_limit: RateLimit | None = None
        self.paused_until: Millis = 0
        self.warm_up: WarmUp | None = None

    def has_limit(self) -> bool:
        """Tell whether a rate limit or a warm-up restricts the calls."""
        if self.rate_limit is not None:
            return True
        warm_up = self.warm_up
        return (
            warm_up is not None
            and warm_up.limit is not None
            and not warm_up.is_presumed
        )

    def wait(self, ahead: int, now: Millis) -> Millis:
        """Return how long pause, limit and warm-up delay a call.

        :param ahead: the number of calls that are sent before it.
        :return: in milliseconds; infinity if this daemon has no share.
        """
        wait = max(self.paused_until - now, 0)
        if self.rate_limit is not None:
            wait = max(wait, self.rate_limit.wait(ahead, now))
        if self.warm_up is not None:
            wait = max(wait, self.warm_up.wait(ahead, now))
        return wait

    def record_grant(self, now: Millis) -> None:
        """Count a call that this daemon placed on the upstream."""
        self.grant_times.append(now)
        if self.rate_limit is not None:
            self.rate_limit.take(now)
        if self.warm_up is not None and self.warm_up.limit is not None:
            self.warm_up.limit.take(now)


class Upstream:
    """One upstream VM and its state in this daemon.

    ``latency`` is a moving average in milliseconds. ``answered_at`` is when the
    upstream last answered any call, and ``warmed_up_at`` when it reaches its
    full speed, both in milliseconds on the clock.

    :param vm: its entry in the VM list.
    :param connections: the connections to it.
    :param reach: records whether the upstreams of its service answer.
    """

    def __init__(
        self,
        vm: Vm,
        connections: Connections,
        reach: ServiceReach | None = None,
    ) -> None:
        self.vm = vm
        self.reach = reach or ServiceReach(
            lambda: {vm.address: vm.failure_domain}, vm.service
        )
        self.address = vm.address
        self.failure_domain = vm.failure_domain
        self.connections = connections
        self.chosen_at: Millis = -math.inf
        self.in_flight = 0
        self.latency: Millis = 0
        self.answer_count = 0
        self.answered_at: Millis = 0
        self.health = Health()
        self.backoff = Backoff()
        self.is_removed = False
        self.load_state = LoadState()
        self.failures = FailureRate()
        self.warmed_up_at: Millis = connections.clock.now() + vm.warm_up

    def update_entry(self, vm: Vm) -> None:
        """Apply a new entry of the same incarnation, which may be cold again."""
        if self.load_state.warm_up is not None:
            self.vm = vm

    def record_latency(self, latency: Millis) -> None:
        """Add the latency of a successful call to the moving average."""
        self.answer_count += 1
        if self.answer_count == 1:
            self.latency = latency
            return
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)


class UpstreamSet:
    """The upstreams of one service, synchronized with the VM list.

    :param tasks: runs the tasks that read from connections.
    :param clock: the clock of the connections.
    :param connection_limit: the maximum number of connections per upstream.
    :param service: the name of the service, for the log.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        clock: Clock,
        connection_limit: int,
        service: str = '',
    ) -> None:
        self.tasks = tasks
        self.clock = clock
        self.connection_limit = connection_limit
        self.by_address: dict[str, Upstream] = {}
        self.warm_up_policy: WarmUpPolicy | None = None
        # Upstreams in these failure domains get no calls, so that they cannot show
        # whether the service is within reach.
        self.evacuated: AbstractSet[str] = frozenset()
        self.reach = ServiceReach(self._list_domains, service)

    def update(self, vms: Iterable[Vm]) -> None:
        """Replace the upstreams by the live VMs of the VM list.

        An address with a different incarnation is a new upstream.

        :param vms: the entries of this service only.
        """
        previous = self.by_address
        self.by_address = {}
        for vm in vms:
            if vm.state is not VmState.LIVE:
                continue
            upstream = previous.pop(vm.address, None)
            if upstream and upstream.vm.incarnation == vm.incarnation:
                upstream.update_entry(vm)
                self.by_address[vm.address] = upstream
                continue
            if upstream is not None:
                _retire(upstream)
            self.by_address[vm.address] = self._make(vm)
        for removed in previous.values():
            _retire(removed)

    def limit_connections(self, limit: int) -> None:
        """Change the maximum number of connections per upstream."""
        self.connection_limit = limit
        for upstream in self.by_address.values():
            upstream.connections.limit = limit

    def set_warm_up(self, policy: WarmUpPolicy | None) -> None:
        """Change how the upstreams warm up.

        :param policy: ``None`` if calls to cold ones are not limited.
        """
        self.warm_up_policy = policy
        for upstream in self.by_address.values():
            state = upstream.load_state
            if policy is None:
                state.warm_up = None
            elif state.warm_up is None:
                state.warm_up = WarmUp(policy)
            else:
                state.warm_up.policy = policy

    def count_allowed(self) -> int:
        """Return how many connections this daemon may have to all of them."""
        return self.connection_limit * len(self.by_address)

    def _make(self, vm: Vm) -> Upstream:
        connections = Connections(
            vm.address, self.tasks, self.clock, self.connection_limit
        )
        upstream = Upstream(vm, connections, self.reach)
        if self.warm_up_policy is not None:
            upstream.load_state.warm_up = WarmUp(self.warm_up_policy)
        return upstream

    def _list_domains(self) -> dict[str, str]:
        return {
            address: upstream.failure_domain
            for address, upstream in self.by_address.items()
            if upstream.failure_domain not in self.evacuated
        }


def _retire(upstream: Upstream) -> None:
    upstream.is_removed = True
    upstream.connections.retire()
