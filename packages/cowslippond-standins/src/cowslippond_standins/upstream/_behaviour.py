"""Settings and faults of a stand-in upstream, changeable at run time."""

import enum
from collections.abc import Mapping
from typing import Any

from cowslippond_core import Millis


class FailFast(enum.StrEnum):
    """How an upstream fails every call at once.

    ``ERROR`` answers with status 500, and ``BARE`` with status 503 that does
    not promise that the call was not run.
    """

    OFF = 'off'
    ERROR = 'error'
    BARE = 'bare'


class LoadReport(enum.StrEnum):
    """Whether an upstream reports its actual load, a false one or none."""

    RIGHT = 'right'
    WRONG = 'wrong'
    OFF = 'off'


class CrashMode(enum.StrEnum):
    """What happens to an upstream that runs a crash request.

    ``EXIT`` ends the process, ``RESET`` aborts all connections and
    begins a cold start.
    """

    EXIT = 'exit'
    RESET = 'reset'


class FaultSwitches:
    """The faults of one upstream, which control commands set by name.

    ``truncate`` is the number of coming answers to truncate.
    ``report_lag_ms`` is the age of the reported load, and ``report_wrong`` is
    the number of calls in flight that a wrong report contains.
    """

    def __init__(self) -> None:
        self.draining = False
        self.hang = False
        self.honours_cancel = True
        self.honours_deadline = True
        self.truncate = 0
        self.fail_fast = FailFast.OFF
        self.crash_mode = CrashMode.EXIT
        self.load_report = LoadReport.RIGHT
        self.report_lag_ms = float(0)
        self.report_wrong = 0


class Behaviour:
    """The settings of one upstream, which control commands set by name.

    ``queue`` is the number of calls that may wait for a slot; further calls
    are shed. ``slowdown`` divides the speed. To simulate a noisy neighbour,
    ``noise_slowdown`` divides the speed as well, for spans that last
    ``noise_span_ms`` on average, with gaps of ``noise_gap_ms`` on average
    between them; a gap of zero switches this off. For ``cold_ms`` after a
    start or a reset, the speed is divided by ``cold_slowdown``.
    ``keeps_all`` makes the ledger file record the runs of all calls, not only
    those of orders.
    """

    def __init__(self, *, slots: int, mean_ms: Millis) -> None:
        self.slots = slots
        self.queue = 0
        self.mean_ms = float(mean_ms)
        self.slowdown = float(1)
        self.noise_gap_ms = float(0)
        self.noise_span_ms = float(60)
        self.noise_slowdown = float(6)
        self.cold_ms = float(0)
        self.cold_slowdown = float(4)
        self.keeps_all = False
        self.faults = FaultSwitches()

    def change(self, command: Mapping[str, Any]) -> None:
        """Apply a control command.

        :param command: new values of settings and faults, by name.
        :raises AttributeError: if a name is unknown.
        """
        for name, new_setting in command.items():
            target = self.faults if hasattr(self.faults, name) else self
            current = getattr(target, name)
            setattr(target, name, type(current)(new_setting))

    def snapshot(self) -> Mapping[str, Any]:
        """Return the current value of every setting and fault, by name."""
        settings = {**vars(self), **vars(self.faults)}
        settings.pop('faults')
        return settings
