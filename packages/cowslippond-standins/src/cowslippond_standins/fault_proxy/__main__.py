"""Command line entry point of the fault proxy."""

import anyio
import defopt

from cowslippond_standins import _serving
from cowslippond_standins.fault_proxy._app import ProxyApp


async def _run(host: str, control_port: int) -> None:
    async with anyio.create_task_group() as group:
        app = ProxyApp(group)
        endpoint = _serving.Endpoint(app, host, control_port)
        server = _serving.make_server(endpoint)
        await _serving.serve_until_signal([server])
        group.cancel_scope.cancel()


def serve(*, control_port: int, host: str = '127.0.0.1') -> None:
    """Run the fault proxy; links are opened on its control port.

    :param control_port: port of the HTTP control interface.
    :param host: address that the control interface listens on.
    """
    anyio.run(
        _run,
        host,
        control_port,
        backend_options={'use_uvloop': True},
    )


if __name__ == '__main__':
    defopt.run(serve)
