"""A caller's request with its route."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import Route
from cowslippond_core._messages import CallRequest

# Bounds a route's priority, so that both priorities fit into one number.
_MAX_ROUTE_PRIORITY = 0xFFFFFFFF


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
    def is_retryable(self) -> bool:
        """Whether the call may run more than once.

        A body that is too large to buffer can be sent only once.
        """
        return self.route.is_idempotent and self.request.rest is None
