"""The settings files of daemons and of the operator tool."""

from collections.abc import Mapping, Sequence
from typing import Any

from cowslippond_standins._address import Address
from cowslippond_standins.harness._handles import DaemonHandle
from cowslippond_standins.platform._vms import TargetGroup

_RETIRE_LAG_MS = 1000
_RETIRE_LIMIT_MS = 10_000
_TIMEOUT_MS = 1000
_KEEP_ALIVE_MS = 5000


def platform_settings(platform_url: str) -> dict[str, Any]:
    """Return the section that says where the platform is."""
    return {
        'table_url': platform_url,
        'table_name': 'cowslippond',
        'vm_list_url': f'{platform_url}/vms',
        'timeout_ms': _TIMEOUT_MS,
    }


def daemon_settings(
    daemon: DaemonHandle,
    platform_url: str,
    peers: Sequence[str],
    statsd: Address,
    changes: Mapping[str, Any],
) -> dict[str, Any]:
    """Return the settings of a daemon.

    :param changes: settings that replace those made here.
    """
    objects = {
        'objects_url': f'{platform_url}/objects',
        'objects_bucket': 'cowslippond',
    }
    settings = {
        'vm': daemon.vm,
        'failure_domain': daemon.failure_domain,
        'caller_address': str(daemon.caller_address),
        'admin_address': str(daemon.admin_address),
        'peer_address': str(daemon.peer_address),
        'platform': {**platform_settings(platform_url), **objects},
        'peers': list(peers),
        'max_daemons': 8,
        'statsd_address': str(statsd),
        'log': {'format': 'json', 'level': 'info'},
        'retire': {'lag_ms': _RETIRE_LAG_MS, 'limit_ms': _RETIRE_LIMIT_MS},
        'keep_alive_ms': _KEEP_ALIVE_MS,
    }
    return {**settings, **changes}


def list_entry(
    address: Address, labels: Mapping[str, str], incarnation: str
) -> TargetGroup:
    """Return an entry of the list of VMs, of a VM that is live."""
    return {
        'targets': [str(address)],
        'labels': {'incarnation': incarnation, 'state': 'live', **labels},
    }
