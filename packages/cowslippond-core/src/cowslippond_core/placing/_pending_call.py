"""A call that asks for an upstream, and what it gets."""

from collections.abc import Container
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._upstreams import Upstream


class PendingCall(NamedTuple):
    """What a call that needs an upstream says of itself.

    ``arrived_at``, ``objective_at`` and ``deadline`` are on the clock, in
    milliseconds. ``tried`` holds the addresses that it must not get again.
    ``is_copy`` marks a second send beside one that is under way: it gets a
    free upstream or none.
    """

    request_id: str
    arrived_at: Millis
    objective_at: Millis
    deadline: Millis
    priority: int
    excluded: Container[str]
    is_hedge: bool = False


class Grant(NamedTuple):
    """An upstream for one send.

    ``factor`` is how many times as long as usual the work is expected to take,
    ``reading_age`` the age of the reading that says so, in milliseconds;
    ``None`` if the load of the upstream isn't known.
    """

    upstream: Upstream
    slowdown: float
    reading_age: Millis | None
