"""Handles with which tests and benchmarks control deployed processes."""

import pathlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._process import Child


class UpstreamPlan(NamedTuple):
    """Start-up parameters of the upstreams of one process.

    ``mean_ms`` is the mean service time.
    """

    service: str
    mean_ms: float = 8
    slots: int = 2
    seed: int = 1


class UpstreamHandle(NamedTuple):
    """An upstream, which may share its process with others.

    ``address`` is the address it listens on. ``listed_address`` is the one on
    the VM list, which may be that of a fault proxy link.
    """

    vm: str
    service: str
    failure_domain: str
    address: Address
    listed_address: Address
    control_url: str
    ledger_path: pathlib.Path
    child: Child

    async def change(self, **behaviour: Any) -> Any:
        """Change settings and faults, and return all current ones."""
        return await _http.post_json(f'{self.control_url}/control', behaviour)

    async def ledger(self) -> Any:
        """Return the ledger; the upstream must be running."""
        return await _http.get_json(f'{self.control_url}/ledger')

    async def restart(self) -> None:
        """Simulate a restart: abort all connections and start cold."""
        await _http.post_json(f'{self.control_url}/restart', {})

    async def clear(self) -> None:
        """Clear the recorded runs and probes."""
        await _http.post_json(f'{self.control_url}/clear', {})

    def order_runs(self) -> list[Mapping[str, Any]]:
        """Return the runs of orders from the ledger file.

        This works after the process has ended. The file is shared by all
        upstreams of the process.
        """
        if not self.ledger_path.exists():
            return []
        lines = self.ledger_path.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines]


class DaemonHandle(NamedTuple):
    """A daemon process and its addresses."""

    vm: str
    failure_domain: str
    caller_address: Address
    admin_address: Address
    peer_address: Address
    settings_path: pathlib.Path
    child: Child

    def admin_url(self, path: str) -> str:
        """Return the URL of a path on the admin interface."""
        return f'http://{self.admin_address}{path}'

    async def status(self) -> Any:
        """Return the status that the daemon reports."""
        return await _http.get_json(self.admin_url('/status'))


class LinkHandle(NamedTuple):
    """A link of the fault proxy."""

    name: str
    address: Address
    target: Address
