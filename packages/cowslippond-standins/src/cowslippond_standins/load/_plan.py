"""Schedule of a run: its calls, their start times and expected answers."""

import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple
from urllib.parse import urlencode

from cowslippond_core import Millis

_SECOND: Millis = 1000
_NONCE_BITS = 64
_CALLER_COUNT = 100
_WORK_DIGITS = 3


class Phase(NamedTuple):
    """A period of a run with a constant rate, in calls per second."""

    duration_ms: Millis
    rate: float


class Mix(NamedTuple):
    """Distribution of the calls to one service.

    ``weight`` is its relative share of all calls. A fraction ``order_share``
    of its calls are orders with a key; a fraction ``repeat_share`` of the
    orders are sent a second time after ``repeat_after_ms``. The work of a
    call is exponentially distributed with mean ``mean_work_ms``. ``sizes``
    are the possible sizes of answers in bytes. ``deadline_ms`` is sent with
    every call; zero sends none. ``caller_header`` is the header that
    identifies the caller of an order.
    """

    host: str
    lookup_path: str
    order_path: str = ''
    weight: float = 1
    order_share: float = 0
    repeat_share: float = 0
    repeat_after_ms: Millis = 50
    mean_work_ms: Millis = 8
    sizes: tuple[int, ...] = (256,)
    deadline_ms: Millis = 0
    caller_header: str = 'authorization'


class PlannedCall(NamedTuple):
    """A scheduled call.

    ``at`` is its intended start, relative to the start of the run. ``key`` is
    empty for a lookup. ``size`` is the expected size of the answer.
    ``is_repeat`` marks the second attempt of an order.
    """

    at: Millis
    host: str
    method: str
    target: str
    key: str
    caller: str
    nonce: str
    size: int
    deadline_ms: Millis
    caller_header: str
    is_repeat: bool = False


def plan_calls(
    phases: Sequence[Phase], mixes: Sequence[Mix], seed: int
) -> list[PlannedCall]:
    """Return the calls of a run, sorted by start time.

    :param seed: seed of the random schedule; equal seeds give equal plans.
    """
    rng = random.Random(seed)
    calls = []
    weights = [mix.weight for mix in mixes]
    for at in _arrivals(phases, rng):
        mix = rng.choices(mixes, weights)[0]
        call = _plan_call(at, mix, rng)
        calls.append(call)
        if call.key and rng.random() < mix.repeat_share:
            repeat_at = at + mix.repeat_after_ms
            calls.append(call._replace(at=repeat_at, is_repeat=True))
    calls.sort(key=lambda call: call.at)
    return calls


def _arrivals(phases: Sequence[Phase], rng: random.Random) -> Iterator[Millis]:
    start: Millis = 0
    for phase in phases:
        end = start + phase.duration_ms
        at = start + rng.expovariate(phase.rate / _SECOND)
        while at < end:
            yield at
            at += rng.expovariate(phase.rate / _SECOND)
        start = end


def _plan_call(at: Millis, mix: Mix, rng: random.Random) -> PlannedCall:
    nonce = format(rng.getrandbits(_NONCE_BITS), '016x')
    size = rng.choice(mix.sizes)
    work = round(rng.expovariate(1 / mix.mean_work_ms), _WORK_DIGITS)
    query = urlencode({'nonce': nonce, 'size': size, 'work': work})
    caller = rng.randrange(_CALLER_COUNT)
    is_order = rng.random() < mix.order_share
    path = mix.order_path if is_order else mix.lookup_path
    key = f'key-{nonce}' if is_order else ''
    return PlannedCall(
        at=at,
        host=mix.host,
        method='POST' if is_order else 'GET',
        target='?'.join((path, query)),
        key=key,
        caller=f'caller-{caller}',
        nonce=nonce,
        size=size,
        deadline_ms=mix.deadline_ms,
        caller_header=mix.caller_header,
    )
