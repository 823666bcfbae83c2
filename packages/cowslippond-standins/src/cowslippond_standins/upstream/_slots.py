"""The slots of an upstream, and the calls that wait for one."""

import collections

import anyio

from cowslippond_standins.upstream._behaviour import Behaviour


class Slots:
    """Give slots in order of arrival; shed when the queue is full.

    :param behaviour: gives the numbers of slots and of places in the queue.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.busy = 0
        self.waiting: collections.deque[anyio.Event] = collections.deque()

    def in_flight(self) -> int:
        """Return the number of calls that run or wait."""
        return self.busy + len(self.waiting)

    def is_full(self) -> bool:
        """Tell whether a call that comes now is shed."""
        capacity = self.behaviour.slots + self.behaviour.queue
        return self.in_flight() >= capacity

    async def acquire(self) -> None:
        """Wait for a slot."""
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
        """Give a slot back, to the call that waited longest."""
        if self.waiting and self.busy <= self.behaviour.slots:
            self.waiting.popleft().set()
            return
        self.busy -= 1

    def _stop_waiting(self, granted: anyio.Event) -> None:
        if granted.is_set():
            self.release()
            return
        self.waiting.remove(granted)
