"""A caller's request with its route."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import Route
from cowslippond_core._messages import CallRequest


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
        """The rank among waiting calls; 0 is the most urgent."""
        return self.route.priority

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
