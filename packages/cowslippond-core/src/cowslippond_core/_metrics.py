"""Counters, sent to statsd in batches and kept for the status page."""

import bisect
import enum
from collections import Counter
from typing import Any

import lazy_loader

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._reasons import RefusalReason, RetryReason

# Imported by the daemons that send to it only.
_statsd = lazy_loader.load('statsd')

#: The time between two batches, in milliseconds.
FLUSH_INTERVAL: Millis = 1000

# Timings of one name in one batch; further ones are left out of the batch.
_MAX_TIMINGS = 200


#: Upper bounds of the buckets of time spans, in milliseconds.
BUCKET_BOUNDS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


class Metric(enum.StrEnum):
    """Counters and gauges besides those of refusals and retries."""

    CALLS = 'calls'
    CALL_MS = 'call_ms'
    STORE_READS = 'store.reads'
    STORE_ERRORS = 'store.errors'
    VM_LIST_READS = 'vm_list.reads'
    VM_LIST_ERRORS = 'vm_list.errors'
    DOCUMENTS_IN_FORCE = 'catalogue.documents'
    DOCUMENTS_UNREADABLE = 'catalogue.unreadable'
    REVISION = 'catalogue.revision'
    CONFIRMED_AGE_MS = 'catalogue.confirmed_age_ms'
    GOSSIP_EXCHANGES = 'gossip.exchanges'
    GOSSIP_FAILURES = 'gossip.failures'
    GOSSIP_BYTES_SENT = 'gossip.bytes_sent'
    GOSSIP_BYTES_RECEIVED = 'gossip.bytes_received'
    DAEMONS_KNOWN = 'gossip.daemons_known'
    UPSTREAMS_LEAVING = 'upstreams.leaving'
    MEASURING_CALLS = 'measuring.calls'
    QUEUE_MS = 'queue_ms'
    READING_AGE_MS = 'reading_age_ms'
    CONFIGURATION = 'configuration.version'
    UPSTREAMS_KNOWN = 'upstreams.known'


def refusal_name(reason: RefusalReason) -> str:
    """Return the counter of a refusal reason."""
    return f'refusals.{reason.value}'


def retry_name(reason: RetryReason) -> str:
    """Return the counter of a retry reason."""
    return f'retries.{reason.value}'


class Histogram:
    """Counts of time spans in fixed buckets, in milliseconds."""

    def __init__(self) -> None:
        self.counts = [0 for _ in (*BUCKET_BOUNDS, 0)]
        self.total: Millis = 0

    def observe(self, duration: Millis) -> None:
        """Count a span."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS, duration)] += 1
        self.total += duration

    def render(self, name: str) -> list[str]:
        """Return the lines of the text format; counts add up over buckets."""
        lines = [f'# TYPE {name} histogram']
        cumulative = 0
        for bound, count in zip(
            (*BUCKET_BOUNDS, '+Inf'), self.counts, strict=True
        ):
            cumulative += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f'{name}_sum {round(self.total, 1)}')
        lines.append(f'{name}_count {cumulative}')
        return lines


class Metrics:
    """Counters, gauges and timings of one daemon.

    Counts and gauges are kept in the process and sent once a batch, so the
    cost of a call doesn't grow with their number.

    :param address: ``ip:port`` of statsd; empty sends nothing.
    :param prefix: the first part of each name.
    """

    def __init__(self, address: str, prefix: str = 'cowslippond') -> None:
        self.totals: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.unsent_counts: Counter[str] = Counter()
        self.timings: dict[str, list[Millis]] = {}
        self.histograms: dict[str, Histogram] = {}
        self.prefix = prefix
        self.client: Any = None
        if address:
            host, _, port = address.rpartition(':')
            self.client = _statsd.StatsClient(host, int(port), prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += amount
        self.unsent_counts[name] += amount

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a final answer of the load balancer itself."""
        self.count(refusal_name(reason))

    def count_retry(self, reason: RetryReason) -> None:
        """Count a call that was sent again, or a copy."""
        self.count(retry_name(reason))

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self.gauges[name] = level

    def timing(self, name: str, duration: Millis) -> None:
        """Record a time span, in milliseconds."""
        self.histograms.setdefault(name, Histogram()).observe(duration)
        if self.client is None:
            return
        durations = self.timings.setdefault(name, [])
        if len(durations) < _MAX_TIMINGS:
            durations.append(duration)

    def render(self) -> str:
        """Return all figures in the text format of Prometheus."""
        lines: list[str] = []
        for counter, count in sorted(self.totals.items()):
            name = self._prometheus_name(counter)
            lines += [f'# TYPE {name} counter', f'{name} {count}']
        for gauge, level in sorted(self.gauges.items()):
            name = self._prometheus_name(gauge)
            lines += [f'# TYPE {name} gauge', f'{name} {level}']
        for timer, histogram in sorted(self.histograms.items()):
            lines.extend(histogram.render(self._prometheus_name(timer)))
        return '\n'.join([*lines, ''])

    def flush(self) -> None:
        """Send what has gathered since the last batch."""
        counts = self.unsent_counts
        timings = self.timings
        self.unsent_counts = Counter()
        self.timings = {}
        if self.client is None:
            return
        batch = self.client.pipeline()
        for name, amount in counts.items():
            batch.incr(name, amount)
        for gauge, level in self.gauges.items():
            batch.gauge(gauge, level)
        for timer, durations in timings.items():
            for duration in durations:
                batch.timing(timer, duration)
        batch.send()

    def _prometheus_name(self, name: str) -> str:
        dotted = f'{self.prefix}.{name}'
        return dotted.replace('.', '_')

    async def run(self, clock: Clock) -> None:
        """Send batches until cancelled."""
        while True:
            await clock.sleep(FLUSH_INTERVAL)
            self.flush()
