"""Names of what a caller saw, beside the values of ``x-outcome``."""

ANSWERED = 'answered'
CUT = 'cut'
NOT_CONNECTED = 'not_connected'
WRONG_ANSWER = 'wrong_answer'
TIMED_OUT = 'timed_out'
NOT_RUN = 'not-run'
FAILED = 'failed'
UNKNOWN = 'unknown'
