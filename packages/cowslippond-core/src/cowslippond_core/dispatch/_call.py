"""One call of a caller with the route that it takes."""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._configuration import Route
from cowslippond_core._messages import CallRequest


class Call(NamedTuple):
    """A call that has a route.

    ``arrived_at`` is on the clock, in milliseconds.
    """

    request: CallRequest
    route: Route
    arrived_at: Millis

    @property
    def effective_deadline(self) -> Millis:
        """When the caller gets the final answer at the latest."""
        return min(self.request.deadline, self.arrived_at + self.route.timeout)

    @property
    def objective_at(self) -> Millis:
        """Until when an answer is worth most."""
        return self.arrived_at + self.route.objective

    @property
    def is_retryable(self) -> bool:
        """Whether the call may run more than once."""
        return self.route.is_idempotent and self.request.rest is None
