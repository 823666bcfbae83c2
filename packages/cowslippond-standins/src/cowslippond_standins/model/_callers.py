"""Who calls which daemon, how often, and what follows a refusal."""

import itertools
import math
import random
from typing import NamedTuple

from cowslippond_core import Millis

from cowslippond_standins.model._load import Kind, Load


class SimulatedCaller(NamedTuple):
    """The sender of one call.

    ``retries`` is how often it tries again after a refusal.
    """

    name: str
    kind: Kind
    is_impatient: bool
    retries: int


class CallerSchedule:
    """Draws the callers of a load.

    :param load: the parameters of the load.
    :param rng: draws the daemon, the kind and the behaviour of each caller.
    """

    def __init__(self, load: Load, rng: random.Random) -> None:
        self.load = load
        self.rng = rng
        self.numbers = itertools.count()
        self.kinds = load.kinds
        self.rate = math.fsum(kind.rate for kind in self.kinds)
        self.domains = [
            domain
            for domain, count in enumerate(load.daemons)
            for _ in range(count)
        ]
        self.is_even = load.caller_spread == 1 and not load.shift_ratio
        self.weights = _spread_weights(load, len(self.domains))

    def rate_at(self, now: Millis) -> float:
        """Return the calls per second at a time."""
        load = self.load
        if load.burst_start <= now < load.burst_end:
            return self.rate * load.burst_factor
        return self.rate

    def choose_daemon(self, now: Millis) -> int:
        """Return the number of the daemon that gets the next call."""
        daemons = range(len(self.domains))
        if self.is_even:
            return self.rng.choice(daemons)
        shifts = [
            self._shift(domain, now) for domain in range(len(self.load.daemons))
        ]
        weights = [
            weight * shifts[domain]
            for weight, domain in zip(self.weights, self.domains, strict=True)
        ]
        return self.rng.choices(daemons, weights)[0]

    def draw_caller(self) -> SimulatedCaller:
        """Return the sender of the next call."""
        load = self.load
        kind = self.kinds[0]
        if len(self.kinds) > 1:
            rates = [one.rate for one in self.kinds]
            kind = self.rng.choices(self.kinds, rates)[0]
        is_impatient = (
            load.impatient_ratio > 0
            and self.rng.random() < load.impatient_ratio
        )
        return SimulatedCaller(
            str(next(self.numbers)),
            kind,
            is_impatient,
            load.impatient_retries if is_impatient else load.patient_retries,
        )

    def _shift(self, domain: int, now: Millis) -> float:
        load = self.load
        phase = now / load.shift_period + domain / len(load.daemons)
        return 1 + load.shift_ratio * math.sin(math.tau * phase)


def _spread_weights(load: Load, daemons: int) -> list[float]:
    """Return weights between which the largest ratio is the caller spread.

    They do not depend on the seed, so that loads with different seeds differ
    only in their calls. Heavy and light daemons alternate in each domain.
    """
    steps = max(daemons - 1, 1)
    ordered = [
        load.caller_spread ** (number / steps) for number in range(daemons)
    ]
    random.Random(daemons).shuffle(ordered)
    return ordered
