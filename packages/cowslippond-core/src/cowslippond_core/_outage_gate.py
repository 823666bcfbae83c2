"""Keeps calls from waiting on a service that does not answer."""

from cowslippond_core._clock import Clock, Millis

#: How many failures in a row shut the gate.
FAILURES = 3

#: The time between two calls that are let through while it is shut, in
#: milliseconds.
PROBE_INTERVAL: Millis = 500


class OutageGate:
    """Shut after failures in a row, but for one call now and then.

    :param clock: the clock of the calls that are let through.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures = 0
        self.next_probe: Millis = 0

    def is_shut(self) -> bool:
        """Tell whether calls would wait in vain."""
        if self.failures < FAILURES:
            return False
        return self.clock.now() < self.next_probe

    def note_try(self) -> None:
        """Note that a call is let through."""
        self.next_probe = self.clock.now() + PROBE_INTERVAL

    def note_failure(self) -> None:
        """Note a call that got no answer."""
        self.failures += 1

    def note_answer(self) -> None:
        """Note an answer, whatever it says."""
        self.failures = 0
