"""The queue of a service: admission, service order, slots and expiry.

It is designed for loads of 60 to 130 % of capacity, and for upstreams that
change speed within milliseconds and lose requests beyond their slots.
"""

from cowslippond_core._clock import Millis
from cowslippond_core._reasons import RefusalReason
from cowslippond_core.placing._fair_order import FairOrder
from cowslippond_core.placing._pending_call import PendingCall
from cowslippond_core.placing._service_time import ServiceTimeEstimator
from cowslippond_core.placing._slowdown import GOOD_SLOWDOWN

# A call waits for a faster upstream while its objective leaves this much time
# beyond the service time: about two probe rounds.
_WAIT_MARGIN: Millis = 15

# A call that misses its objective anyway takes no upstream slower than this: on
# a crowded one it would slow down the call that is already running there.
_LATE_MAX_SLOWDOWN = 1.5

# The fraction of the time until its deadline that a call may wait for a slot; a
# longer wait costs the caller more than calling again.
_MAX_WAIT_RATIO = 0.35

# Service times vary around the estimate. A call with less than this fraction of
# it left cannot meet its deadline.
_MIN_SERVICE_TIME_RATIO = 0.7


class CallQueue:
    """The calls of one service that wait for a slot in this process.

    :param estimator: estimates the service time and the wait.
    """

    def __init__(self, estimator: ServiceTimeEstimator) -> None:
        self.estimator = estimator
        self.pending: list[PendingCall] = []
        self.fair_order = FairOrder()

    def check_admission(
        self, call: PendingCall, now: Millis
    ) -> RefusalReason | None:
        """Return why a new call is refused, or ``None`` if it is admitted."""
        if self._misses_deadline(call, now):
            return RefusalReason.DEADLINE
        if call.is_hedge:
            return RefusalReason.QUEUE_FULL if self.pending else None
        ahead = sum(
            1 for other in self.pending if other.priority <= call.priority
        )
        wait = self.estimator.expected_wait(ahead)
        if self.is_too_long(wait, call, now):
            return RefusalReason.QUEUE_FULL
        return None

    def is_too_long(self, wait: Millis, call: PendingCall, now: Millis) -> bool:
        """Tell whether a call that has to wait this long is refused."""
        return wait > _MAX_WAIT_RATIO * (call.deadline - now)

    def add(self, call: PendingCall) -> None:
        """Add a call to the queue."""
        self.pending.append(call)
        self.fair_order.record_call(call)

    def remove(self, call: PendingCall) -> None:
        """Remove a call from the queue, if it is still there."""
        self.pending = [other for other in self.pending if other is not call]

    def service_order(self, now: Millis) -> list[PendingCall]:
        """Return the waiting calls in the order in which to serve them.

        Within a priority, calls that can still meet their objective precede
        those that cannot, and the latest objective comes first. With the
        oldest call first, each call would be answered just too late under
        overload. Workspaces take turns among the calls that share priority and
        lateness.
        """
        ordered = sorted(
            self.pending,
            key=lambda call: (
                call.priority,
                self.is_late(call, now),
                -call.objective_at,
            ),
        )
        return self.fair_order.arrange(
            ordered,
            lambda call: (call.priority, self.is_late(call, now)),
            self.estimator.service_time,
        )

    def record_grant(self, call: PendingCall) -> None:
        """Charge the workspace of a call that got a slot."""
        self.fair_order.record_grant(
            call, self.pending, self.estimator.service_time
        )

    def match(
        self, address: str, slowdown: float, now: Millis
    ) -> PendingCall | None:
        """Return the call to place on an upstream that was just probed.

        :param address: the address of the upstream.
        :param slowdown: see :func:`expected_slowdown`.
        """
        if slowdown > GOOD_SLOWDOWN:
            return None
        for call in self.service_order(now):
            if address not in call.excluded:
                return call
        return None

    def accepts(self, call: PendingCall, slowdown: float, now: Millis) -> bool:
        """Tell whether a call takes the best slot that is available.

        It does if the answer is expected within the objective. Otherwise the
        call waits as long as a faster upstream could still meet the objective.
        """
        if slowdown <= GOOD_SLOWDOWN:
            return True
        if call.is_hedge:
            return False
        finished_at = now + self.estimator.service_time * slowdown
        if finished_at <= call.objective_at:
            return True
        if not self.is_late(call, now + _WAIT_MARGIN):
            return False
        return slowdown <= _LATE_MAX_SLOWDOWN and finished_at <= call.deadline

    def is_late(self, call: PendingCall, now: Millis) -> bool:
        """Tell whether even a free upstream would miss the objective."""
        return now + self.estimator.service_time > call.objective_at

    def expired(self, now: Millis) -> list[PendingCall]:
        """Return the calls to remove because they have waited too long.

        While other calls can still meet their objective, calls that cannot
        are removed, since they would only take slots from them.
        """
        has_timely = any(not self.is_late(call, now) for call in self.pending)
        return [
            call
            for call in self.pending
            if self._is_expired(call, has_timely, now)
        ]

    def obstructed(self) -> list[tuple[PendingCall, RefusalReason]]:
        """Return the calls that must no longer be sent, and why."""
        found = []
        for call in self.pending:
            if call.find_obstacle is None:
                continue
            reason = call.find_obstacle()
            if reason is not None:
                found.append((call, reason))
        return found

    def retry_after(self) -> Millis:
        """Return when a refused call can expect a slot, in milliseconds."""
        return self.estimator.expected_wait(len(self.pending) + 1)

    def _is_expired(
        self, call: PendingCall, has_timely: bool, now: Millis
    ) -> bool:
        if self._misses_deadline(call, now):
            return True
        if not self.is_late(call, now):
            return False
        if call.is_hedge or has_timely:
            return True
        waited = now - call.arrived_at
        return waited > _MAX_WAIT_RATIO * (call.deadline - call.arrived_at)

    def _misses_deadline(self, call: PendingCall, now: Millis) -> bool:
        return (
            now + self.estimator.service_time * _MIN_SERVICE_TIME_RATIO
            >= call.deadline
        )
