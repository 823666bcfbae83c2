"""A value with its past, so that a read can see an older state."""

from typing import Generic, TypeVar

from cowslippond_core import Millis

_RETENTION: Millis = 120_000

State = TypeVar('State')


class History(Generic[State]):
    """The states of a value, each with the time it was written.

    :param first: the state before any write.
    """

    def __init__(self, initial: State) -> None:
        self.states: list[tuple[Millis, State]] = [(-1, initial)]

    def write(self, now: Millis, state: State) -> None:
        """Add a state and forget those that are no longer needed."""
        self.states.append((now, state))
        horizon = now - _RETENTION
        while len(self.states) > 1 and self.states[1][0] < horizon:
            self.states.pop(0)

    def newest(self) -> State:
        """Return the newest state."""
        return self.states[-1][1]

    def read(self, at: Millis) -> State:
        """Return the state at a time.

        :param at: on the clock, in milliseconds.
        """
        for written_at, state in reversed(self.states):
            if written_at <= at:
                return state
        return self.states[0][1]
