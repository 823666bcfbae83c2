"""Detects overload from load readings.

A daemon with three calls per second notices an overload of all daemons within
about a second: it probes several upstreams for each call that waits.
"""

import math

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import LoadReading
from cowslippond_core.placing._overload_rules import (
    DEFAULT_RULES,
    OverloadRules,
)
from cowslippond_core.placing._slowdown import useful_slots

_READING_WEIGHT = 0.1

# After a longer gap between readings, nothing is known about the load.
_MAX_GAP: Millis = 1000


class OverloadWatch:
    """Tracks how many of the recent readings showed a slot to use.

    :param rules: tells from which fraction on there is an overload.
    """

    def __init__(self, rules: OverloadRules = DEFAULT_RULES) -> None:
        self.rules = rules
        self.usable_ratio: float = 1
        self.reading_at: Millis = -math.inf

    def record(self, reading: LoadReading, now: Millis) -> None:
        """Record a load reading. A crowded slot does not count as usable."""
        if now - self.reading_at > _MAX_GAP:
            self.usable_ratio = 1
        taken = reading.running + reading.waiting
        is_usable = taken < useful_slots(reading.slots)
        self.usable_ratio += _READING_WEIGHT * (is_usable - self.usable_ratio)
        self.reading_at = now

    def is_overloaded(self, now: Millis) -> bool:
        """Tell whether few recent readings showed a slot to use.

        Without recent ones it is not known. If calls were refused all the same,
        no upstream would be probed for them, and they would be refused forever.
        """
        if now - self.reading_at > _MAX_GAP:
            return False
        return self.usable_ratio <= self.rules.full_ratio
