"""A call that needs an upstream, and the upstream granted to it."""

from collections.abc import Callable, Container
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RefusalReason
from cowslippond_core._upstreams import Upstream


class PendingCall(NamedTuple):
    """A call that needs an upstream.

    ``arrived_at``, ``objective_at`` and ``deadline`` are clock times in
    milliseconds. Calls with a lower ``priority`` value are served first.
    ``excluded`` holds the addresses that must not be granted to the call.
    ``is_hedge`` marks a second send of a call whose first send is still in
    flight: it gets a free upstream immediately or none at all.
    ``find_obstacle`` returns why the call must no longer be sent, for instance
    because its caller's key was revoked, or ``None``.
    ``workspace`` is the name of the call's workspace, if it has one, and
    ``weight`` its part of the slots relative to other workspaces: the rate of its
    quota, or 0 if it has none.
    """

    request_id: str
    arrived_at: Millis
    objective_at: Millis
    deadline: Millis
    priority: int
    excluded: Container[str]
    is_hedge: bool = False
    find_obstacle: Callable[[], RefusalReason | None] | None = None
    workspace: str | None = None
    weight: float = 0


class Grant(NamedTuple):
    """The upstream granted to one send.

    ``slowdown`` is the expected service time as a multiple of the usual one.
    ``reading_age`` is the age in milliseconds of the load reading that it is
    based on, or ``None`` if the load of the upstream is not known.
    """

    upstream: Upstream
    slowdown: float
    reading_age: Millis | None
