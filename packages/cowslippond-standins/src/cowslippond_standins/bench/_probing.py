"""A baseline: probing with a pool of recent results.

The rule is the one published for Prequal (Wydrowski et al., "Load is not what
you should balance", NSDI 2024): among the probed upstreams whose calls in
flight are not above a quantile, take the one with the least latency; if all
are above it, take the one with the fewest calls in flight.
"""

import asyncio
import collections
import random
from collections.abc import Sequence
from typing import NamedTuple

import httpcore
import orjson
from cowslippond_core import Clock, Millis
from cowslippond_core._routing import pick
from cowslippond_core._upstreams import Upstream

_PROBES_PER_CALL = 0.3
_POOL_SIZE = 16
_FEWEST = 2
_OLDEST: Millis = 1000
_HOT_QUANTILE = 0.84
_RECENT = 64
_PATH = '/load'
_WAITS = ('connect', 'read', 'write', 'pool')
_PATIENCE = 1
_MAX_CONNECTIONS = 32
_FAILED = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class ProbeResult(NamedTuple):
    """What an upstream told of its load; times are in milliseconds."""

    address: str
    in_flight: int
    latency_ms: Millis
    told_at: Millis


class ProbingPolicy:
    """Choose among recently probed upstreams.

    :param clock: tells the age of results.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.pool: list[ProbeResult] = []
        self.recent: collections.deque[int] = collections.deque(maxlen=_RECENT)
        self.owed: float = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.http = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS
        )

    def choose(
        self, candidates: Sequence[Upstream], rng: random.Random
    ) -> Upstream:
        """Return the upstream to send to, and start the probes it pays for."""
        self.owed += _PROBES_PER_CALL
        while self.owed >= 1:
            self.owed -= 1
            self._start_probe(rng.choice(candidates).address)
        by_address = {one.address: one for one in candidates}
        oldest = self.clock.now() - _OLDEST
        self.pool = [one for one in self.pool if one.told_at > oldest]
        usable = [one for one in self.pool if one.address in by_address]
        if len(usable) < _FEWEST:
            return rng.choice(candidates)
        best = self._best(usable)
        self.pool.remove(best)
        return by_address[best.address]

    def _best(self, usable: Sequence[ProbeResult]) -> ProbeResult:
        ordered = sorted(self.recent)
        hot_above = ordered[int(len(ordered) * _HOT_QUANTILE)]
        cold = [one for one in usable if one.in_flight <= hot_above]
        if cold:
            return min(cold, key=_latency)
        return min(usable, key=_in_flight)

    def _start_probe(self, address: str) -> None:
        task = asyncio.get_running_loop().create_task(self._probe(address))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, address: str) -> None:
        try:
            answer = await self.http.request(
                'GET',
                f'http://{address}{_PATH}',
                extensions={'timeout': dict.fromkeys(_WAITS, _PATIENCE)},
            )
        except _FAILED:
            return
        told = orjson.loads(answer.content)
        self.recent.append(told['in_flight'])
        self.pool.append(
            ProbeResult(
                address,
                told['in_flight'],
                told['latency_ms'],
                self.clock.now(),
            )
        )
        self.pool = self.pool[-_POOL_SIZE:]


@pick.register
def _pick_probed(
    policy: ProbingPolicy, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    return policy.choose(candidates, rng)


def _latency(result: ProbeResult) -> Millis:
    return result.latency_ms


def _in_flight(result: ProbeResult) -> int:
    return result.in_flight
