"""How long the work of a service takes, and how often a slot is found."""

from collections import deque

from cowslippond_core._clock import Millis

_WORK_WEIGHT = 0.05

# Spans the queue of a burst; longer memory would lag behind its end.
_PACE_WINDOW: Millis = 1500
_KEPT_GRANTS = 64
_FEWEST_GRANTS = 4


class Pace:
    """What a process has learnt of a service's speed.

    :param work: the expected time of one call on a free upstream of usual
        speed, in milliseconds, until calls show it.
    """

    def __init__(self, work: Millis) -> None:
        self.work = work
        self.granted: deque[Millis] = deque(maxlen=_KEPT_GRANTS)

    def note_work(self, latency: Millis, factor: float) -> None:
        """Learn from an answered call.

        :param latency: the time at the upstream, in milliseconds.
        :param factor: how slow the upstream was expected to be.
        """
        self.work += _WORK_WEIGHT * (latency / max(factor, 1) - self.work)

    def note_grant(self, now: Millis) -> None:
        """Count a call that found a slot."""
        self.granted.append(now)

    def expected_wait(self, ahead: int, now: Millis) -> Millis:
        """Return how long a call waits behind others, in milliseconds.

        :param ahead: how many calls are served before it.
        """
        if ahead <= 0:
            return 0
        recent = sum(1 for at in self.granted if now - at <= _PACE_WINDOW)
        return ahead * _PACE_WINDOW / max(recent, _FEWEST_GRANTS)
