"""Run the stand-in platform as a process."""

import defopt

from cowslippond_standins import _serving
from cowslippond_standins.platform._app import PlatformApp


def serve(*, port: int, host: str = '127.0.0.1') -> None:
    """Serve the platform's table, object store and VM list.

    :param port: port to listen on.
    :param host: address to listen on.
    """
    app = PlatformApp()
    server = _serving.make_server(_serving.Endpoint(app, host, port))
    app.cut = server.cut
    _serving.run([server])


if __name__ == '__main__':
    defopt.run(serve)
