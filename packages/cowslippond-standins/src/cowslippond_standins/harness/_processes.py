"""The child processes of a deployment."""

import pathlib
from collections.abc import Mapping

import anyio
from cowslippond_core import Clock, Millis, seconds_of

from cowslippond_standins.harness import _http
from cowslippond_standins.harness._process import Child, NotReadyError

_READY_TIMEOUT: Millis = 15_000
_POLL_INTERVAL: Millis = 30


class Processes:
    """Starts child processes and kills all of them at the end.

    :param folder: directory of their log files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.clock = Clock()
        self.children: list[Child] = []

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
    ) -> Child:
        """Start a process that runs a Python module.

        :param name: name of the process and of its log file.
        """
        child = Child(name, module, arguments, self.folder, environment or {})
        self.children.append(child)
        return child

    async def wait_ready(self, child: Child, url: str) -> None:
        """Wait until a URL of a process answers with status 200.

        :raises NotReadyError: if the process exits first or takes too long.
        """
        with anyio.move_on_after(seconds_of(_READY_TIMEOUT)):
            while child.is_running():
                if await _http.is_ok(url):
                    return
                await self.clock.sleep(_POLL_INTERVAL)
        raise NotReadyError(child.name, child.log())

    def kill_all(self) -> None:
        """Kill every process."""
        for child in self.children:
            child.kill()
