"""Selects the upstreams that a call may get and those worth probing."""

import heapq
import math
import random
import statistics
from collections.abc import Callable, Container
from collections.abc import Set as AbstractSet
from typing import NamedTuple

import xxhash

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core._warm_up import WARMTH_MAX_AGE
from cowslippond_core.placing._pending_call import Grant, PendingCall
from cowslippond_core.placing._slowdown import (
    GRANT_LAG,
    expected_slowdown,
    penalty,
)

# An upstream that did not answer a probe is not probed again for this long,
# doubled after each further failure.
_INITIAL_BACKOFF: Millis = 100
_MAX_DOUBLINGS = 5

# How long an outdated load reading still helps to order the upstreams to probe;
# their speeds change about every 150 ms.
_HINT_MAX_AGE: Millis = 80

# The number of upstreams that a daemon probes, in its own failure domain and in
# all others. Fixed subsets make the connection count grow with the number of
# daemons instead of daemons times upstreams. Half as many remote upstreams
# would still let every call meet its objective.
_LOCAL_SUBSET = 8
_REMOTE_SUBSET = 4
_SEED_BITS = 32

# An upstream in another failure domain is only preferred if it is faster by
# more than this factor.
_REMOTE_COST = 1.2

# How often the failure baseline of the service is recomputed; much shorter than
# the half-life of failure evidence.
_BASELINE_INTERVAL: Millis = 200

# If all load readings are older than this, no new ones are expected.
_NO_READING_AGE: Millis = 1000

# The weight of a new reading in the fraction of free upstreams, and the fraction
# from which a call may be sent without a reading. Full upstreams drop calls.
_FREE_RATIO_WEIGHT = 0.1
_MIN_FREE_RATIO = 0.9

# An upstream that is expected to be slower than this because of failures is
# avoided while there are others.
_FAILING_PENALTY = 2

# The assumed slowdown of an upstream whose load is not known.
_UNKNOWN_LOAD_SLOWDOWN = 1.6


class FleetView(NamedTuple):
    """Information about this daemon and the others for placing.

    ``failure_domain`` is that of this daemon. ``count_daemons`` returns how
    many daemons share the upstreams. ``is_leaving`` tells whether the upstream
    at an address is leaving and must not get new calls. ``evacuated`` are the
    failure domains whose upstreams must not get any.
    """

    failure_domain: str
    count_daemons: Callable[[], int]
    is_leaving: Callable[[str], bool]
    evacuated: AbstractSet[str] = frozenset()


class _ProbeFailures(NamedTuple):
    """The number of consecutive failed probes, and when to probe again."""

    times: int
    until: Millis


_NO_PROBE_FAILURES = _ProbeFailures(0, 0)


