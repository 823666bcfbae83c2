"""Client for the fault proxy of a deployment."""

from collections.abc import Mapping
from typing import Any

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._handles import LinkHandle
from cowslippond_standins.harness._ports import free_ports
from cowslippond_standins.harness._processes import Processes

_HOST = '127.0.0.1'


class FaultProxy:
    """Opens links between processes and injects faults into them.

    The proxy process is started when the first link is opened.
    """

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.url = ''

    async def open(self, name: str, target: Address) -> LinkHandle:
        """Open a link that forwards a free local address to a target."""
        if not self.url:
            await self._start()
        address = Address(_HOST, free_ports(1))
        link = LinkHandle(name, address, target)
        await self.command(
            'open', link, listen=str(address), target=str(target)
        )
        return link

    async def command(
        self, action: str, link: LinkHandle, **fields: Any
    ) -> None:
        """Send a control command for a link.

        :param action: ``open``, ``faults``, ``cut``, ``silence`` or
            ``release``.
        :param fields: arguments of the command.
        """
        url = f'{self.url}/{action}'
        await _http.post_json(url, {'link': link.name, **fields})

    async def counters(self, link: LinkHandle) -> Mapping[str, int]:
        """Return the counters of a link."""
        by_link = await _http.get_json(f'{self.url}/counters')
        counters: Mapping[str, int] = by_link[link.name]
        return counters

    async def _start(self) -> None:
        port = free_ports(1)
        self.url = f'http://{_HOST}:{port}'
        child = self.processes.start(
            'fault-proxy',
            'cowslippond_standins.fault_proxy',
            f'--control-port={port}',
        )
        await self.processes.wait_ready(child, f'{self.url}/counters')
