"""Tests of sending metrics to statsd and of the page that lists them."""

import pathlib
import socket

from cowslippond_core import (
    Metric,
    Metrics,
    RefusalReason,
    RetryReason,
    refusal_name,
    retry_name,
)

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'METRICS.md'


class TestSending:
    def test_batch_holds_counts_gauges_and_timings(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(('127.0.0.1', 0))
            server.settimeout(5)
            port = server.getsockname()[1]
            metrics = Metrics(f'127.0.0.1:{port}')
            metrics.count_refusal(RefusalReason.QUEUE_FULL)
            metrics.count_refusal(RefusalReason.QUEUE_FULL)
            metrics.gauge(Metric.REVISION, 3)
            metrics.timing(Metric.CALL_MS, 1.5)
            metrics.flush()
            lines = server.recv(4096).decode().split('\n')

        assert lines == [
            'cowslippond.refusals.queue_full:2|c',
            'cowslippond.catalogue.revision:3|g',
            'cowslippond.call_ms:1.500000|ms',
        ]

    def test_without_address_only_totals_are_recorded(self):
        metrics = Metrics('')
        metrics.count_retry(RetryReason.SHED)
        metrics.flush()

        assert metrics.totals[retry_name(RetryReason.SHED)] == 1
        assert not metrics.unsent_counts


class TestPage:
    def test_page_lists_exactly_the_defined_metrics(self):
        names = {
            *(refusal_name(reason) for reason in RefusalReason),
            *(retry_name(reason) for reason in RetryReason),
            *(metric.value for metric in Metric),
        }
        listed = {
            line.split('`')[1]
            for line in PAGE.read_text().splitlines()
            if line.startswith('| `')
        }

        assert listed == names
