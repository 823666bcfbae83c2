"""Which waiting call gets a slot, which waits on, and which is refused.

The load in mind is a service whose upstreams change speed within milliseconds
and lose requests beyond their slots, at 60 to 130 % of what they can carry.
"""

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.placing._pending_call import PendingCall
from cowslippond_core.placing._service_time import ServiceTimeEstimator
from cowslippond_core.placing._slowdown import GOOD_SLOWDOWN

# A call waits for a better upstream while this much time is left beyond the
# work, in milliseconds: about two rounds of readings.
_WAIT_MARGIN: Millis = 15

# A call that is late in any case takes no upstream slower than this: a crowded one
# would hold up the call that runs there.
_LATE_FACTOR = 1.5

# The share of its time that a call may wait for a slot; a longer wait costs its
# caller more than coming back does.
_LONGEST_HOLD = 0.35

# Answers vary around the usual work; less than this part of it is hopeless.
_LEAST_WORK = 0.7


class CallQueue:
    """The calls of one service that wait for a slot in this process.

    :param pace: what is known of the service's speed.
    """

    def __init__(self, pace: ServiceTimeEstimator) -> None:
        self.estimator = pace
        self.pending: list[PendingCall] = []

    def check_admission(
        self, ask: PendingCall, now: Millis
    ) -> RefusalReason | None:
        """Return why a call isn't taken in, if it can't be served in time."""
        if self._is_hopeless(ask, now):
            return RefusalReason.DEADLINE
        if ask.is_hedge:
            return RefusalReason.QUEUE_FULL if self.pending else None
        ahead = sum(
            1 for other in self.pending if other.priority <= ask.priority
        )
        wait = self.estimator.expected_wait(ahead)
        if wait > _LONGEST_HOLD * (ask.deadline - now):
            return RefusalReason.QUEUE_FULL
        return None

    def add(self, ask: PendingCall) -> None:
        """Let a call wait."""
        self.pending.append(ask)

    def remove(self, ask: PendingCall) -> None:
        """End a call's wait."""
        self.pending = [other for other in self.pending if other is not ask]

    def service_order(self, now: Millis) -> list[PendingCall]:
        """Return the waiting calls, the one to be served first at the head.

        Within a priority, calls that can still meet their objective go before
        those that cannot, and the youngest go first: under overload the oldest
        would be answered just too late, one after the other.
        """
        return sorted(
            self.pending,
            key=lambda ask: (
                ask.priority,
                self.is_late(ask, now),
                -ask.objective_at,
            ),
        )

    def match(
        self, address: str, factor: float, now: Millis
    ) -> PendingCall | None:
        """Return the call that takes a slot which was just read.

        :param address: the upstream's.
        :param factor: how slow it is; see :func:`rate`.
        """
        if factor > GOOD_SLOWDOWN:
            return None
        for ask in self.service_order(now):
            if address not in ask.excluded:
                return ask
        return None

    def accepts(self, ask: PendingCall, factor: float, now: Millis) -> bool:
        """Tell whether a call takes the best slot that readings found.

        It does if the answer meets the objective. If it doesn't, the call
        waits for a faster upstream while that can still meet it.
        """
        if factor <= GOOD_SLOWDOWN:
            return True
        if ask.is_hedge:
            return False
        finish = now + self.estimator.service_time * factor
        if finish <= ask.objective_at:
            return True
        if not self.is_late(ask, now + _WAIT_MARGIN):
            return False
        return factor <= _LATE_FACTOR and finish <= ask.deadline

    def is_late(self, ask: PendingCall, now: Millis) -> bool:
        """Tell whether a good upstream could no longer meet the objective."""
        return now + self.estimator.service_time > ask.objective_at

    def expired(self, now: Millis) -> list[PendingCall]:
        """Return the calls whose wait has lasted too long to go on.

        While calls wait that can still meet their objective, those that cannot
        would only take slots from them.
        """
        is_short = any(not self.is_late(ask, now) for ask in self.pending)
        return [
            ask for ask in self.pending if self._is_expired(ask, is_short, now)
        ]

    def retry_after(self) -> Millis:
        """Return when a refused call can expect a slot, in milliseconds."""
        return self.estimator.expected_wait(len(self.pending) + 1)

    def _is_expired(
        self, ask: PendingCall, is_short: bool, now: Millis
    ) -> bool:
        if self._is_hopeless(ask, now):
            return True
        if not self.is_late(ask, now):
            return False
        if ask.is_hedge or is_short:
            return True
        held = now - ask.arrived_at
        return held > _LONGEST_HOLD * (ask.deadline - ask.arrived_at)

    def _is_hopeless(self, ask: PendingCall, now: Millis) -> bool:
        return now + self.estimator.service_time * _LEAST_WORK >= ask.deadline
