"""Probe-based routing, used as a baseline in benchmarks.

Implements the rule of Wydrowski et al., "Load is not what you should balance:
Introducing Prequal" (NSDI 2024): from a pool of recent probe results, the
upstream with the lowest latency is chosen among those with few calls in
flight.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from cowslippond_core._clock import Clock, Millis, seconds_of
from cowslippond_core._exchange import Exchange
from cowslippond_core._headers import LOAD_REPORT
from cowslippond_core._messages import HeaderList
from cowslippond_core._routing import after_send, pick
from cowslippond_core._upstreams import Upstream

_POOL_SIZE = 16
_MIN_RESULTS = 2
_MAX_RESULT_AGE: Millis = 1000
_PROBE_TIMEOUT: Millis = 100
_HOT_QUANTILE = 0.84
_MAX_USES = 3
_REPORT = LOAD_REPORT.encode()
_IN_FLIGHT = b'named_metrics.in_flight'
_PROBE = b'GET /load HTTP/1.1\r\nhost: probe\r\n\r\n'


class ProbeResult(NamedTuple):
    """The result of one probe."""

    upstream: Upstream
    in_flight: float
    probed_at: Millis
    uses_left: int


class ProbePool:
    """The recent probe results of one sender.

    :param clock: used for the age of results.
    :param probes_per_call: mean number of probes per send.
    """

    def __init__(self, clock: Clock, probes_per_call: float) -> None:
        self.clock = clock
        self.probes_per_call = probes_per_call
        self.probes_due: float = 0
        self.probe_count = 0
        self.pool: list[ProbeResult] = []

    def usable_results(
        self, candidates: Sequence[Upstream]
    ) -> list[ProbeResult]:
        """Drop expired results, and return those for the candidates."""
        oldest = self.clock.now() - _MAX_RESULT_AGE
        self.pool = [one for one in self.pool if one.probed_at >= oldest]
        return [one for one in self.pool if one.upstream in candidates]

    def record_use(self, chosen: ProbeResult) -> None:
        """Record that a result was used to route a call.

        The call is added to the result's calls in flight. The result is
        dropped when it has no uses left.
        """
        self.pool.remove(chosen)
        if chosen.uses_left > 1:
            self.pool.append(
                chosen._replace(
                    in_flight=chosen.in_flight + 1,
                    uses_left=chosen.uses_left - 1,
                )
            )

    async def probe(self, upstream: Upstream) -> None:
        """Probe the load of an upstream and store the result."""
        self.probe_count += 1
        acquired = await upstream.connections.acquire(is_fresh=False)
        if acquired.is_error():
            return
        connection = acquired.ok
        exchange = Exchange(is_head=False)
        connection.begin_call(exchange)
        with anyio.move_on_after(seconds_of(_PROBE_TIMEOUT)):
            await connection.send(_PROBE)
            while await exchange.next_chunk():
                exchange.chunks.clear()
        if connection.end_call():
            upstream.connections.release(connection)
        if not exchange.is_complete:
            return
        in_flight = read_in_flight(tuple(exchange.headers))
        if in_flight is not None:
            now = self.clock.now()
            self._add(ProbeResult(upstream, in_flight, now, _MAX_USES))

    def _add(self, probe_result: ProbeResult) -> None:
        if len(self.pool) >= _POOL_SIZE:
            self.pool.pop(0)
        self.pool.append(probe_result)


def read_in_flight(headers: HeaderList) -> float | None:
    """Return the number of calls in flight that an upstream reports.

    :param headers: headers of its answer, with names in lower case.
    """
    report = dict(headers).get(_REPORT, b'').removeprefix(b'TEXT')
    for field in report.split(b','):
        name, _, number = field.strip().partition(b'=')
        if name == _IN_FLIGHT and number.isdigit():
            return float(number)
    return None


@pick.register
def _pick_probed(
    policy: ProbePool, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    usable = policy.usable_results(candidates)
    if len(usable) < _MIN_RESULTS:
        return rng.choice(candidates)
    counts = sorted(one.in_flight for one in usable)
    hot_above = counts[int(len(counts) * _HOT_QUANTILE)]
    cold = [one for one in usable if one.in_flight < hot_above]
    chosen = min(cold, key=_latency) if cold else min(usable, key=_in_flight)
    policy.record_use(chosen)
    return chosen.upstream


@after_send.register
def _probe_after_send(
    policy: ProbePool, candidates: Sequence[Upstream], rng: random.Random
) -> None:
    policy.probes_due += policy.probes_per_call
    while policy.probes_due >= 1:
        policy.probes_due -= 1
        upstream = rng.choice(candidates)
        upstream.connections.tasks.start_soon(policy.probe, upstream)


def _latency(probe_result: ProbeResult) -> Millis:
    return probe_result.upstream.latency


def _in_flight(probe_result: ProbeResult) -> float:
    return probe_result.in_flight
