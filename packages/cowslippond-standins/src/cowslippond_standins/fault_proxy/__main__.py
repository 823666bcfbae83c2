"""Run the fault proxy as a process."""

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
    """Serve links that the control port opens.

    :param control_port: port of the control interface.
    :param host: address of the control interface.
    """
    anyio.run(
        _run,
        host,
        control_port,
        backend_options={'use_uvloop': True},
    )


if __name__ == '__main__':
    defopt.run(serve)
