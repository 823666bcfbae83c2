"""Refuses calls that pauses and rate limits of all upstreams delay too long."""

from cowslippond_core._clock import Millis
from cowslippond_core.placing._pending_call import PendingCall
from cowslippond_core.placing._queue import CallQueue
from cowslippond_core.placing._selector import UpstreamSelector

# Once an upstream accepts a call, the search for a slot may take this long.
_PLACING_TIME: Millis = 100

# Once timely calls have taken the turn of a late one, late calls do not wait for
# this time: most of them would be refused after their wait.
_OVERTAKING_MEMORY: Millis = 3000


class LimitedWaits:
    """Estimates how long pauses and rate limits of upstreams delay calls.

    :param queue: the calls that wait.
    :param selector: knows the upstreams and their limits.
    """

    def __init__(self, queue: CallQueue, selector: UpstreamSelector) -> None:
        self.queue = queue
        self.selector = selector
        self.overtaken_until: Millis = 0
        # Until when a late call that was not allowed to wait would be waiting.
        self.spared_until: Millis = 0

    def is_refused(self, call: PendingCall, ahead: int, now: Millis) -> bool:
        """Tell whether pauses and limits delay a call for too long.

        A call that would miss its objective may only wait if no other call
        does: timely calls that arrive later would take its turn.

        :param ahead: the number of calls that are sent before it.
        """
        wait = self.selector.acceptance_wait(call.excluded, ahead, now)
        if wait == 0:
            return False
        if self.queue.is_too_long(wait + _PLACING_TIME, call, now):
            return True
        may_be_overtaken = ahead > 0 or now < self.overtaken_until
        if not may_be_overtaken:
            return False
        if self.queue.is_late(call, now + wait):
            self.spared_until = max(self.spared_until, now + wait)
            return True
        if now < self.spared_until:
            # The spared call would have lost its turn to this one.
            self.overtaken_until = now + _OVERTAKING_MEMORY
        return False

    def refused_calls(self, now: Millis) -> list[PendingCall]:
        """Return the waiting calls that are delayed for too long."""
        refused = [
            call
            for ahead, call in enumerate(self.queue.service_order(now))
            if self.is_refused(call, ahead, now)
        ]
        if refused:
            self.overtaken_until = now + _OVERTAKING_MEMORY
        return refused

    def retry_after(self, now: Millis) -> Millis:
        """Return when a refused call can expect an upstream, in milliseconds."""
        waiting = len(self.queue.pending)
        limited = self.selector.acceptance_wait(frozenset(), waiting, now)
        return max(self.queue.retry_after(), limited)
