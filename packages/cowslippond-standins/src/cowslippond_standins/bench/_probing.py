"""A baseline policy that probes upstreams and pools the recent results.

The selection rule is that of Prequal (Wydrowski et al., "Load is not what you
should balance", NSDI 2024). An upstream is hot if its calls in flight exceed a
quantile of the recent samples. Of the upstreams in the pool that are not hot,
the one with the lowest latency is chosen; if all are hot, the one with the
fewest calls in flight.
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
_MIN_POOL_RESULTS = 2
_MAX_RESULT_AGE: Millis = 1000
_HOT_QUANTILE = 0.84
_IN_FLIGHT_SAMPLES = 64
_PATH = '/load'
_TIMEOUT_KINDS = ('connect', 'read', 'write', 'pool')
_PROBE_TIMEOUT_SECONDS = 1
_MAX_CONNECTIONS = 32
_PROBE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class ProbeResult(NamedTuple):
    """The load that an upstream reported in response to a probe."""

    address: str
    in_flight: int
    latency_ms: Millis
    received_at: Millis


class ProbingPolicy:
    """Choose among recently probed upstreams.

    :param clock: the clock that dates the results.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.pool: list[ProbeResult] = []
        self.in_flight_samples: collections.deque[int] = collections.deque(
            maxlen=_IN_FLIGHT_SAMPLES
        )
        self.probe_credit: float = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.http = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS
        )

    def choose(
        self, candidates: Sequence[Upstream], rng: random.Random
    ) -> Upstream:
        """Return the upstream to send to, and start the probes that are due.

        Each pooled result is used for one call only. If too few results are
        usable, the choice is random.
        """
        self.probe_credit += _PROBES_PER_CALL
        while self.probe_credit >= 1:
            self.probe_credit -= 1
            self._start_probe(rng.choice(candidates).address)
        by_address = {candidate.address: candidate for candidate in candidates}
        min_received_at = self.clock.now() - _MAX_RESULT_AGE
        self.pool = [
            one for one in self.pool if one.received_at > min_received_at
        ]
        usable = [one for one in self.pool if one.address in by_address]
        if len(usable) < _MIN_POOL_RESULTS:
            return rng.choice(candidates)
        best = self._select_best(usable)
        self.pool.remove(best)
        return by_address[best.address]

    def _select_best(self, usable: Sequence[ProbeResult]) -> ProbeResult:
        sorted_samples = sorted(self.in_flight_samples)
        hot_threshold = sorted_samples[int(len(sorted_samples) * _HOT_QUANTILE)]
        cold = [one for one in usable if one.in_flight <= hot_threshold]
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
                extensions={
                    'timeout': dict.fromkeys(
                        _TIMEOUT_KINDS, _PROBE_TIMEOUT_SECONDS
                    )
                },
            )
        except _PROBE_ERRORS:
            return
        report = orjson.loads(answer.content)
        self.in_flight_samples.append(report['in_flight'])
        self.pool.append(
            ProbeResult(
                address,
                report['in_flight'],
                report['latency_ms'],
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
