"""How batch services yield to interactive ones."""

from cowslippond_core._clock import Millis
from cowslippond_core._document import Priority
from cowslippond_core._limits import Limiter

_YIELD_TIME: Millis = 1000
_YIELDED_SHARE = 0.125


class Precedence:
    """Lower the bounds of batch services while interactive calls wait.

    A batch service always keeps one running call at least, so that it goes on.
    """

    def __init__(self) -> None:
        self.pressed_until: Millis = 0

    def note_wait(self, priority: Priority, now: Millis) -> None:
        """Note that a call had to wait for capacity."""
        if priority is Priority.INTERACTIVE:
            self.pressed_until = now + _YIELD_TIME

    def apply(self, limiter: Limiter, priority: Priority, now: Millis) -> None:
        """Set the share of its bound that a service may use now."""
        is_yielding = priority is Priority.BATCH and now < self.pressed_until
        limiter.share = _YIELDED_SHARE if is_yielding else 1
