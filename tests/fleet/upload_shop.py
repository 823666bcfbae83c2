"""A shop whose daemon takes uploads beside short calls."""

import pathlib

import anyio
from cowslippond_core import seconds_of
from cowslippond_standins.fleet import (
    DOMAINS,
    FleetDeployment,
    Node,
    UploadBackend,
    route,
    upload_route,
)

MEBIBYTE = 1_048_576


async def add_upload_backends(
    fleet: FleetDeployment, count: int = 1, port: int | None = None
) -> list[UploadBackend]:
    """Start back ends of the service ``files`` and list them.

    :param port: the port to list, if it is not the back end's own.
    """
    backends = []
    for number in range(count):
        backend = UploadBackend(f'i-upload-{number}', fleet.clock)
        await fleet.tasks.start(backend.serve)
        fleet.list_backend(backend, 'files', DOMAINS[0], port=port)  # type: ignore[arg-type]
        backends.append(backend)
    return backends


async def add_upload_backend(
    fleet: FleetDeployment, port: int | None = None
) -> UploadBackend:
    """Start the only back end of the service ``files`` and list it."""
    backends = await add_upload_backends(fleet, 1, port)
    return backends[0]


async def start_node(fleet: FleetDeployment) -> Node:
    """Configure the routes ``/files/`` and ``/prints/``, and start a daemon.

    The calls of ``/prints/`` have a back end of their own.
    """
    await fleet.add_backend('catalogue')
    fleet.configure(
        {
            'files': upload_route('files'),
            'prints': route('catalogue', prefix='/prints/'),
        }
    )
    node = await fleet.add_node(DOMAINS[0])
    with anyio.fail_after(seconds_of(5000)):
        while not await accepts_callers(node):
            await fleet.clock.sleep(20)
    return node


async def accepts_callers(node: Node) -> bool:
    """Return whether a daemon listens for callers, which may follow readiness."""
    try:
        stream = await anyio.connect_tcp(*node.caller_address)
    except OSError:
        return False
    await stream.aclose()
    return True


def memory_kb(node: Node, name: str = 'VmRSS') -> int:
    """Return the resident memory of a daemon, or another size.

    :param name: the name of the size in the status of the process.
    """
    folder = pathlib.Path('/proc') / str(node.child.popen.pid)
    lines = (folder / 'status').read_text().splitlines()
    line = next(one for one in lines if one.startswith(name))
    return int(line.split()[1])


async def wait_received(
    fleet: FleetDeployment, backend: UploadBackend, count: int = 1
) -> None:
    """Wait until so many calls have ended at a back end."""
    with anyio.fail_after(seconds_of(5000)):
        while len(backend.received) < count:
            await fleet.clock.sleep(20)


async def wait_started(
    fleet: FleetDeployment, backend: UploadBackend, count: int = 1
) -> None:
    """Wait until so many calls are under way at a back end."""
    with anyio.fail_after(seconds_of(5000)):
        while backend.open < count:
            await fleet.clock.sleep(20)


async def wait_idle(fleet: FleetDeployment, node: Node) -> None:
    """Wait until a daemon has no calls."""
    with anyio.fail_after(seconds_of(5000)):
        while (await node.status())['running_calls']:
            await fleet.clock.sleep(50)


async def wait_logged(fleet: FleetDeployment, node: Node, message: str) -> None:
    """Wait until a daemon has logged a message; its log is written late."""
    with anyio.fail_after(seconds_of(5000)):
        while message not in node.child.log():
            await fleet.clock.sleep(50)
