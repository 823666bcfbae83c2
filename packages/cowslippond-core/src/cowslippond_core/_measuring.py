"""The allowance for measuring upstreams.

The budget of a service is divided evenly among the most daemons there may be,
and each daemon spends its part without bursts. No message is needed, so the
bound holds with the store down, with the membership unknown and while daemons
restart or resume; see ``docs/design/measuring.md``.
"""

import random
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._document import ServiceDocument

_MILLIS_PER_SECOND = 1000

# A daemon probes at half its even part. In any window of at least one period
# it sends at most one probe more than the window holds periods, which is at
# most twice as many probes, and so within the even part.
_HEADROOM = 2


class _Schedule(NamedTuple):
    period: Millis
    next_at: Millis


def probe_rate_of(document: ServiceDocument) -> float:
    """Return the calls a second that measuring may cause at one upstream."""
    upstream = document.upstreams
    capacity = upstream.slots / upstream.mean_service_ms * _MILLIS_PER_SECOND
    return document.measuring.share_of_capacity * capacity


class ProbeBudget:
    """When this daemon may send its next measuring call to each upstream.

    The first one comes a full period and a random part of a period after the
    upstream became known, so daemons that start together neither add to what
    they spent before nor probe in step. A missed turn is not made up for.

    :param max_daemons: the most daemons that run at any time, those that are
        being replaced included.
    :param draw: draws the random part of the first wait.
    """

    def __init__(self, max_daemons: int, rng: random.Random) -> None:
        self.max_daemons = max_daemons
        self.rng = rng
        self.schedules: dict[str, _Schedule] = {}

    def track(
        self, address: str, document: ServiceDocument, now: Millis
    ) -> None:
        """Learn the budget for an upstream, or that it changed.

        :param address: the upstream.
        :param document: the service document now in force.
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
        """Stop measuring an upstream; watching it again starts anew."""
        self.schedules.pop(address, None)

    def next_probe_at(self, address: str) -> Millis | None:
        """Return when the next measuring call is allowed, in milliseconds."""
        schedule = self.schedules.get(address)
        return None if schedule is None else schedule.next_at

    def try_spend(self, address: str, now: Millis) -> bool:
        """Return whether a measuring call may be sent now, and count it.

        Call it right before the call is written, since a daemon that is
        paused in between sends late.

        :param address: the upstream; one that is not watched is not measured.
        :param now: in milliseconds.
        """
        schedule = self.schedules.get(address)
        if schedule is None or now < schedule.next_at:
            return False
        self.schedules[address] = _Schedule(
            schedule.period, now + schedule.period
        )
        return True
