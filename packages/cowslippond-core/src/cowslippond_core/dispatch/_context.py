"""State that all dispatches of a process share."""

import random
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from typing import Any, NamedTuple

from cowslippond_core._attempt import Attempt
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._dialect import Dialect
from cowslippond_core._hooks import SendingHooks
from cowslippond_core._stop_limit import StopLimit
from cowslippond_core.dispatch._relay_peers import RelayPeers


def discard_duration(*_: Any) -> None:
    """Discard a duration."""


class DispatchContext(NamedTuple):
    """Dependencies of every dispatch.

    ``count_daemons`` returns the number of running daemons, including this
    one. ``make_attempt`` creates the attempts; simulations replace it.
    ``record_duration`` adds a duration to the histogram of the given name.
    ``relays`` are the daemons that calls can be sent through. ``evacuated`` are
    the failure domains whose upstreams get no calls. ``stop`` tells which calls
    are no longer sent because the daemon stops.
    """

    clock: Clock
    dialect: Dialect
    hooks: SendingHooks
    count_daemons: Callable[[], int]
    rng: random.Random
    make_attempt: Callable[..., Any] = Attempt
    record_duration: Callable[[str, Millis], None] = discard_duration
    relays: RelayPeers | None = None
    evacuated: AbstractSet[str] = frozenset()
    stop: StopLimit | None = None
