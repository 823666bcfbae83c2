"""How far the calls of a workspace may exceed its quota, and what uses that."""

from typing import NamedTuple

from cowslippond_core._clock import Millis, seconds_of
from cowslippond_core.workspaces import Workspace

# Each purpose gets this part of the calls by which a quota may be exceeded. The
# rest covers daemons whose lists of daemons differ for some seconds.
_PURPOSE_PART = 0.25

# A higher reserve would let small workspaces use half as much again for long.
_MAX_RESERVE = 0.5

#: How long a daemon may use a token that it has asked for ahead of need. Tokens
#: used late add at most this time's rate to a window of five seconds.
LEASE_TIME: Millis = 150


class QuotaBounds(NamedTuple):
    """The bound on a workspace's calls, over all daemons together.

    In any ``window``, in milliseconds, the calls may exceed the rate and burst
    by the fraction ``overshoot`` plus ``slack`` calls.
    """

    window: Millis
    overshoot: float
    slack: float

    def fallback_calls(self, workspace: Workspace) -> float:
        """Return the calls per window without contact, from all daemons."""
        return self._excess(workspace) * _PURPOSE_PART

    def reserve(self, workspace: Workspace) -> float:
        """Return the fraction by which the owners' shares exceed the rate.

        It makes up for owners that do not answer.
        """
        calls = workspace.rate * seconds_of(self.window)
        part = self._excess(workspace) * _PURPOSE_PART
        return min(part / calls, _MAX_RESERVE)

    def extra_burst(self, workspace: Workspace) -> float:
        """Return the calls that the owners' buckets hold above the burst.

        Small workspaces need it: their few tokens are divided among owners.
        """
        return self._excess(workspace) * _PURPOSE_PART

    def share_excess(self, workspace: Workspace) -> float:
        """Return the factor by which the shares may exceed their usual sum.

        Owners exceed it while their lists of daemons differ. Tokens that are
        used late need the same part of the slack.
        """
        late = workspace.rate * seconds_of(LEASE_TIME)
        spare = max(self._excess(workspace) * _PURPOSE_PART - late, 0)
        rate = workspace.rate * (1 + self.reserve(workspace))
        burst = workspace.burst + self.extra_burst(workspace)
        return 1 + spare / (rate * seconds_of(self.window) + burst)

    def _excess(self, workspace: Workspace) -> float:
        calls = workspace.rate * seconds_of(self.window) + workspace.burst
        return calls * self.overshoot + self.slack
