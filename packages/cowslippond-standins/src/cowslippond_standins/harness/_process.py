"""One child process, with its log in a file."""

import atexit
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence

import anyio
from cowslippond_core import Clock, Millis, seconds_of

_POLL_INTERVAL: Millis = 20


class NotReadyError(Exception):
    """A child process ended early, or was not ready in time.

    :param name: name of the child.
    :param log: its log.
    """

    def __init__(self, name: str, log: str) -> None:
        super().__init__(f'{name} is not ready:\n{log}')
        self.name = name
        self.log = log


def child_environment(extra: Mapping[str, str]) -> dict[str, str]:
    """Return the environment of a child, which finds the same packages.

    :param extra: variables to add.
    """
    sources = [entry for entry in sys.path if entry.endswith('src')]
    path = os.pathsep.join(sources)
    return {**os.environ, 'PYTHONPATH': path, **extra}


class Child:
    """A process that this one started, and ends by its id.

    :param name: name of the log file.
    :param module: Python module to run.
    :param folder: where the log goes.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        folder: pathlib.Path,
        environment: Mapping[str, str],
    ) -> None:
        self.name = name
        self.clock = Clock()
        self.log_path = folder / f'{name}.log'
        with self.log_path.open('ab') as log_file:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
                env=child_environment(environment),
            )
        atexit.register(self.kill)

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def log(self) -> str:
        """Return everything that the process wrote."""
        return self.log_path.read_text(errors='replace')

    def kill(self) -> None:
        """End the process at once, also if it is frozen."""
        if self.is_running():
            self.popen.kill()
            self.popen.wait()
        atexit.unregister(self.kill)

    def suspend(self) -> None:
        """Pause the process."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process for a planned stop."""
        self.popen.send_signal(signal.SIGTERM)

    async def wait(self, limit: Millis) -> int:
        """Wait until the process has ended, and return its exit code.

        :param limit: longest wait in milliseconds; then :exc:`TimeoutError`
            is raised.
        """
        with anyio.fail_after(seconds_of(limit)):
            while self.is_running():
                await self.clock.sleep(_POLL_INTERVAL)
        return self.popen.returncode
