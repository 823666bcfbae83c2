"""Exit codes of the operator tool."""

import enum


class ExitCode(enum.IntEnum):
    """Process exit codes, which scripts rely on.

    ``FAULTY`` covers invalid documents and an invalid command line;
    ``argparse`` exits with the same code for the latter.
    """

    DONE = 0
    FAULTY = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    INTERRUPTED = 130
