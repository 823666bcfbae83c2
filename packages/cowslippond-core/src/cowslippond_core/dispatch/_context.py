"""What all calls of a process share while they are dispatched."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from cowslippond_core._attempt import Attempt
from cowslippond_core._clock import Clock, Millis
from cowslippond_core._dialect import Dialect
from cowslippond_core._hooks import SendingHooks


def note_nothing(*_: Any) -> None:
    """Keep no histogram."""


class DispatchContext(NamedTuple):
    """The parts that every dispatch uses.

    ``count_daemons`` returns how many daemons serve, this one included.
    ``make_attempt`` makes the sends; a model of upstreams brings its own.
    ``note_span`` keeps time spans by the name of their histogram.
    """

    clock: Clock
    dialect: Dialect
    hooks: SendingHooks
    count_daemons: Callable[[], int]
    rng: random.Random
    make_attempt: Callable[..., Any] = Attempt
    record_duration: Callable[[str, Millis], None] = note_nothing
