"""The budget for probes that measure the load of upstreams.

The budget of a service is divided evenly among the maximum number of daemons,
and each daemon spends its part without bursts. The daemons need not exchange
messages, so the limit holds while the store is down, while the membership is
unknown, and while daemons restart or resume after a pause; see
``docs/design/measuring.md``.
"""

import random
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import ServiceDocument

_MILLIS_PER_SECOND = 1000

# A daemon probes at half the rate of its even part of the budget. A window of
# n >= 1 periods contains at most n + 1 of its probes. As n + 1 <= 2n, they stay
# within its even part.
_HEADROOM = 2


class _Schedule(NamedTuple):
    period: Millis
    next_at: Millis


def probe_rate_of(document: ServiceDocument) -> float:
    """Return the probes per second that one upstream may get in total."""
    upstream = document.upstreams
    capacity = upstream.slots / upstream.mean_service_ms * _MILLIS_PER_SECOND
    return document.measuring.share_of_capacity * capacity


class ProbeBudget:
    """Schedules this daemon's probes of each upstream.

    The first probe is sent one full period plus a random part of a period after
    the upstream became known. Thus a restarted daemon does not add to what it
    spent before the restart, and daemons that start together do not probe in
    step. A missed probe is not made up for.

    :param max_daemons: the maximum number of daemons that run at any time,
        including those that are being replaced.
    :param rng: draws the random part of the first wait.
    """

    def __init__(self, max_daemons: int, rng: random.Random) -> None:
        self.max_daemons = max_daemons
        self.rng = rng
        self.schedules: dict[str, _Schedule] = {}

    def track(
        self, address: str, document: ServiceDocument, now: Millis
    ) -> None:
        """Schedule probes of an upstream, or update their rate.

        :param address: the address of the upstream.
        :param document: the service document in force.
        :param now: in milliseconds.
        """
        probe_rate = probe_rate_of(document)
        if probe_rate <= 0:
            self.untrack(address)
            return
        period = _HEADROOM * self.max_daemons / probe_rate * _MILLIS_PER_SECOND
        schedule = self.schedules.get(address)
        if schedule is None:
            first_at = now + period * (1 + self.rng.random())
            self.schedules[address] = _Schedule(period, first_at)
            return
        if schedule.period != period:
            first_at = max(schedule.next_at, now + period)
            self.schedules[address] = _Schedule(period, first_at)

    def untrack(self, address: str) -> None:
        """Stop probing an upstream; tracking it again starts a new schedule."""
        self.schedules.pop(address, None)

    def next_probe_at(self, address: str) -> Millis | None:
        """Return when the next probe is allowed, in milliseconds."""
        schedule = self.schedules.get(address)
        return None if schedule is None else schedule.next_at

    def try_spend(self, address: str, now: Millis) -> bool:
        """Return whether a probe may be sent now, and count it if so.

        Call this immediately before the probe is written: if the daemon is
        paused in between, the probe is sent late.

        :param address: the address of the upstream; one that is not tracked is
            not probed.
        :param now: in milliseconds.
        """
        schedule = self.schedules.get(address)
        if schedule is None or now < schedule.next_at:
            return False
        self.schedules[address] = _Schedule(
            schedule.period, now + schedule.period
        )
        return True
