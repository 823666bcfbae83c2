"""Rules for calls that demand beyond the capacity would make late.

They exist for bursts of about twice the usual load, for upstreams that are
slower while nearly all their slots are taken, and for failure domains that lose
power.
"""

from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core.placing._pending_call import PendingCall

# A refusal is to be sent within an eighth of the objective. This leaves time for
# the probe round during which the wait ends.
_WAIT_RATIO = 0.1

# With half instead, many daemons did not notice the overload: 95 % of the
# refusals in the model took 0.6 instead of 0.1 of the objective.
_FULL_RATIO = 0.75


class OverloadRules(NamedTuple):
    """Which slots are used and which calls are refused under overload.

    ``keeps_crowded_free`` leaves slots free whose use would lower the number of
    calls that an upstream completes per second. While at most the fraction
    ``full_ratio`` of the recent load readings showed a slot to use, a call waits
    for at most the fraction ``wait_ratio`` of its objective, and late calls are
    not served if ``refuses_late``.
    """

    keeps_crowded_free: bool = False
    full_ratio: float = _FULL_RATIO
    wait_ratio: float = _WAIT_RATIO
    refuses_late: bool = True

    def longest_wait_at(self, call: PendingCall) -> Millis:
        """Return until when a call may wait under overload."""
        objective = call.objective_at - call.arrived_at
        return call.arrived_at + self.wait_ratio * objective


DEFAULT_RULES = OverloadRules()
