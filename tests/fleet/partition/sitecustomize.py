"""Cuts a daemon off from its upstreams while a file exists.

Tests start daemons with this directory on their ``PYTHONPATH``. The file lies
beside the daemon's settings, with the suffix ``.cut``. Its first line is the
mode, the others are addresses:

- ``hang``: new connections and calls on open ones get no answer;
- ``reset``: new connections are refused and open ones break;
- ``live``: new connections are refused, open ones work.
"""

import os
import pathlib
from typing import Any

import anyio
from anyio.abc import SocketAttribute

SETTINGS_VARIABLE = 'COWSLIPPOND_NODE_FILE'


def _read_mode(file: pathlib.Path, address: str) -> str:
    """Return the mode that applies to an address, or an empty text."""
    try:
        mode, *addresses = file.read_text().split()
    except OSError:
        return ''
    return mode if address in addresses else ''


def _patch(file: pathlib.Path) -> None:
    from cowslippond_core import _connection, _connections

    open_stream = _connections._open_stream
    send = _connection.Connection.send

    async def open_unless_cut(address: str, timeout: float) -> Any:
        mode = _read_mode(file, address)
        if mode == 'hang':
            await anyio.sleep(timeout / 1000)
            raise TimeoutError
        if mode:
            raise ConnectionRefusedError
        return await open_stream(address, timeout)

    async def send_unless_cut(connection: Any, sent: bytes) -> None:
        remote = connection.stream.extra(SocketAttribute.remote_address)
        mode = _read_mode(file, '{}:{}'.format(*remote))
        if mode == 'hang':
            return
        if mode == 'reset':
            connection.close()
            return
        await send(connection, sent)

    _connections._open_stream = open_unless_cut
    _connection.Connection.send = send_unless_cut


path = os.environ.get(SETTINGS_VARIABLE)
if path is not None:
    _patch(pathlib.Path(path).with_suffix('.cut'))
