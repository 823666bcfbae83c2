"""Client for the platform stand-in: its faults and its VM list."""

import uuid
from collections.abc import Mapping
from typing import Any

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._ports import free_ports
from cowslippond_standins.harness._processes import Processes

_HOST = '127.0.0.1'


class PlatformHandle:
    """Starts and controls the platform stand-in."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.port = free_ports(1)
        self.url = f'http://{_HOST}:{self.port}'
        self.vm_list_url = f'{self.url}/vms'

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        child = self.processes.start(
            'platform', 'cowslippond_standins.platform', f'--port={self.port}'
        )
        await self.processes.wait_ready(child, f'{self.url}/control')

    async def control(self, command: str, **fields: Any) -> Any:
        """Send a control command to the platform and return its counters."""
        return await _http.post_json(
            f'{self.url}/control', {'command': command, **fields}
        )

    async def counters(self) -> Any:
        """Return the counters of requests and faults, by component."""
        return await _http.get_json(f'{self.url}/control')

    async def register_vm(self, address: Address, **labels: str) -> None:
        """Add a new VM in state ``live`` to the VM list."""
        all_labels: Mapping[str, str] = {
            'incarnation': uuid.uuid4().hex,
            'state': 'live',
            **labels,
        }
        entry = {'targets': [str(address)], 'labels': all_labels}
        await self.control('add_vm', vm=entry)

    async def set_state(self, vm: str, state: str) -> None:
        """Set the state of a VM on the VM list.

        :param state: ``live`` or ``leaving``.
        """
        await self.control('set_state', vm=vm, state=state)
