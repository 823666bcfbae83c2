"""The speed of an upstream, which varies over time."""

import random

from cowslippond_core import Millis

from cowslippond_standins.upstream._behaviour import Behaviour

_MAX_STEP: Millis = 20


class Speed:
    """A reproducible random schedule of slow spans.

    :param behaviour: settings with the frequency, length and slowdown.
    :param seed: seed of the schedule.
    :param now: start of the schedule on the clock.
    """

    def __init__(self, behaviour: Behaviour, seed: int, now: Millis) -> None:
        self.behaviour = behaviour
        self.rng = random.Random(seed)
        self.cold_start = now
        self.slow_start = now
        self.slow_end = now

    def at(self, now: Millis) -> tuple[float, Millis]:
        """Return the speed at a time, and for how long it stays the same.

        The duration is at most ``_MAX_STEP``.

        :param now: time on the clock.
        """
        behaviour = self.behaviour
        speed = 1 / behaviour.slowdown
        span = _MAX_STEP
        cold_remaining = self.cold_start + behaviour.cold_ms - now
        if cold_remaining > 0:
            speed /= behaviour.cold_slowdown
            span = min(span, cold_remaining)
        if behaviour.noise_gap_ms <= 0:
            return speed, span
        self._advance(now)
        if now < self.slow_start:
            return speed, min(span, self.slow_start - now)
        slowed = speed / behaviour.noise_slowdown
        return slowed, min(span, self.slow_end - now)

    def restart(self, now: Millis) -> None:
        """Begin a cold start.

        :param now: time on the clock.
        """
        self.cold_start = now

    def _advance(self, now: Millis) -> None:
        behaviour = self.behaviour
        while self.slow_end <= now:
            gap = self.rng.expovariate(1 / behaviour.noise_gap_ms)
            span = self.rng.expovariate(1 / behaviour.noise_span_ms)
            self.slow_start = self.slow_end + gap
            self.slow_end = self.slow_start + span
