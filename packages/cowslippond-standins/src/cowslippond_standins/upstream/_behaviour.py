"""What a stand-in upstream does, switched while it runs."""

import enum
from collections.abc import Mapping
from typing import Any

from cowslippond_core import Millis


class FailFast(enum.StrEnum):
    """How an upstream rejects everything at once."""

    OFF = 'off'
    ERROR = 'error'
    BARE = 'bare'


class LoadReport(enum.StrEnum):
    """What an upstream says of its own load."""

    RIGHT = 'right'
    WRONG = 'wrong'
    OFF = 'off'


class CrashMode(enum.StrEnum):
    """What a marked request does to the upstream that runs it."""

    EXIT = 'exit'
    RESET = 'reset'


class FaultSwitches:
    """The faults of one upstream, switched while it runs.

    ``truncate`` counts the answers still to be broken off; ``report_lag_ms``
    is the age of the reported load in milliseconds, and ``report_wrong`` the
    load that a wrong report tells.
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
    """The settings of one upstream, all of which can be changed in a test.

    ``queue`` is the number of calls that wait for a slot before more are
    shed. ``slowdown`` divides the speed. While an upstream is a noisy
    neighbour's victim, ``noise_slowdown`` divides it too: this happens every
    ``noise_gap_ms`` on average, for ``noise_span_ms`` on average; a gap of
    zero switches it off. For ``cold_ms`` after a start or a reset the speed is
    divided by ``cold_slowdown``. ``keeps_all`` makes the ledger's file keep the
    runs of all calls, not only of orders.
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
        """Set what a command names; an unknown name raises an error.

        :param command: new values by name, of the settings or the faults.
        """
        for name, new_setting in command.items():
            target = self.faults if hasattr(self.faults, name) else self
            current = getattr(target, name)
            setattr(target, name, type(current)(new_setting))

    def snapshot(self) -> Mapping[str, Any]:
        """Return every setting and fault by name."""
        settings = {**vars(self), **vars(self.faults)}
        settings.pop('faults')
        return settings
