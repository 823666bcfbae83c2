"""What tests and the bench hold of each process of a deployment."""

import pathlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

from cowslippond_standins._address import Address
from cowslippond_standins.harness import _http
from cowslippond_standins.harness._process import Child


class UpstreamPlan(NamedTuple):
    """What upstreams are to be started with.

    ``mean_ms`` is the mean service time in milliseconds.
    """

    service: str
    mean_ms: float = 8
    slots: int = 2
    seed: int = 1


class UpstreamHandle(NamedTuple):
    """One upstream; several may share a process.

    ``address`` is where it listens, ``listed_address`` the one on the list of
    VMs, which may be that of a fault proxy.
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
        """Set settings and faults, and return all of them."""
        return await _http.post_json(f'{self.control_url}/control', behaviour)

    async def ledger(self) -> Any:
        """Return the ledger of an upstream that runs."""
        return await _http.get_json(f'{self.control_url}/ledger')

    async def restart(self) -> None:
        """Abort every connection and begin a cold start."""
        await _http.post_json(f'{self.control_url}/restart', {})

    async def clear(self) -> None:
        """Forget the runs and probes so far."""
        await _http.post_json(f'{self.control_url}/clear', {})

    def order_runs(self) -> list[Mapping[str, Any]]:
        """Return the runs of orders, also if the process has ended.

        Upstreams of one process keep them in the same file.
        """
        if not self.ledger_path.exists():
            return []
        lines = self.ledger_path.read_bytes().splitlines()
        return [orjson.loads(line) for line in lines]


class DaemonHandle(NamedTuple):
    """One daemon and its three addresses."""

    vm: str
    failure_domain: str
    caller_address: Address
    admin_address: Address
    peer_address: Address
    settings_path: pathlib.Path
    child: Child

    def admin_url(self, path: str) -> str:
        """Return the URL of a path on the admin address."""
        return f'http://{self.admin_address}{path}'

    async def status(self) -> Any:
        """Return the status that the daemon tells."""
        return await _http.get_json(self.admin_url('/status'))


class LinkHandle(NamedTuple):
    """One link of the fault proxy."""

    name: str
    address: Address
    target: Address
