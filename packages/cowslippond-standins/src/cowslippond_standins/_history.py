"""Versioned values that support reads of an older state."""

from typing import Generic, TypeVar

from cowslippond_core import Millis

_RETENTION: Millis = 120_000

State = TypeVar('State')


class History(Generic[State]):
    """The states of a value with the times at which they were written.

    :param initial: state before the first write.
    """

    def __init__(self, initial: State) -> None:
        self.states: list[tuple[Millis, State]] = [(-1, initial)]

    def write(self, now: Millis, state: State) -> None:
        """Add a state and drop those older than the retention period."""
        self.states.append((now, state))
        horizon = now - _RETENTION
        while len(self.states) > 1 and self.states[1][0] < horizon:
            self.states.pop(0)

    def newest(self) -> State:
        """Return the newest state."""
        return self.states[-1][1]

    def read(self, at: Millis) -> State:
        """Return the state at a point in time, or the oldest one retained.

        :param at: clock time in milliseconds.
        """
        for written_at, state in reversed(self.states):
            if written_at <= at:
                return state
        return self.states[0][1]
