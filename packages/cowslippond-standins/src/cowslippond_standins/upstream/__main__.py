"""Run one or more stand-in upstreams in one process."""

import pathlib

import defopt

from cowslippond_standins import _serving
from cowslippond_standins.upstream._app import UpstreamApp
from cowslippond_standins.upstream._behaviour import Behaviour
from cowslippond_standins.upstream._control import ControlApp

_DEFAULT_MEAN_MS = 8


def serve(
    *,
    port: int,
    control_port: int,
    host: str = '127.0.0.1',
    count: int = 1,
    seed: int = 1,
    slots: int = 2,
    mean_ms: float = _DEFAULT_MEAN_MS,
    ledger: pathlib.Path | None = None,
) -> None:
    """Serve upstreams on consecutive ports, and a shared control port.

    :param port: port of the first upstream.
    :param control_port: port of the control interface of all upstreams.
    :param host: address to listen on.
    :param count: number of upstreams in this process.
    :param seed: seed of the random service times and speed changes; each
        upstream adds its index.
    :param slots: number of calls that an upstream runs at once.
    :param mean_ms: mean service time in milliseconds, at full speed.
    :param ledger: file that records the runs of orders, to survive a crash.
    """
    apps = []
    servers = []
    for index in range(count):
        behaviour = Behaviour(slots=slots, mean_ms=mean_ms)
        app = UpstreamApp(behaviour, seed + index, ledger)
        server = _serving.make_server(
            _serving.Endpoint(app, host, port + index)
        )
        app.cut_all = server.cut_all
        apps.append(app)
        servers.append(server)
    control = _serving.Endpoint(ControlApp(apps), host, control_port)
    _serving.run([*servers, _serving.make_server(control)])


if __name__ == '__main__':
    defopt.run(serve)
