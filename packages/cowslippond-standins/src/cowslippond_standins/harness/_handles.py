"""What tests and the bench hold of each process of a deployment."""

import pathlib
from typing import NamedTuple

from cowslippond_standins._address import Address
from cowslippond_standins.harness._process import Child


class UpstreamHandle(NamedTuple):
    """One upstream; several may share a process.

    ``address`` is where it listens, ``listed_address`` the one on the list of
    VMs, which may be that of a fault proxy.
    """

    vm: str
    service: str
    address: Address
    listed_address: Address
    control_url: str
    ledger_path: pathlib.Path
    child: Child


class DaemonHandle(NamedTuple):
    """One daemon and its three addresses."""

    vm: str
    failure_domain: str
    caller_address: Address
    admin_address: Address
    peer_address: Address
    child: Child

    def admin_url(self, path: str) -> str:
        """Return the URL of a path on the admin address."""
        return f'http://{self.admin_address}{path}'


class LinkHandle(NamedTuple):
    """One link of the fault proxy."""

    name: str
    address: Address
    target: Address


class UpstreamPlan(NamedTuple):
    """What upstreams are to be started with; times are in milliseconds."""

    service: str
    mean_ms: float = 8
    slots: int = 2
    seed: int = 1
