"""Child processes that write their output to a log file."""

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
_PATH = 'PYTHONPATH'


class NotReadyError(Exception):
    """Raised when a child process exits early or is not ready in time.

    :param name: name of the child process.
    :param log: output that the process wrote.
    """

    def __init__(self, name: str, log: str) -> None:
        super().__init__(f'{name} is not ready:\n{log}')
        self.name = name
        self.log = log


def child_environment(extra: Mapping[str, str]) -> dict[str, str]:
    """Return an environment in which a child finds the same packages.

    :param extra: additional variables; its ``PYTHONPATH`` comes first.
    """
    sources = [entry for entry in sys.path if entry.endswith('src')]
    path = os.pathsep.join([*filter(None, [extra.get(_PATH)]), *sources])
    return {**os.environ, **extra, _PATH: path}


class Child:
    """A child process that runs a Python module.

    It is killed at interpreter exit at the latest.

    :param name: name of the process and of its log file.
    :param module: Python module to run.
    :param folder: directory of the log file.
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
        return self.popen.poll() is None

    def log(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors='replace')

    def kill(self) -> None:
        """Kill the process, even if it is suspended."""
        if self.is_running():
            self.popen.kill()
            self.popen.wait()
        atexit.unregister(self.kill)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a planned stop with SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    async def wait(self, limit: Millis) -> int:
        """Wait for the process to exit and return its exit code.

        :param limit: maximum wait in milliseconds.
        :raises TimeoutError: if the process is still running after that.
        """
        with anyio.fail_after(seconds_of(limit)):
            while self.is_running():
                await self.clock.sleep(_POLL_INTERVAL)
        return self.popen.returncode
