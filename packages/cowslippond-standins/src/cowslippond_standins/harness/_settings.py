"""Settings of daemons and of the operator tool."""

from typing import Any

TABLE_NAME = 'cowslippond'

_RETIRE_LAG_MS = 1000
_RETIRE_LIMIT_MS = 10_000
_TIMEOUT_MS = 1000
_KEEP_ALIVE_MS = 5000
_MAX_DAEMONS = 8


def platform_settings(platform_url: str) -> dict[str, Any]:
    """Return the platform settings of the operator tool."""
    return {
        'table_url': platform_url,
        'table_name': TABLE_NAME,
        'vm_list_url': f'{platform_url}/vms',
        'timeout_ms': _TIMEOUT_MS,
    }


def daemon_settings(platform_url: str) -> dict[str, Any]:
    """Return the settings of a daemon, without its name and addresses."""
    stores = {
        'objects_url': f'{platform_url}/objects',
        'objects_bucket': 'cowslippond',
    }
    return {
        'platform': {**platform_settings(platform_url), **stores},
        'max_daemons': _MAX_DAEMONS,
        'log': {'format': 'json', 'level': 'info'},
        'retire': {'lag_ms': _RETIRE_LAG_MS, 'limit_ms': _RETIRE_LIMIT_MS},
        'keep_alive_ms': _KEEP_ALIVE_MS,
    }