class UpstreamSelector:
    """Chooses among the upstreams of a service.

    :param upstreams: the upstreams of the service.
    :param fleet: information about the daemons.
    :param rng: breaks ties and seeds this daemon's subset.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        fleet: FleetView,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.fleet = fleet
        self.rng = rng
        self.probe_failures: dict[str, _ProbeFailures] = {}
        self.seed = rng.getrandbits(_SEED_BITS)
        self.baseline_updated_at: Millis = -math.inf
        self.free_ratio: float = 1

    def eligible(self, excluded: Container[str]) -> list[Upstream]:
        """Return the upstreams that a call may get, whatever their load.

        :param excluded: the addresses that the call must not get.
        """
        return [
            upstream
            for upstream in self._usable()
            if upstream.address not in excluded
        ]

    def acceptance_wait(
        self, excluded: Container[str], ahead: int, now: Millis
    ) -> Millis:
        """Return how long pauses and rate limits of upstreams delay a call.

        :param excluded: the addresses that the call must not get.
        :param ahead: the number of calls that are sent before it.
        :return: a time in milliseconds, 0 if an upstream without either is
            eligible or none is eligible at all, and infinity if this daemon
            has no share of any limit.
        """
        if self._has_unrestricted(excluded, now):
            return 0
        upstreams = self.eligible(excluded)
        # The waits until each upstream accepts its next call, shortest first.
        waits = [
            (upstream.load_state.wait(0, now), 0, index)
            for index, upstream in enumerate(upstreams)
        ]
        heapq.heapify(waits)
        for _ in range(ahead if waits else 0):
            _, sent, index = waits[0]
            upstream = upstreams[index]
            if not upstream.load_state.has_limit():
                break
            later = upstream.load_state.wait(sent + 1, now)
            heapq.heapreplace(waits, (later, sent + 1, index))
        return waits[0][0] if waits else 0

    def update_failure_baseline(self, now: Millis) -> None:
        """Set the failure baseline to the median rate of all upstreams.

        Also learn whether all of them are cold.
        """
        if now - self.baseline_updated_at < _BASELINE_INTERVAL:
            return
        self.baseline_updated_at = now
        upstreams = self.upstreams.by_address.values()
        if not upstreams:
            return
        usual = statistics.median_low(
            upstream.failures.current_rate(now) for upstream in upstreams
        )
        is_any_warm = any(one.warmed_up_at <= now for one in upstreams)
        for upstream in upstreams:
            upstream.failures.baseline = usual
            if upstream.load_state.warm_up is not None:
                upstream.load_state.warm_up.has_warm_peers = is_any_warm

    def best(self, call: PendingCall, now: Millis) -> Grant | None:
        """Return the fastest upstream that has a free slot.

        Only upstreams with a fresh load reading are considered.
        """
        best: Grant | None = None
        least = math.inf
        for upstream in self._available(call, now, WARMTH_MAX_AGE):
            slowdown = expected_slowdown(upstream, now)
            reading = upstream.load_state.reading
            if slowdown is None or reading is None:
                continue
            cost = slowdown * self._distance_cost(upstream)
            if cost < least:
                least = cost
                best = Grant(upstream, slowdown, now - reading.received_at)
        return best

    def count_local(self) -> int:
        """Return the number of upstreams in this daemon's failure domain."""
        own_domain = self.fleet.failure_domain
        return sum(
            upstream.failure_domain == own_domain
            for upstream in self.upstreams.by_address.values()
        )

    def lacks_readings(self, now: Millis) -> bool:
        """Tell whether no upstream has reported its load recently."""
        readings = [
            upstream.load_state.reading
            for upstream in self.upstreams.by_address.values()
        ]
        return all(
            reading is None or now - reading.received_at > _NO_READING_AGE
            for reading in readings
        )

    def is_mostly_free(self) -> bool:
        """Tell whether nearly all recent readings showed a free slot."""
        return self.free_ratio >= _MIN_FREE_RATIO

    def least_recent_idle(
        self, call: PendingCall, now: Millis, warmth_max_age: Millis
    ) -> Grant | None:
        """Return the idle upstream that was chosen least recently.

        Idle means that no call of this daemon is in flight there, or about to
        be sent; the load is not known. Failing upstreams come last.

        :param warmth_max_age: for how long what a warm upstream has said is
            valid.
        """
        idle = [
            upstream
            for upstream in self._available(call, now, warmth_max_age)
            if upstream.in_flight == 0
            and now - upstream.chosen_at > GRANT_LAG
            and not self._is_backing_off(upstream, now)
        ]
        if not idle:
            return None
        # Daemons that have just started have chosen none yet; they must not all
        # begin with the same upstream.
        self.rng.shuffle(idle)
        chosen = min(
            idle,
            key=lambda one: (
                penalty(one, now) >= _FAILING_PENALTY,
                one.chosen_at,
            ),
        )
        slowdown = _UNKNOWN_LOAD_SLOWDOWN * penalty(chosen, now)
        return Grant(chosen, slowdown, None)

    def probe_targets(
        self, limit: int, now: Millis, *, is_local: bool
    ) -> list[Upstream]:
        """Return the upstreams to probe next, those likely to be free first.

        :param limit: the maximum number to return.
        :param is_local: whether to return upstreams in this daemon's failure
            domain, or those in all others.
        """
        own_domain = self.fleet.failure_domain
        targets = []
        for upstream in self._usable():
            if (upstream.failure_domain == own_domain) is not is_local:
                continue
            if self._is_backing_off(upstream, now):
                continue
            if not accepts_calls(upstream, now):
                continue
            if expected_slowdown(upstream, now) is None:
                targets.append(upstream)
        targets.sort(key=self._subset_rank)
        targets = targets[: _LOCAL_SUBSET if is_local else _REMOTE_SUBSET]
        self.rng.shuffle(targets)
        targets.sort(key=lambda one: _expected_load(one, now))
        return targets[:limit]

    def record_probe(
        self, upstream: Upstream, now: Millis, *, is_answered: bool
    ) -> None:
        """Record whether a probe was answered, and back off if it was not."""
        if is_answered:
            self.probe_failures.pop(upstream.address, None)
            self._record_reading(upstream)
            return
        times, _ = self.probe_failures.get(upstream.address, _NO_PROBE_FAILURES)
        backoff = _INITIAL_BACKOFF * 2 ** min(times, _MAX_DOUBLINGS)
        self.probe_failures[upstream.address] = _ProbeFailures(
            times + 1, now + backoff
        )

    def _record_reading(self, upstream: Upstream) -> None:
        reading = upstream.load_state.reading
        if reading is None:
            return
        is_free = reading.running + reading.waiting < reading.slots
        self.free_ratio += _FREE_RATIO_WEIGHT * (is_free - self.free_ratio)

    def _subset_rank(self, upstream: Upstream) -> int:
        """Return a rank that is stable but differs between daemons."""
        return xxhash.xxh32_intdigest(upstream.vm.name.encode(), self.seed)

    def _distance_cost(self, upstream: Upstream) -> float:
        is_local = upstream.failure_domain == self.fleet.failure_domain
        return 1 if is_local else _REMOTE_COST

    def _usable(self) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams.by_address.values()
            if _is_usable(upstream, self.fleet)
        ]

    def _has_unrestricted(self, excluded: Container[str], now: Millis) -> bool:
        """Tell whether an eligible upstream neither pauses nor has a limit.

        Nearly always the first one is, so not all are visited for each call.
        """
        for upstream in self.upstreams.by_address.values():
            state = upstream.load_state
            if state.paused_until > now or state.has_limit():
                continue
            if upstream.address not in excluded and _is_usable(
                upstream, self.fleet
            ):
                return True
        return False

    def _available(
        self, call: PendingCall, now: Millis, warmth_max_age: Millis
    ) -> list[Upstream]:
        """Return the eligible upstreams that accept a call now."""
        return [
            upstream
            for upstream in self.eligible(call.excluded)
            if accepts_calls(upstream, now)
            and _is_admitted(upstream, now, warmth_max_age)
        ]

    def _is_backing_off(self, upstream: Upstream, now: Millis) -> bool:
        return (
            self.probe_failures.get(upstream.address, _NO_PROBE_FAILURES).until
            > now
        )


