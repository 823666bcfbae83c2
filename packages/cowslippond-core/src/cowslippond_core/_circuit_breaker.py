"""Keeps calls from waiting on a service that does not answer."""

from cowslippond_core._clock import Clock, Millis

#: How many failures in a row shut the gate.
FAILURE_THRESHOLD = 3

#: The time between two calls that are let through while it is shut, in
#: milliseconds.
PROBE_INTERVAL: Millis = 500


class CircuitBreaker:
    """Shut after failures in a row, but for one call now and then.

    :param clock: the clock of the calls that are let through.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures = 0
        self.next_probe: Millis = 0

    def is_open(self) -> bool:
        """Tell whether calls would wait in vain."""
        if self.failures < FAILURE_THRESHOLD:
            return False
        return self.clock.now() < self.next_probe

    def record_attempt(self) -> None:
        """Note that a call is let through."""
        self.next_probe = self.clock.now() + PROBE_INTERVAL

    def record_failure(self) -> None:
        """Note a call that got no answer."""
        self.failures += 1

    def record_success(self) -> None:
        """Note an answer, whatever it says."""
        self.failures = 0
