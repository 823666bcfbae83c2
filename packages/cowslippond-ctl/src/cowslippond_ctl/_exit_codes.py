"""Exit codes of the operator tool."""

import enum


class ExitCode(enum.IntEnum):
    """What a script can tell from the exit code.

    ``FAULTY`` is also that of a faulty command line.
    """

    DONE = 0
    FAULTY = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    INTERRUPTED = 130
