"""Simulates the loss of the daemons that read the store as it changes."""

import enum
import random
from typing import NamedTuple

from cowslippond_core import Millis, seconds_of

from cowslippond_standins.model._partition import (
    PartitionPlan,
    simulate_partition,
)

# Daemons that have discovered each other, and the time in which a change comes.
_STARTS_AT: Millis = 17_000
_CHANGE_SPAN: Millis = 1000

# The loss comes at most this long before or after the change.
_MAX_OFFSET: Millis = 250

_OBSERVED: Millis = 4000
_CALM: Millis = 5000
_LOSS_SPAN: Millis = 2000

_DOMAINS = (1, 3, 3, 5)

# The share of the daemons that are lost besides the readers.
_SHARES = (0, 0.2, 0.2, 0.6, 0.9)

_READERS = 3

# How long after the loss the successors are cut off, and how long before it
# one reader is.
_SUCCESSION: Millis = 4000
_SUCCESSION_SPAN: Millis = 10_000
_MAX_CUT_LEAD: Millis = 4000


class ReaderCut(enum.Enum):
    """Who else is cut off from the store when readers are lost.

    ``SUCCESSORS`` are the daemons that read some time after the loss, at the
    moment of a change. ``ONE_READER`` is cut off some time before.
    """

    NONE = 'none'
    SUCCESSORS = 'successors'
    ONE_READER = 'one_reader'


class ReaderLossFigures(NamedTuple):
    """What became of a change that came as the readers were lost.

    Daemons that are cut off from the store are left out. ``offset`` is the time from the change to the loss, in milliseconds.
    ``latest`` is the time from the change until the last daemon that was left
    had it, in milliseconds, and ``missing`` is the number of daemons that never
    had it. ``calm_calls`` is the number of calls to the store per second before
    the loss, ``calls`` the number of calls in the 2 s after it.
    """

    daemons: int
    lost: int
    offset: Millis
    latest: Millis
    missing: int
    calm_calls: float
    calls: int


def simulate_reader_loss(
    daemons: int,
    seed: int,
    cut: ReaderCut = ReaderCut.NONE,
    *,
    is_cut_silent: bool = False,
) -> ReaderLossFigures:
    """Lose all readers, and a random part of the others, at a random moment.

    :param daemons: the number of daemons.
    :param seed: determines who is lost, and when.
    :param cut: who is cut off from the store besides.
    :param is_cut_silent: whether calls of these get no answer, instead of a
        refusal.
    """
    rng = random.Random(seed)
    plan = _draw_plan(daemons, rng, seed)._replace(is_cut_silent=is_cut_silent)
    if cut is ReaderCut.SUCCESSORS:
        plan = _cut_successors(plan, rng)
    elif cut is ReaderCut.ONE_READER:
        cut_at = plan.changes_at[0] - rng.random() * _MAX_CUT_LEAD
        plan = plan._replace(cut_readers=1, cut_at=cut_at)
    figures = simulate_partition(plan)
    out_of_touch = plan.lost | figures.cut
    delays = [
        delay
        for index, delay in figures.delays[0].items()
        if index not in out_of_touch
    ]
    lost_at = plan.cut_at if cut is ReaderCut.SUCCESSORS else plan.lost_at
    times = [call.at for call in figures.calls]
    before = sum(lost_at - _CALM <= at < lost_at for at in times)
    return ReaderLossFigures(
        daemons,
        len(plan.lost),
        lost_at - plan.changes_at[0],
        max(delays, default=0),
        daemons - len(out_of_touch) - len(delays),
        before / seconds_of(_CALM),
        sum(lost_at <= at < lost_at + _LOSS_SPAN for at in times),
    )


def _draw_plan(daemons: int, rng: random.Random, seed: int) -> PartitionPlan:
    domains = rng.choice(_DOMAINS)
    share = rng.choice(_SHARES)
    readers = set(range(max(_READERS, domains)))
    others = range(len(readers), daemons - 1)
    lost = readers.union(one for one in others if rng.random() < share)
    changed_at = _STARTS_AT + rng.random() * _CHANGE_SPAN
    return PartitionPlan(
        starts_at=0,
        ends_at=0,
        stops_at=changed_at + _OBSERVED,
        daemons=daemons,
        domains=domains,
        changes_at=(changed_at,),
        lost=frozenset(lost),
        lost_at=changed_at + rng.uniform(-_MAX_OFFSET, _MAX_OFFSET),
        seed=seed,
    )


def _cut_successors(plan: PartitionPlan, rng: random.Random) -> PartitionPlan:
    """Move the change to some time after the loss, and cut off who reads then.

    Cuts come at most as long before or after the change as losses do.
    """
    changed_at = plan.lost_at + _SUCCESSION + rng.random() * _SUCCESSION_SPAN
    return plan._replace(
        stops_at=changed_at + _OBSERVED,
        changes_at=(changed_at,),
        cut_readers=rng.randint(1, _READERS),
        cut_at=changed_at + rng.uniform(-_MAX_OFFSET, _MAX_OFFSET),
    )
