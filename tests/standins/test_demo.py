"""Tests that an interrupted demo leaves no processes behind."""

import contextlib
import pathlib
import signal
import time

import pytest
from cowslippond_standins.harness._process import Child

MIN_CHILDREN = 3


def children_of(process_id: int) -> set[int]:
    task = pathlib.Path(f'/proc/{process_id}/task/{process_id}/children')
    return {int(text) for text in task.read_text().split()}


def is_running(process_id: int) -> bool:
    status = pathlib.Path(f'/proc/{process_id}/status')
    try:
        return 'State:\tZ' not in status.read_text()
    except OSError:
        return False


def wait_for_children(demo: Child) -> set[int]:
    while len(children_of(demo.popen.pid)) < MIN_CHILDREN:
        assert demo.is_running(), demo.log()
        time.sleep(0.05)
    return children_of(demo.popen.pid)


class TestInterruption:
    @pytest.mark.parametrize('stop', [signal.SIGINT, signal.SIGTERM])
    def test_stopped_demo_leaves_no_child_processes(
        self, tmp_path: pathlib.Path, stop: signal.Signals
    ) -> None:
        demo = Child('demo', 'cowslippond_standins.demo', [], tmp_path, {})
        try:
            started = wait_for_children(demo)
            demo.popen.send_signal(stop)
            assert demo.popen.wait(20) != 0
        finally:
            demo.kill()
        remaining = [
            process_id for process_id in started if is_running(process_id)
        ]
        assert not remaining

    def test_background_demo_is_stopped_as_well(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Shells start background jobs of scripts with SIGINT ignored."""
        handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
        with contextlib.ExitStack() as at_end:
            at_end.callback(signal.signal, signal.SIGINT, handler)
            self.test_stopped_demo_leaves_no_child_processes(
                tmp_path, signal.SIGINT
            )
