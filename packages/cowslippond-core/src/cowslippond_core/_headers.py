"""Names of the HTTP headers that carry outcomes, deadlines and attempts."""

OUTCOME = 'x-outcome'
DEADLINE = 'x-deadline-ms'
ATTEMPT = 'x-attempt'
REQUEST_ID = 'x-request-id'
REASON = 'x-reason'
RETRY_AFTER = 'retry-after'

# An upstream's promise that it did not run the request: 'shed' when it has no
# free slot, 'draining' when it is leaving.
NOT_RUN = 'x-not-run'
NOT_RUN_SHED = 'shed'
NOT_RUN_DRAINING = 'draining'

# Open Request Cost Aggregation, the load report an upstream attaches to an
# answer: ``TEXT cpu_utilization=0.4, rps_fractional=12, named_metrics.in_flight=1``.
LOAD_REPORT = 'endpoint-load-metrics'
