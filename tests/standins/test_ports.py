"""Ports of processes that tests start side by side."""

import subprocess
import sys

from cowslippond_standins.harness._ports import free_ports

PROCESSES = 4
SCRIPT = """
from cowslippond_standins.harness._ports import free_ports
print([free_ports(3) for _ in range(100)], flush=True)
input()
"""


class TestSideBySide:
    def test_processes_allocate_different_ports(self) -> None:
        """A daemon could not bind a port that another test had chosen, too."""
        running = [
            subprocess.Popen(
                [sys.executable, '-c', SCRIPT],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESSES)
        ]
        allocated: list[int] = []
        for process in running:
            line = process.stdout.readline()
            allocated.extend(int(first) for first in line[1:-2].split(','))
        for process in running:
            process.communicate('\n')
        ports = {first + offset for first in allocated for offset in range(3)}
        assert len(ports) == PROCESSES * 300

    def test_a_process_allocates_each_port_once(self) -> None:
        allocated = [free_ports(7) for _ in range(60)]
        ports = {first + offset for first in allocated for offset in range(7)}
        assert len(ports) == 420
