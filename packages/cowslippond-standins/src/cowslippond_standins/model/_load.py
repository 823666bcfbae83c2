"""What is played, and what callers got of it."""

import enum
from collections import Counter
from typing import NamedTuple

from cowslippond_core import Millis
from cowslippond_core import Outcome as Promise


class Load(NamedTuple):
    """A load on one service.

    The first group says what callers send, the second what the machines are.
    ``work`` is the mean time of a call on a free machine of usual speed. In
    every ``noise_every`` milliseconds a machine is ``noise_factor`` times as
    slow, for the calls that begin, with the chance ``noise_share``. A machine with more than
    ``queue`` calls waiting never answers the next one. Of the machines,
    ``hanging`` swallow each call with the chance ``hang_share``, and ``slow``
    take ``slow_factor`` times as long, which their reports don't show. Daemons
    hear of each other's failures after ``news_delay``, or never if it is 0.
    ``first_guess`` is what they take the work for at first.
    """

    rate: float
    seconds: float
    objective: Millis
    deadline: Millis
    work: Millis = 60
    work_spread: float = 0.3
    domains: tuple[int, ...] = (5, 4, 4)
    daemons: tuple[int, ...] = (8, 5, 5)
    slots: int = 2
    queue: int = 4
    crowded_share: float = 0.8
    crowded_factor: float = 1.7
    noise_share: float = 0.25
    noise_factor: float = 5
    noise_every: Millis = 150
    near_trip: Millis = 0.4
    far_trip: Millis = 2.8
    reading_rate: float = 60
    is_idempotent: bool = True
    max_sends: int = 2
    retry_share: float = 0.2
    retry_floor: float = 62
    retry_window: Millis = 10_000
    hanging: int = 0
    hang_share: float = 0.5
    slow: int = 0
    slow_factor: float = 6
    news_delay: Millis = 0
    first_guess: Millis = 70
    seed: int = 1


class Outcome(enum.StrEnum):
    """What a caller got."""

    IN_OBJECTIVE = 'in objective'
    LATE = 'late'
    REFUSED = 'refused'
    LOST = 'lost'


class Tally:
    """Counts what callers got."""

    def __init__(self) -> None:
        self.outcomes: Counter[Outcome] = Counter()
        self.latencies: list[Millis] = []
        self.refusal_waits: list[Millis] = []
        self.retries: Counter[str] = Counter()
        self.sends = 0
        self.far = 0
        self.readings = 0
        self.swallowed = 0

    def note_answer(self, took: Millis, objective: Millis) -> None:
        """Count an answered call."""
        is_late = took > objective
        self.outcomes[Outcome.LATE if is_late else Outcome.IN_OBJECTIVE] += 1
        self.latencies.append(took)

    def note_refusal(self, took: Millis, said: Promise) -> None:
        """Count a call that got a final answer of the balancer itself."""
        if said is Promise.NOT_RUN:
            self.outcomes[Outcome.REFUSED] += 1
            self.refusal_waits.append(took)
        else:
            self.outcomes[Outcome.LOST] += 1

    def share(self, outcome: Outcome) -> float:
        """Return the share of the calls with an outcome."""
        return self.outcomes[outcome] / max(self.outcomes.total(), 1)

    def quantile(self, share: float) -> Millis:
        """Return a quantile of the latencies of answered calls."""
        ordered = sorted(self.latencies) or [0]
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
