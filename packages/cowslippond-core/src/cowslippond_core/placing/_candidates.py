"""Which upstreams a call may get, and which of them are worth a reading."""

import math
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Upstream, UpstreamSet
from cowslippond_core.placing._pending_call import Grant, PendingCall
from cowslippond_core.placing._slowdown import expected_slowdown, penalty

# An upstream that did not answer a reading is left out for this long, doubled
# each time, in milliseconds.
_UNREAD_PAUSE: Millis = 100
_MOST_DOUBLINGS = 5

# How long an old reading still says something of an upstream's speed, in
# milliseconds; speeds change about every 150 ms.
_HINT_AGE: Millis = 80

# How many upstreams a daemon reads in turn, of its own failure domain and of the
# others. So connections grow with the daemons and not with daemons times
# upstreams; half as many far ones cost no call its objective in the model.
_NEAR_PART = 8
_FAR_PART = 4
_SEED_BITS = 32

# An upstream of another failure domain has to be this much faster.
_FAR_COST = 1.2

# The time between two looks at how many calls fail at all upstreams alike, in
# milliseconds: a part of the time in which failures are forgotten.
_USUAL_INTERVAL: Millis = 200

# Readings older than this no longer tell that there will be new ones, in
# milliseconds.
_BLIND_AGE: Millis = 1000

# What an upstream of unknown load is taken for.
_GUESSED_FACTOR = 1.6


class Fleet(NamedTuple):
    """What placing needs to know of the other daemons and of this one.

    ``count_daemons`` returns how many daemons share the upstreams.
    ``is_leaving`` tells which addresses get no new work.
    """

    failure_domain: str
    count_daemons: Callable[[], int]
    is_leaving: Callable[[str], bool]


class _Unread(NamedTuple):
    """Readings in a row that failed, and until when no more are taken."""

    times: int
    until: Millis


_READ = _Unread(0, 0)


class Candidates:
    """The upstreams of a service as far as placing goes.

    :param upstreams: of the service.
    :param fleet: what is known of the daemons.
    :param rng: breaks ties.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.fleet = fleet
        self.rng = rng
        self.unread: dict[str, _Unread] = {}
        self.seed = rng.getrandbits(_SEED_BITS)
        self.compared_at: Millis = -math.inf

    def eligible(self, ask: PendingCall) -> list[Upstream]:
        """Return the upstreams that a call may get, whatever their load."""
        return [
            upstream
            for upstream in self._usable()
            if upstream.address not in ask.excluded
        ]

    def update_usual_failures(self, now: Millis) -> None:
        """Learn which share of failures is common at all upstreams."""
        if now - self.compared_at < _USUAL_INTERVAL:
            return
        self.compared_at = now
        upstreams = self.upstreams.by_address.values()
        if not upstreams:
            return
        usual = statistics.median_low(
            upstream.failures.share(now) for upstream in upstreams
        )
        for upstream in upstreams:
            upstream.failures.usual = usual

    def best(self, ask: PendingCall, now: Millis) -> Grant | None:
        """Return the fastest upstream with a free slot by fresh readings."""
        best: Grant | None = None
        least = math.inf
        for upstream in self.eligible(ask):
            factor = expected_slowdown(upstream, now)
            reading = upstream.seen.reading
            if factor is None or reading is None:
                continue
            cost = factor * self._distance_cost(upstream)
            if cost < least:
                least = cost
                best = Grant(upstream, factor, now - reading.read_at)
        return best

    def count_local(self) -> int:
        """Return how many upstreams the own failure domain has."""
        home = self.fleet.failure_domain
        return sum(
            upstream.failure_domain == home
            for upstream in self.upstreams.by_address.values()
        )

    def lacks_readings(self, now: Millis) -> bool:
        """Tell whether no upstream has told its load for long."""
        readings = [
            upstream.seen.reading
            for upstream in self.upstreams.by_address.values()
        ]
        return all(
            reading is None or now - reading.read_at > _BLIND_AGE
            for reading in readings
        )

    def least_recent_idle(self, ask: PendingCall, now: Millis) -> Grant | None:
        """Return an upstream of unknown load that has no call of ours."""
        idle = [
            upstream
            for upstream in self.eligible(ask)
            if upstream.in_flight == 0 and not self._is_unread(upstream, now)
        ]
        if not idle:
            return None
        chosen = min(idle, key=lambda one: (one.chosen_at, one.address))
        factor = _GUESSED_FACTOR * penalty(chosen, now)
        return Grant(chosen, factor, None)

    def probe_targets(
        self, wanted: int, now: Millis, *, is_local: bool
    ) -> list[Upstream]:
        """Return the upstreams to read next, those with most promise first.

        :param wanted: the most to return.
        :param is_near: whether to return those of the own failure domain, or
            those of all others.
        """
        home = self.fleet.failure_domain
        promising = []
        for upstream in self._usable():
            if (upstream.failure_domain == home) is not is_local:
                continue
            if self._is_unread(upstream, now):
                continue
            if expected_slowdown(upstream, now) is None:
                promising.append(upstream)
        promising.sort(key=self._own_rank)
        promising = promising[: _NEAR_PART if is_local else _FAR_PART]
        self.rng.shuffle(promising)
        promising.sort(key=lambda one: _expected_load(one, now))
        return promising[:wanted]

    def record_probe(
        self, upstream: Upstream, now: Millis, *, is_answered: bool
    ) -> None:
        """Note whether a reading was answered."""
        if is_answered:
            self.unread.pop(upstream.address, None)
            return
        times, _ = self.unread.get(upstream.address, _READ)
        pause = _UNREAD_PAUSE * 2 ** min(times, _MOST_DOUBLINGS)
        self.unread[upstream.address] = _Unread(times + 1, now + pause)

    def _own_rank(self, upstream: Upstream) -> int:
        """Return a rank that differs from daemon to daemon and stays."""
        return xxhash.xxh32_intdigest(upstream.vm.name.encode(), self.seed)

    def _distance_cost(self, upstream: Upstream) -> float:
        is_near = upstream.failure_domain == self.fleet.failure_domain
        return 1 if is_near else _FAR_COST

    def _usable(self) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams.by_address.values()
            if not self.fleet.is_leaving(upstream.address)
            and upstream.connections.has_room()
        ]

    def _is_unread(self, upstream: Upstream, now: Millis) -> bool:
        return self.unread.get(upstream.address, _READ).until > now


def _expected_load(upstream: Upstream, now: Millis) -> float:
    """Return a rank of how unlikely an upstream is to be free and fast."""
    rank = upstream.in_flight + penalty(upstream, now)
    reading = upstream.seen.reading
    if reading is not None and now - reading.read_at < _HINT_AGE:
        rank += reading.slowness - 1 + reading.running / max(reading.slots, 1)
    return rank
