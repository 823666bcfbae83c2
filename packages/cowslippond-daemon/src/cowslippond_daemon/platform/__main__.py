"""Entry point on the platform: ``python -m cowslippond_daemon.platform``.

The platform passes the path of the settings file in the environment, so there
are no command-line options.
"""

import os
import sys

import anyio
from anyio.abc import TaskGroup
from cowslippond_core import Clock

from cowslippond_daemon._fleet_daemon import FleetDaemon
from cowslippond_daemon._logs import configure_bounded_logs
from cowslippond_daemon._node_settings import NodeSettings
from cowslippond_daemon._platform_adapter import PlatformAdapter
from cowslippond_daemon._store_watches import StoreSources
from cowslippond_daemon.platform import (
    READY_PATH,
    PlatformCredentials,
    PlatformDialect,
    Store,
    TableReader,
    decode_configuration,
    decode_entry,
    operator_key,
    read_node_settings,
    replace_keys,
)

_EXIT_BAD_SETTINGS = 2


class _StoreOpener:
    """Opens the tables of the store at an address."""

    def __init__(self, address: str) -> None:
        self.address = address

    def __call__(self, tasks: TaskGroup, clock: Clock) -> StoreSources:
        store = Store(self.address, tasks, clock)
        return StoreSources(
            operators=TableReader(store, 'op', operator_key),
            upstreams=TableReader(store, 'servers'),
        )


def _make_daemon(settings: NodeSettings) -> FleetDaemon:
    dialect = PlatformDialect()
    return FleetDaemon(
        settings,
        read_node_settings,
        _StoreOpener(settings.store_address),
        PlatformAdapter(
            dialect=dialect,
            credentials=PlatformCredentials(),
            decode_configuration=decode_configuration,
            replace_keys=replace_keys,
            decode_upstream=decode_entry,
            encode_retry_after=dialect.encode_retry_after,
            ready_path=READY_PATH,
        ),
    )


def main() -> int:
    """Serve until a graceful shutdown is complete; return the exit code."""
    settings = read_node_settings()
    if settings.is_error():
        sys.stderr.write(f'{settings.error}\n')
        return _EXIT_BAD_SETTINGS
    configure_bounded_logs(Clock())
    # libuv, under the event loop, must not use io_uring.
    os.environ['UV_USE_IO_URING'] = '0'
    daemon = _make_daemon(settings.ok)
    anyio.run(daemon.run, backend_options={'use_uvloop': True})
    return 0


if __name__ == '__main__':
    sys.exit(main())
