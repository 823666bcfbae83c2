"""Metrics, sent to statsd in batches and exposed in Prometheus format."""

import bisect
import enum
import importlib
from collections import Counter
from typing import Any

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._reasons import RefusalReason, RetryReason

# Imported when needed, as only some daemons send metrics.
_STATSD_MODULE = 'statsd'

#: Time between two batches.
FLUSH_INTERVAL: Millis = 1000

# Maximum timings per name and batch; further ones are left out of the batch.
_MAX_TIMINGS = 200

#: Upper bounds of the histogram buckets, in milliseconds.
BUCKET_BOUNDS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


class Metric(enum.StrEnum):
    """Names of metrics, other than the counters of refusals and retries."""

    CALLS = 'calls'
    CALL_MS = 'call_ms'
    CALLS_RELAYED = 'relayed'
    BODIES_BROKEN = 'bodies.broken'
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
    UPLOAD_WAIT_MS = 'upload_wait_ms'
    READING_AGE_MS = 'reading_age_ms'
    STORE_ERA = 'store.era'
    STORE_READERS = 'store.readers'
    CONFIGURATION = 'configuration.version'
    UPSTREAMS_KNOWN = 'upstreams.known'
    WORKSPACES_KNOWN = 'workspaces.known'
    UPSTREAMS_RATE_LIMITED = 'upstreams.rate_limited'
    QUOTA_ADMITTED = 'quota.admitted'
    QUOTA_FALLBACK = 'quota.fallback'
    QUOTA_RETURNED = 'quota.returned'
    QUOTA_REQUESTS = 'quota.requests'
    QUOTA_TIMEOUTS = 'quota.timeouts'
    QUOTA_BYTES_SENT = 'quota.bytes_sent'
    QUOTA_BYTES_RECEIVED = 'quota.bytes_received'
    UPSTREAMS_COLD = 'upstreams.cold'
    DOMAINS_EVACUATED = 'domains.evacuated'


def refusal_name(reason: RefusalReason) -> str:
    """Return the name of the counter for a refusal reason."""
    return f'refusals.{reason.value}'


def retry_name(reason: RetryReason) -> str:
    """Return the name of the counter for a retry reason."""
    return f'retries.{reason.value}'


class Histogram:
    """Histogram of durations in fixed buckets."""

    def __init__(self) -> None:
        self.counts = [0 for _ in (*BUCKET_BOUNDS, 0)]
        self.total: Millis = 0

    def observe(self, duration: Millis) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS, duration)] += 1
        self.total += duration

    def render(self, name: str) -> list[str]:
        """Return the lines in Prometheus text format, buckets cumulative."""
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

    Counts and gauges are aggregated in the process and sent once per batch, so
    the cost of a call does not grow with their number.

    :param address: ``ip:port`` of statsd; if empty, nothing is sent.
    :param prefix: the first part of each metric name.
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
            statsd = importlib.import_module(_STATSD_MODULE)
            self.client = statsd.StatsClient(host, int(port), prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += amount
        self.unsent_counts[name] += amount

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a call that the load balancer itself refused."""
        self.count(refusal_name(reason))

    def count_retry(self, reason: RetryReason) -> None:
        """Count a retry or hedge."""
        self.count(retry_name(reason))

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self.gauges[name] = level

    def timing(self, name: str, duration: Millis) -> None:
        """Record a duration."""
        self.histograms.setdefault(name, Histogram()).observe(duration)
        if self.client is None:
            return
        durations = self.timings.setdefault(name, [])
        if len(durations) < _MAX_TIMINGS:
            durations.append(duration)

    def render(self) -> str:
        """Return all metrics in Prometheus text format."""
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
        """Send the metrics recorded since the last batch."""
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
