"""What is played, and what callers got of it."""

import enum
from collections import Counter
from typing import NamedTuple

from cowslippond_core import Millis
from cowslippond_core import Outcome as CallOutcome


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
    service_time: Millis = 60
    service_time_deviation: float = 0.3
    machines: tuple[int, ...] = (5, 4, 4)
    daemons: tuple[int, ...] = (8, 5, 5)
    slots: int = 2
    queue: int = 4
    contention_threshold: float = 0.8
    contention_slowdown: float = 1.7
    noise_probability: float = 0.25
    noise_slowdown: float = 5
    noise_interval: Millis = 150
    local_round_trip: Millis = 0.4
    remote_round_trip: Millis = 2.8
    probe_rate: float = 60
    is_idempotent: bool = True
    max_sends: int = 2
    retry_ratio: float = 0.2
    retry_floor: float = 62
    retry_window: Millis = 10_000
    hanging: int = 0
    hang_probability: float = 0.5
    slow: int = 0
    hidden_slowdown: float = 6
    gossip_delay: Millis = 0
    initial_service_time: Millis = 70
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
        self.remote_sends = 0
        self.probes = 0
        self.dropped = 0

    def record_answer(self, latency: Millis, objective: Millis) -> None:
        """Count an answered call."""
        is_late = latency > objective
        self.outcomes[Outcome.LATE if is_late else Outcome.IN_OBJECTIVE] += 1
        self.latencies.append(latency)

    def record_failure(self, latency: Millis, outcome: CallOutcome) -> None:
        """Count a call that got a final answer of the balancer itself."""
        if outcome is CallOutcome.NOT_RUN:
            self.outcomes[Outcome.REFUSED] += 1
            self.refusal_waits.append(latency)
        else:
            self.outcomes[Outcome.LOST] += 1

    def fraction(self, outcome: Outcome) -> float:
        """Return the share of the calls with an outcome."""
        return self.outcomes[outcome] / max(self.outcomes.total(), 1)

    def quantile(self, fraction: float) -> Millis:
        """Return a quantile of the latencies of answered calls."""
        ordered = sorted(self.latencies) or [0]
        return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
