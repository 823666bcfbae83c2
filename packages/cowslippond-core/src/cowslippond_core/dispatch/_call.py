"""A caller's request with its route."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import Route
from cowslippond_core._dialect import NotRunReason
from cowslippond_core._messages import CallRequest

# Bounds a route's priority, so that both priorities fit into one number.
_MAX_ROUTE_PRIORITY = 0xFFFFFFFF

# A call without a deadline waits for an upstream as if it had this one.
_PLACING_LIMIT: Millis = 30_000


class Call(NamedTuple):
    """A caller's request with its route.

    ``arrived_at`` is a clock time in milliseconds.
    """

    request: CallRequest
    route: Route
    arrived_at: Millis

    @property
    def effective_deadline(self) -> Millis:
        """The earlier of the request's deadline and the route's timeout."""
        return min(self.request.deadline, self.arrived_at + self.route.timeout)

    @property
    def priority(self) -> int:
        """The rank among waiting calls; 0 is the most urgent.

        The workspace's priority takes precedence over the route's. For a call
        without a workspace, the route's priority stands for both.
        """
        access = self.request.access
        route_priority = min(self.route.priority, _MAX_ROUTE_PRIORITY)
        outer = route_priority if access is None else access.workspace.priority
        return outer * (_MAX_ROUTE_PRIORITY + 1) + route_priority

    @property
    def objective_at(self) -> Millis:
        """The time up to which an answer meets the route's objective."""
        return self.arrived_at + self.route.objective

    @property
    def placing_deadline(self) -> Millis:
        """The deadline by which waits for an upstream are bounded.

        A call without a deadline would otherwise wait in the queue forever.
        """
        return min(self.effective_deadline, self.arrived_at + _PLACING_LIMIT)

    @property
    def is_streamed(self) -> bool:
        """Whether the body is too large to buffer."""
        return self.request.rest is not None

    def may_resend_after(self, reason: NotRunReason) -> bool:
        """Tell whether the call can be sent again after a promise.

        A body that was partly streamed is gone. It is still whole if no
        connection was made.
        """
        if reason is NotRunReason.DEADLINE:
            return False
        return not self.is_streamed or reason is NotRunReason.CONNECT_FAILED

    @property
    def is_retryable(self) -> bool:
        """Whether the call may run more than once.

        A body that is too large to buffer can be sent only once.
        """
        return self.route.is_idempotent and self.request.rest is None
