"""Names of the HTTP headers for outcomes, deadlines, attempts and load."""

OUTCOME = 'x-outcome'
DEADLINE = 'x-deadline-ms'
ATTEMPT = 'x-attempt'
REQUEST_ID = 'x-request-id'
REASON = 'x-reason'
RETRY_AFTER = 'retry-after'

# Set on a call that one daemon sends through another.
RELAYED = 'x-relayed'

# An upstream's promise that it did not run the request: 'shed' if it had no
# free slot, 'draining' if it is leaving.
NOT_RUN = 'x-not-run'
NOT_RUN_SHED = 'shed'
NOT_RUN_DRAINING = 'draining'

# Load report that an upstream attaches to an answer, in the format of Open
# Request Cost Aggregation (ORCA), such as
# ``TEXT cpu_utilization=0.4, rps_fractional=12, named_metrics.in_flight=1``.
LOAD_REPORT = 'endpoint-load-metrics'