def _is_usable(upstream: Upstream, fleet: FleetView) -> bool:
    if upstream.failure_domain in fleet.evacuated:
        return False
    is_leaving = fleet.is_leaving(upstream.address)
    return not is_leaving and upstream.connections.has_room()


def accepts_calls(upstream: Upstream, now: Millis) -> bool:
    """Tell whether the upstream's pause and limits allow a call now."""
    return upstream.load_state.wait(0, now) <= 0


def may_get_call(upstream: Upstream, fleet: FleetView, now: Millis) -> bool:
    """Tell whether an upstream that was just probed may get a call."""
    if upstream.failure_domain in fleet.evacuated:
        return False
    if fleet.is_leaving(upstream.address):
        return False
    return accepts_calls(upstream, now) and _is_admitted(
        upstream, now, WARMTH_MAX_AGE
    )


def are_evacuated(upstreams: UpstreamSet, fleet: FleetView) -> bool:
    """Tell whether all upstreams are in evacuated failure domains."""
    if not fleet.evacuated or not upstreams.by_address:
        return False
    return all(
        upstream.failure_domain in fleet.evacuated
        for upstream in upstreams.by_address.values()
    )


def _is_admitted(upstream: Upstream, now: Millis, max_age: Millis) -> bool:
    """Tell whether the warm-up of an upstream, if it has any, allows a call."""
    warm_up = upstream.load_state.warm_up
    return warm_up is None or warm_up.admits(now, max_age)


def _expected_load(upstream: Upstream, now: Millis) -> float:
    """Return a rank that is lower the likelier an upstream is free and fast."""
    rank = upstream.in_flight + penalty(upstream, now)
    reading = upstream.load_state.reading
    if reading is not None and now - reading.received_at < _HINT_MAX_AGE:
        rank += reading.slowness - 1 + reading.running / max(reading.slots, 1)
    return rank
