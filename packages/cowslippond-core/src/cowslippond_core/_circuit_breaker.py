"""Circuit breaker for calls to a service that does not answer."""

from cowslippond_core._clock import Clock, Millis

#: The number of consecutive failures that open the circuit.
FAILURE_THRESHOLD = 3

#: The time between probes while the circuit is open, in milliseconds.
PROBE_INTERVAL: Millis = 500


class CircuitBreaker:
    """Refuses calls after consecutive failures, except for periodic probes.

    :param clock: times the probes.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures = 0
        self.next_probe: Millis = 0

    def is_open(self) -> bool:
        """Return whether a call should be refused now."""
        if self.failures < FAILURE_THRESHOLD:
            return False
        return self.clock.now() < self.next_probe

    def record_attempt(self) -> None:
        """Record that a call is allowed, which delays the next probe."""
        self.next_probe = self.clock.now() + PROBE_INTERVAL

    def record_failure(self) -> None:
        """Record a call that was not answered."""
        self.failures += 1

    def record_success(self) -> None:
        """Record an answer, even if it reports an error."""
        self.failures = 0
