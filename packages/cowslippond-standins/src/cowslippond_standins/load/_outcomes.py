"""Outcomes of calls, including values of the ``x-outcome`` header."""

ANSWERED = 'answered'
CUT = 'cut'
NOT_CONNECTED = 'not_connected'
WRONG_ANSWER = 'wrong_answer'
TIMED_OUT = 'timed_out'
NOT_RUN = 'not-run'
FAILED = 'failed'
UNKNOWN = 'unknown'
