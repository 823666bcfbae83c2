"""The ways to apply a quota that were weighed, each with what ruled it out.

Only the decision is modelled: 136 daemons, calls at random times from a seed. The
figures stand in docs/design/quotas.md.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
from cowslippond_core.quotas._token_bucket import TokenBucket
from quota_fakes import allowed, unequal_workspaces, workspace

DAEMONS = 136
SECONDS = 20
WINDOW = 5000
LARGE = workspace('large', 169)
SMALL = workspace('small', 1)

# The time until other daemons know, in milliseconds.
GOSSIP_LAG = 1000
REPORT_LAG = 100

USUAL = 1 / 1.6
FLOOD = 8 * USUAL


class Arrival(NamedTuple):
    """A call, with its time in milliseconds and its daemon."""

    at: float
    daemon: int


def arrivals(rate: float, daemons: int = DAEMONS) -> Iterator[Arrival]:
    rng = random.Random(1)
    at = rng.expovariate(rate) * 1000
    while at < SECONDS * 1000:
        yield Arrival(at, rng.randrange(daemons))
        at += rng.expovariate(rate) * 1000


def admitted(
    calls: Iterator[Arrival], decide: Callable[[Arrival], bool]
) -> tuple[float, int]:
    """Return the admitted share and the most calls within a window."""
    total = 0
    window: deque[float] = deque()
    runs = 0
    busiest = 0
    for call in calls:
        total += 1
        if not decide(call):
            continue
        runs += 1
        window.append(call.at)
        while window[0] <= call.at - WINDOW:
            window.popleft()
        busiest = max(busiest, len(window))
    return runs / total, busiest


class EqualShares:
    """Each daemon holds the same part of the rate and burst."""

    def __init__(self, rate: float) -> None:
        part = rate / DAEMONS
        self.buckets = [
            TokenBucket(part, max(part, 1), 1, 0) for _ in range(DAEMONS)
        ]

    def decide(self, call: Arrival) -> bool:
        bucket = self.buckets[call.daemon]
        bucket.refill(call.at)
        return bool(bucket.take(1))


class DemandShares:
    """Shares follow the demand of the last second, as gossip spreads it.

    A daemon without demand in that second has no share.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.recent: deque[Arrival] = deque()
        self.buckets = [
            TokenBucket(0, max(rate, 1), 0, 0) for _ in range(DAEMONS)
        ]

    def decide(self, call: Arrival) -> bool:
        while self.recent and self.recent[0].at < call.at - 2 * GOSSIP_LAG:
            self.recent.popleft()
        known = [
            one.daemon for one in self.recent if one.at < call.at - GOSSIP_LAG
        ]
        self.recent.append(call)
        share = known.count(call.daemon) / max(len(known), 1)
        bucket = self.buckets[call.daemon]
        bucket.update(self.rate * share, max(self.rate * share, 1), call.at)
        return bool(bucket.take(1))


class ReportedUse:
    """Daemons admit calls until the owner says that the limit is near.

    Reports, and the owner's word, take ``REPORT_LAG`` milliseconds together.
    """

    def __init__(self, rate: float) -> None:
        self.bucket = TokenBucket(rate, rate, rate, 0)
        self.reports: deque[float] = deque()

    def decide(self, call: Arrival) -> bool:
        while self.reports and self.reports[0] <= call.at - REPORT_LAG:
            self.bucket.refill(self.reports.popleft())
            self.bucket.tokens -= 1
        self.bucket.refill(call.at)
        is_admitted = self.bucket.tokens >= self.bucket.capacity / 5
        if is_admitted:
            self.reports.append(call.at)
        return is_admitted


class SuccessorOwner:
    """One owner grants all tokens; each half of a partition has one."""

    def __init__(self, rate: float) -> None:
        self.owners = [TokenBucket(rate, rate, 0, 0) for _ in range(2)]

    def decide(self, call: Arrival) -> bool:
        owner = self.owners[call.daemon % 2]
        owner.refill(call.at)
        return bool(owner.take(1))


class TestWaysWeighed:
    def test_equal_shares_refuse_calls_that_arrive_at_one_daemon(self) -> None:
        at_one, _ = admitted(
            arrivals(LARGE.rate * USUAL, daemons=1),
            EqualShares(LARGE.rate).decide,
        )
        spread, _ = admitted(
            arrivals(LARGE.rate * USUAL), EqualShares(LARGE.rate).decide
        )
        assert at_one == pytest.approx(0.012, abs=0.005)
        assert spread == pytest.approx(0.671, abs=0.005)

    def test_shares_by_demand_refuse_first_calls_at_a_daemon(self) -> None:
        workspaces = unequal_workspaces()
        runs = sum(
            rate
            * admitted(arrivals(rate), DemandShares(rate / USUAL).decide)[0]
            for rate in workspaces.values()
        )
        share = runs / sum(workspaces.values())
        assert share == pytest.approx(0.132, abs=0.005)

    def test_reported_use_overruns_when_calls_arrive_together(self) -> None:
        """A small workspace sends a call to each daemon at once."""
        calls = iter([Arrival(1000, daemon) for daemon in range(DAEMONS)])
        _, busiest = admitted(calls, ReportedUse(SMALL.rate).decide)
        _, flood = admitted(
            arrivals(LARGE.rate * FLOOD), ReportedUse(LARGE.rate).decide
        )
        assert (busiest, round(allowed(SMALL))) == (DAEMONS, 27)
        assert (flood, round(allowed(LARGE))) == (4410, 1135)

    def test_successors_of_one_owner_double_the_rate(self) -> None:
        _, busiest = admitted(
            arrivals(LARGE.rate * FLOOD), SuccessorOwner(LARGE.rate).decide
        )
        assert (busiest, round(allowed(LARGE))) == (1695, 1135)
