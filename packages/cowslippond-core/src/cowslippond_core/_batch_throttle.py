"""Throttling of batch services in favour of interactive ones."""

from cowslippond_core._clock import Millis
from cowslippond_core._document import Priority
from cowslippond_core._limits import Limiter

_YIELD_TIME: Millis = 1000
_YIELDED_RATIO = 0.125


class BatchThrottle:
    """Lowers the limits of batch services while interactive calls wait.

    A batch service may always have at least one running call, so that it makes
    progress.
    """

    def __init__(self) -> None:
        self.yield_until: Millis = 0

    def record_wait(self, priority: Priority, now: Millis) -> None:
        """Record that a call had to wait for capacity."""
        if priority is Priority.INTERACTIVE:
            self.yield_until = now + _YIELD_TIME

    def apply(self, limiter: Limiter, priority: Priority, now: Millis) -> None:
        """Set the fraction of its limit that a service may use now."""
        is_yielding = priority is Priority.BATCH and now < self.yield_until
        limiter.usable_ratio = _YIELDED_RATIO if is_yielding else 1
