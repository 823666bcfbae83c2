"""The VM list, which shows changes only after a configurable lag."""

from collections.abc import Sequence
from typing import TypeAlias, TypedDict

from cowslippond_core import Clock, Millis

from cowslippond_standins._history import History
from cowslippond_standins.platform._faults import Faults


class TargetGroup(TypedDict):
    """An entry of the VM list, in the Prometheus HTTP discovery format."""

    targets: list[str]
    labels: dict[str, str]


VmList: TypeAlias = tuple[TargetGroup, ...]


class VmRegister:
    """The actual VMs, and the delayed list that the platform serves.

    ``lag_ms`` is the time from a change until it appears in the served list.
    """

    def __init__(self, clock: Clock, faults: Faults) -> None:
        self.clock = clock
        self.faults = faults
        self.lag_ms: Millis = 0
        self.history = History[VmList](())

    def served(self) -> VmList:
        """Return the list that the platform serves now."""
        self.faults.throttle('reads')
        return self.history.read(self.faults.snapshot_time() - self.lag_ms)

    def replace(self, groups: Sequence[TargetGroup]) -> None:
        """Replace the whole list."""
        self.history.write(self.clock.now(), tuple(groups))

    def add(self, group: TargetGroup) -> None:
        """Add a VM, or replace the one with the same name."""
        name = group['labels']['vm']
        others = [
            old for old in self.history.newest() if old['labels']['vm'] != name
        ]
        self.replace([*others, group])

    def remove(self, vm: str) -> None:
        """Remove a VM from the list."""
        groups = self.history.newest()
        self.replace([old for old in groups if old['labels']['vm'] != vm])

    def set_state(self, vm: str, state: str) -> None:
        """Set the state of one VM.

        :param state: ``live`` or ``leaving``.
        """
        changed: list[TargetGroup] = []
        for group in self.history.newest():
            labels = group['labels']
            if labels['vm'] == vm:
                labels = {**labels, 'state': state}
            changed.append({'targets': group['targets'], 'labels': labels})
        self.replace(changed)
