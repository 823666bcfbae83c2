"""How long the work of a service takes, and how often a slot becomes free."""

from cowslippond_core._clock import Millis

# The weight of a call once many have been answered; the work of calls varies by a
# third. Before, all calls answered weigh alike.
_WORK_WEIGHT = 0.05

# A call that took more than this many times as long as expected, or less than
# this part of it, says little of the others.
_OUTLIER = 3

# Calls hold their slots for longer than on a free upstream of usual speed, by
# this factor at full load: upstreams are crowded, and some are slow.
_FULL_LOAD_FACTOR = 1.7


class ServiceTimeEstimator:
    """What a process has learnt of a service's speed.

    ``turn`` is the mean time between two slots that fall to this process at
    full load, in milliseconds.

    :param work: the expected time of one call on a free upstream of usual
        speed, in milliseconds, until calls show it.
    """

    def __init__(self, work: Millis) -> None:
        self.service_time = work
        self.sample_count = 0
        self.slots: float = 1

    @property
    def slot_interval(self) -> Millis:
        """The mean time between two slots for this process at full load."""
        return self.service_time * _FULL_LOAD_FACTOR / self.slots

    def record_service_time(self, latency: Millis, factor: float) -> None:
        """Learn from an answered call.

        :param latency: the time at the upstream, in milliseconds.
        :param factor: how slow the upstream was expected to be.
        """
        self.sample_count += 1
        seen = latency / max(factor, 1)
        bounded = min(
            max(seen, self.service_time / _OUTLIER),
            self.service_time * _OUTLIER,
        )
        weight = max(_WORK_WEIGHT, 1 / self.sample_count)
        self.service_time += weight * (bounded - self.service_time)

    def update_slots(self, slots: int, daemons: int) -> None:
        """Learn how many slots all daemons share.

        :param slots: of all upstreams together.
        """
        self.slots = max(slots / max(daemons, 1), 1 / max(daemons, 1))

    def expected_wait(self, ahead: int) -> Millis:
        """Return how long a call waits behind others, in milliseconds.

        :param ahead: how many calls are served before it.
        """
        return ahead * self.slot_interval
