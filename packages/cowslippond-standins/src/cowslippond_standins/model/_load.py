"""The parameters of a simulation and the outcomes of its calls."""

import enum
from collections import Counter
from typing import NamedTuple

from cowslippond_core import Millis
from cowslippond_core import Outcome as CallOutcome


class Load(NamedTuple):
    """The load on one service and the machines and daemons that serve it.

    Callers: ``rate`` is in calls per second. A call whose answer takes longer
    than ``objective`` is late. ``returning`` more calls arrive within the first
    ``return_time``, as after a power loss.

    Machines: ``machines`` and ``daemons`` are numbers per failure domain.
    ``service_time`` is the mean time of a call on an idle machine at its usual
    speed, and ``service_time_deviation`` the standard deviation as a fraction
    of it. While more than the fraction ``contention_threshold`` of the
    ``slots`` is busy, calls take ``contention_slowdown`` times as long. The
    speed of a machine is drawn anew at each ``noise_interval``: with
    ``noise_probability``, the calls that start in the interval take
    ``noise_slowdown`` times as long. A machine with ``queue`` calls waiting
    drops the next one without an answer. On the first ``hanging`` machines,
    each call hangs with ``hang_probability``. On the next ``slow`` machines,
    calls take ``hidden_slowdown`` times as long, which the load reports do not
    show.

    Daemons: the round trips are those to machines in the same and in another
    failure domain. ``probe_rate`` limits the probes per machine per second over
    all daemons. Retries and hedges are limited to ``retry_ratio`` of the calls
    and ``retry_floor`` more per ``retry_window``, over all daemons. Daemons
    receive each other's failure reports after ``gossip_delay``, or never if it
    is 0. ``initial_service_time`` is their first estimate of the service time.
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
    returning: int = 0
    return_time: Millis = 100
    seed: int = 1


class Outcome(enum.StrEnum):
    """The outcome of a call, as its caller sees it."""

    IN_OBJECTIVE = 'in objective'
    LATE = 'late'
    REFUSED = 'refused'
    LOST = 'lost'


class Tally:
    """Counts outcomes, latencies and sends."""

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
        """Count a call that was refused or whose answer was lost."""
        if outcome is CallOutcome.NOT_RUN:
            self.outcomes[Outcome.REFUSED] += 1
            self.refusal_waits.append(latency)
        else:
            self.outcomes[Outcome.LOST] += 1

    def fraction(self, outcome: Outcome) -> float:
        """Return the fraction of the calls with an outcome."""
        return self.outcomes[outcome] / max(self.outcomes.total(), 1)

    def quantile(self, fraction: float) -> Millis:
        """Return a quantile of the latencies of answered calls."""
        ordered = sorted(self.latencies) or [0]
        return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
