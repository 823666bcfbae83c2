"""Routing policies, which choose the upstream for a call."""

import random
from collections.abc import Sequence
from functools import singledispatch
from typing import NamedTuple

from cowslippond_core._upstreams import Upstream


class LeastInFlight(NamedTuple):
    """Choose the upstream with the fewest calls in flight from this process."""


class NearLeastInFlight(NamedTuple):
    """Choose as :class:`LeastInFlight`, but break ties by failure domain.

    Upstreams in the failure domain of this process are preferred. If the domain
    has fewer upstreams than the average domain, some calls go to other domains,
    so that its upstreams are not overloaded. This assumes that callers are
    spread evenly over the failure domains.

    ``failure_domain`` is that of this process.
    """

    failure_domain: str


class RandomChoice(NamedTuple):
    """Choose an upstream at random."""


class TwoChoices(NamedTuple):
    """Choose the better of two upstreams drawn at random."""


class RoundRobin(NamedTuple):
    """Choose the least recently chosen upstream."""


@singledispatch
def pick(
    policy: object, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    """Return the upstream to send a call to.

    :param policy: the routing policy.
    :param candidates: at least one upstream.
    :param rng: breaks ties.
    """
    raise TypeError(f'{policy!r} is not a routing policy')


@singledispatch
def after_send(
    policy: object, candidates: Sequence[Upstream], rng: random.Random
) -> None:
    """Run a policy's follow-up to a send; by default there is none.

    :param policy: the routing policy.
    :param candidates: the upstreams that the send could have gone to.
    :param rng: the source of random choices.
    """


@pick.register
def _pick_least(
    policy: LeastInFlight, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    fewest = min(upstream.in_flight for upstream in candidates)
    return rng.choice(
        [upstream for upstream in candidates if upstream.in_flight == fewest]
    )


@pick.register
def _pick_near(
    policy: NearLeastInFlight,
    candidates: Sequence[Upstream],
    rng: random.Random,
) -> Upstream:
    own_domain = policy.failure_domain
    fewest = min(upstream.in_flight for upstream in candidates)
    ties = [one for one in candidates if one.in_flight == fewest]
    near = [one for one in ties if one.failure_domain == own_domain]
    far = [one for one in ties if one.failure_domain != own_domain]
    if near and (not far or rng.random() < _near_ratio(candidates, own_domain)):
        return rng.choice(near)
    return rng.choice(far)


def _near_ratio(candidates: Sequence[Upstream], own_domain: str) -> float:
    domains = [upstream.failure_domain for upstream in candidates]
    return domains.count(own_domain) * len(set(domains)) / len(domains)


@pick.register
def _pick_random(
    policy: RandomChoice, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    return rng.choice(candidates)


@pick.register
def _pick_two(
    policy: TwoChoices, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=_in_flight)


@pick.register
def _pick_round_robin(
    policy: RoundRobin, candidates: Sequence[Upstream], rng: random.Random
) -> Upstream:
    return min(candidates, key=_last_chosen)


def _in_flight(upstream: Upstream) -> int:
    return upstream.in_flight


def _last_chosen(upstream: Upstream) -> float:
    return upstream.chosen_at
