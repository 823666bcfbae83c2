"""The slots of an upstream and its queue of waiting calls."""

import collections

import anyio

from cowslippond_standins.upstream._behaviour import Behaviour


class Slots:
    """Grants slots to calls in order of arrival.

    :param behaviour: settings with the numbers of slots and of queued calls.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.busy = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()

    def in_flight(self) -> int:
        """Return the number of running and waiting calls."""
        return self.busy + len(self.waiting)

    def is_full(self) -> bool:
        """Return whether slots and queue are full, so that calls are shed."""
        capacity = self.behaviour.slots + self.behaviour.queue
        return self.in_flight() >= capacity

    async def acquire(self) -> None:
        """Take a slot, waiting for one if all are busy."""
        if self.busy < self.behaviour.slots:
            self.busy += 1
            return
        granted = anyio.Event()
        self.waiting.append(granted)
        try:
            await granted.wait()
        except BaseException:
            self._stop_waiting(granted)
            raise

    def release(self) -> None:
        """Release a slot, or pass it to the call that has waited longest.

        Surplus slots are not passed on after the number of slots was reduced.
        """
        if self.waiting and self.busy <= self.behaviour.slots:
            self.waiting.popleft().set()
            return
        self.busy -= 1

    def _stop_waiting(self, granted: anyio.Event) -> None:
        if granted.is_set():
            self.release()
            return
        self.waiting.remove(granted)
