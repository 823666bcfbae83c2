"""Estimates of a service's service time and of the wait for a slot."""

from cowslippond_core._clock import Millis

# The weight of a new sample in the moving average; service times vary by a
# third. Until enough calls have been answered, all samples have equal weight.
_MIN_SAMPLE_WEIGHT = 0.05

# A sample counts as at most this many times the estimate, and at least the
# estimate divided by it: outliers say little about other calls.
_OUTLIER_FACTOR = 3

# At full load, calls occupy their slots longer than on a free upstream of usual
# speed by this factor, because upstreams are crowded and some are slow.
_FULL_LOAD_FACTOR = 1.7


class ServiceTimeEstimator:
    """Estimates the service time of a service from its answered calls.

    :param initial: the initial estimate, in milliseconds, of how long a call
        takes on a free upstream of usual speed.
    """

    def __init__(self, initial: Millis) -> None:
        self.service_time = initial
        self.sample_count = 0
        self.slots: float = 1
        self.is_fully_loaded = True

    @property
    def slot_interval(self) -> Millis:
        """The mean time between free slots for this process at full load."""
        return self.service_time * _FULL_LOAD_FACTOR / self.slots

    def record_service_time(self, latency: Millis, slowdown: float) -> None:
        """Update the estimate with an answered call.

        :param latency: the time that the call took, in milliseconds.
        :param slowdown: the slowdown that was expected of the upstream, which
            is divided out.
        """
        self.sample_count += 1
        sample = latency / max(slowdown, 1)
        clamped = min(
            max(sample, self.service_time / _OUTLIER_FACTOR),
            self.service_time * _OUTLIER_FACTOR,
        )
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.sample_count)
        self.service_time += weight * (clamped - self.service_time)

    def update_slots(self, slots: int, daemons: int, in_flight: int) -> None:
        """Set this process's portion of the slots that all daemons share.

        Callers are not spread evenly over the daemons, and the number of
        daemons may be too high. A process that has calls in flight gets at
        least as many slots as these calls take.

        :param slots: the number of slots of all upstreams.
        :param daemons: the number of daemons that share them.
        :param in_flight: this process's calls at the upstreams.
        """
        equal_share = max(slots, 1) / max(daemons, 1)
        self.slots = max(equal_share, min(in_flight, slots))

    def expected_wait(self, ahead: int) -> Millis:
        """Return how long a call has to wait for a slot, in milliseconds.

        While nearly all upstreams have a free slot, calls only wait for load
        readings, and the portion of the slots says nothing about that.

        :param ahead: the number of calls that are served before it.
        """
        return ahead * self.slot_interval if self.is_fully_loaded else 0
