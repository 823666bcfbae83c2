"""Orders the calls of workspaces that compete for the slots of a service.

It is designed for 85 workspaces whose sizes differ by a factor of a hundred, one
of which may send eight times its usual load.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from itertools import groupby
from typing import TypeAlias

from cowslippond_core._clock import Millis
from cowslippond_core.placing._pending_call import PendingCall

WorkspaceName: TypeAlias = str | None

# The maximum number of workspaces that are remembered, of each kind of state.
_MAX_WORKSPACES = 512

# The weight of a new sample in the moving average of a workspace's service
# time; service times vary by a third.
_SAMPLE_WEIGHT = 0.1


class _Level:
    """The virtual times of one priority.

    ``finish`` holds, for each workspace that is ahead of ``now``, the time up
    to which it has been served.
    """

    def __init__(self) -> None:
        self.now: float = 0
        self.finish: dict[WorkspaceName, float] = {}

    def start_of(self, workspace: WorkspaceName) -> float:
        return max(self.finish.get(workspace, 0), self.now)

    def prune(self) -> None:
        """Forget workspaces that are not ahead, then those least ahead."""
        self.finish = {
            workspace: time
            for workspace, time in self.finish.items()
            if time > self.now
        }
        if len(self.finish) > _MAX_WORKSPACES:
            ahead = heapq.nlargest(
                _MAX_WORKSPACES,
                self.finish.items(),
                key=lambda entry: entry[1],
            )
            self.finish = dict(ahead)


class FairOrder:
    """Start-time fair queueing over the workspaces with waiting calls.

    Each workspace is served in proportion to its weight, by expected work. A
    workspace without waiting calls neither saves up time nor keeps a debt.
    Calls without a workspace count as those of one more.
    """

    def __init__(self) -> None:
        # Set by the first call with a workspace. Until then the order of the
        # queue is returned as it is.
        self.is_active = False
        self.heaviest: float = 1
        self.levels: dict[int, _Level] = {}
        self.work_times: OrderedDict[WorkspaceName, Millis] = OrderedDict()

    def record_call(self, call: PendingCall) -> None:
        """Learn from a new call which workspaces compete."""
        if call.workspace is not None:
            self.is_active = True
            self.heaviest = max(self.heaviest, call.weight)

    def record_grant(
        self,
        call: PendingCall,
        competing: Iterable[PendingCall],
        usual_work: Millis,
    ) -> None:
        """Charge a workspace for a call that got a slot.

        :param competing: the calls that wait.
        :param usual_work: the expected service time of the service's calls.
        """
        if not self.is_active:
            return
        level = self.levels.setdefault(call.priority, _Level())
        start = level.start_of(call.workspace)
        level.now = min(
            (
                level.start_of(other.workspace)
                for other in competing
                if other.priority == call.priority
            ),
            default=start,
        )
        level.finish[call.workspace] = start + self._cost(call, usual_work)
        if len(level.finish) > _MAX_WORKSPACES:
            level.prune()

    def record_work(self, workspace: WorkspaceName, work: Millis) -> None:
        """Update the expected service time of a workspace's calls."""
        if workspace is None:
            return
        expected = self.work_times.get(workspace, work)
        expected += _SAMPLE_WEIGHT * (work - expected)
        self.work_times[workspace] = expected
        self.work_times.move_to_end(workspace)
        if len(self.work_times) > _MAX_WORKSPACES:
            self.work_times.popitem(last=False)

    def expected_work(self, call: PendingCall, usual_work: Millis) -> Millis:
        """Return the expected service time of a call."""
        return self.work_times.get(call.workspace, usual_work)

    def weight_of(self, call: PendingCall) -> float:
        """Return a workspace's weight; one without a quota is a large one."""
        return call.weight or self.heaviest

    def arrange(
        self,
        ordered: list[PendingCall],
        rank: Callable[[PendingCall], tuple[int, ...]],
        usual_work: Millis,
    ) -> list[PendingCall]:
        """Interleave the workspaces among calls of the same rank.

        :param ordered: the waiting calls, ordered by rank and then by the order
            that is kept within each workspace.
        :param rank: the rank of a call, which takes precedence over fairness.
            It starts with the priority.
        """
        if not self.is_active or len(ordered) < 2:
            return ordered
        arranged: list[PendingCall] = []
        for _, group in groupby(ordered, rank):
            arranged.extend(self._interleave(list(group), usual_work))
        return arranged

    def _interleave(
        self, calls: list[PendingCall], usual_work: Millis
    ) -> list[PendingCall]:
        lanes: dict[WorkspaceName, deque[PendingCall]] = {}
        for call in calls:
            lanes.setdefault(call.workspace, deque()).append(call)
        if len(lanes) == 1:
            return calls
        level = self.levels.get(calls[0].priority) or _Level()
        # The number makes equal times keep the order of the calls.
        heap = [
            (level.start_of(workspace), number, lane)
            for number, (workspace, lane) in enumerate(lanes.items())
        ]
        heapq.heapify(heap)
        arranged: list[PendingCall] = []
        while heap:
            start, number, lane = heap[0]
            served = lane.popleft()
            arranged.append(served)
            if lane:
                later = start + self._cost(served, usual_work)
                heapq.heapreplace(heap, (later, number, lane))
            else:
                heapq.heappop(heap)
        return arranged

    def _cost(self, call: PendingCall, usual_work: Millis) -> float:
        work = self.expected_work(call, usual_work)
        return work / self.weight_of(call)
