"""What all calls of a process share while they are dispatched."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from cowslippond_core._attempt import Attempt
from cowslippond_core._clock import Clock
from cowslippond_core._dialect import Dialect
from cowslippond_core._hooks import SendingHooks


class DispatchContext(NamedTuple):
    """The parts that every dispatch uses.

    ``count_daemons`` returns how many daemons serve, this one included.
    ``make_attempt`` makes the sends; a model of upstreams brings its own.
    """

    clock: Clock
    dialect: Dialect
    hooks: SendingHooks
    count_daemons: Callable[[], int]
    rng: random.Random
    make_attempt: Callable[..., Any] = Attempt
