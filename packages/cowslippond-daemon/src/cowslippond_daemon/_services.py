"""The state of each service, updated from its documents and the VM list."""

from collections.abc import Callable, Iterable

from anyio.abc import TaskGroup
from cowslippond_core import (
    Clock,
    InForce,
    ServiceState,
    Vm,
)


class ServiceStates:
    """The service states of one daemon, created on first use.

    :param tasks: the task group for the connections of all services.
    :param clock: the clock of the daemon.
    :param max_daemons: how many daemons may share an upstream.
    :param read_vms: returns the latest VM list.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        clock: Clock,
        max_daemons: int,
        read_vms: Callable[[], Iterable[Vm]],
    ) -> None:
        self.tasks = tasks
        self.clock = clock
        self.max_daemons = max_daemons
        self.read_vms = read_vms
        self.states: dict[str, ServiceState] = {}

    def get_state(self, in_force: InForce) -> ServiceState:
        """Return the state of a service, updated to its current document."""
        document = in_force.document
        state = self.states.get(document.service)
        if state is None:
            state = ServiceState(
                document, self.tasks, self.clock, self.max_daemons
            )
            state.update_upstreams(self.read_vms())
            self.states[document.service] = state
        elif state.document is not document:
            state.replace_document(document)
        return state

    def update_vms(self, vms: Iterable[Vm]) -> None:
        """Update all services from a new VM list."""
        vm_list = tuple(vms)
        for state in self.states.values():
            state.update_upstreams(vm_list)
