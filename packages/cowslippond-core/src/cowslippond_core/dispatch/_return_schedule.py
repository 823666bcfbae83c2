"""Decides when the callers of refused calls are to come back.

It is designed for bursts of about twice the capacity that last for seconds, after
which callers that return together would cause the next burst, and for callers
of whom a third tries again at once.
"""

import math
import random
from collections import OrderedDict
from typing import NamedTuple

from cowslippond_core._clock import Millis

_MIN_RETRY_AFTER: Millis = 50
_MAX_RETRY_AFTER: Millis = 3000

# A caller that waits for this fraction of its deadline has time left to be
# served.
_MAX_DEADLINE_RATIO = 0.25

# Capacity may come later than expected by this factor, as service times vary.
_UNCERTAINTY = 1.5

# Multiples of the golden ratio, modulo 1, fill an interval evenly, however many
# there are.
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2

# Bounds the memory. Calls beyond are spread over the longest interval.
_MAX_RETURNS = 4096
_MAX_CALLERS = 1024

# A call that was served less than this long ago shows that several callers send
# the same call, so that a repeat does not tell which of them it is from.
_SHARED_CALL_MEMORY: Millis = 3000

# Callers that try again at once do so three times.
_MAX_EARLY_RETURNS = 3


class Refused(NamedTuple):
    """A refused call.

    ``earliest`` is how long pauses and limits of upstreams delay any call, and
    ``slot_interval`` the time in which this daemon gets a slot, both in
    milliseconds. ``deadline`` is the time in milliseconds that the caller gave.
    """

    priority: int
    earliest: Millis
    slot_interval: Millis
    deadline: Millis


class _Return(NamedTuple):
    at: Millis
    priority: int


class _Refusals(NamedTuple):
    until: Millis
    early_returns: int


class EarlyReturns:
    """Recognizes callers that return before the time that they were told.

    They must not displace those that wait: each of their calls would be another
    chance for a slot. Callers are told apart by their calls, so a call that was
    served recently counts for none of them.
    """

    def __init__(self) -> None:
        self.refusals: OrderedDict[str, _Refusals] = OrderedDict()
        self.served: OrderedDict[str, Millis] = OrderedDict()

    def record_refusal(self, key: str, now: Millis) -> None:
        """Remember that a call was refused."""
        known = self.refusals.pop(key, None)
        count = 0
        if known is not None and now < known.until:
            count = known.early_returns
        # No caller is told to come back sooner, so an earlier one did not wait.
        self.refusals[key] = _Refusals(now + _MIN_RETRY_AFTER, count)
        _limit(self.refusals)

    def record_served(self, key: str, now: Millis) -> None:
        """Remember that a call was sent to an upstream."""
        self.served.pop(key, None)
        self.served[key] = now
        _limit(self.served)

    def check(self, key: str, now: Millis) -> bool:
        """Tell whether a call is an early return, and count it."""
        known = self.refusals.get(key)
        if known is None or now >= known.until:
            return False
        if known.early_returns >= _MAX_EARLY_RETURNS:
            return False
        if now - self.served.get(key, -math.inf) < _SHARED_CALL_MEMORY:
            return False
        self.refusals[key] = known._replace(
            early_returns=known.early_returns + 1
        )
        return True


class ReturnSchedule:
    """Distributes the returns of one service's refused calls.

    :param rng: chooses where the distribution begins, which has to differ
        between daemons.
    """

    def __init__(self, rng: random.Random) -> None:
        self.position = rng.random()
        self.returns: list[_Return] = []
        self.early_returns = EarlyReturns()

    def assign(self, refused: Refused, now: Millis) -> Millis:
        """Return after which time the caller may come back.

        The times of all calls that have been refused and have not returned yet
        fill the interval in which this daemon gets as many slots. A call that
        is more urgent than others gets a time in an earlier part of it.
        """
        self.returns = [one for one in self.returns if one.at > now]
        waiting = len(self.returns) + 1
        urgent = sum(one.priority < refused.priority for one in self.returns)
        less_urgent = sum(
            one.priority > refused.priority for one in self.returns
        )
        start = max(refused.earliest, _MIN_RETRY_AFTER)
        length = max(
            waiting * refused.slot_interval, start * (_UNCERTAINTY - 1)
        )
        end = min(start + length, _longest(refused))
        start = min(start, end / _UNCERTAINTY)
        self.position = math.modf(self.position + _GOLDEN_RATIO)[0]
        share = 1 - (urgent + less_urgent) / waiting
        part = urgent / waiting + share * self.position
        delay = max(start + (end - start) * part, _MIN_RETRY_AFTER)
        if len(self.returns) < _MAX_RETURNS:
            self.returns.append(_Return(now + delay, refused.priority))
        return delay


def _longest(refused: Refused) -> Millis:
    by_deadline = refused.deadline * _MAX_DEADLINE_RATIO
    return max(min(by_deadline, _MAX_RETRY_AFTER), _MIN_RETRY_AFTER)


def _limit(
    entries: OrderedDict[str, _Refusals] | OrderedDict[str, Millis],
) -> None:
    if len(entries) > _MAX_CALLERS:
        entries.popitem(last=False)
