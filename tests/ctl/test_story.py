"""Tests of the ``story`` command."""

import pathlib

import orjson
import pytest
from cowslippond_ctl._exit_codes import ExitCode
from cowslippond_ctl._story import show_story


def line(time: str, message: str, request_id: str = 'r1', **facts: str) -> str:
    entry = {
        'time': time,
        'message': message,
        'request_id': request_id,
        **facts,
    }
    return orjson.dumps(entry).decode()


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[pathlib.Path]:
    first, second = tmp_path / 'a.log', tmp_path / 'b.log'
    first.write_text(
        f'{line("2", "call sent", upstream="u")}\nno json r1\n'
        f'{line("3", "call answered")}\n{line("1", "other", "r12")}\n'
    )
    second.write_text(f'  2.5 front-2 {line("1", "call given up")}\n')
    return [first, second]


class TestStory:
    def test_lines_of_all_files_are_sorted_by_time(
        self, logs: list[pathlib.Path]
    ) -> None:
        outcome = show_story('r1', logs)
        shown = [
            (one['source'], one['message']) for one in outcome.record['lines']
        ]
        assert outcome.code is ExitCode.DONE
        assert shown == [
            ('front-2', 'call given up'),
            ('a.log', 'call sent'),
            ('a.log', 'call answered'),
        ]

    def test_the_era_that_a_daemon_knew_is_shown(
        self, logs: list[pathlib.Path]
    ) -> None:
        """A call that went to a removed upstream may follow a restore."""
        known, restored = (
            line(time, f'era {time}', '', logger='core._store_era')
            for time in ('1', '2.5')
        )
        logs[0].write_text('\n'.join((known, logs[0].read_text())))
        logs[1].write_text(''.join((logs[1].read_text(), restored)))
        outcome = show_story('r1', logs)
        shown = [one['message'] for one in outcome.record['lines']]
        assert shown == ['era 1', 'call given up', 'call sent', 'call answered']

    def test_a_request_without_lines_is_not_found(
        self, logs: list[pathlib.Path]
    ) -> None:
        assert show_story('r9', logs).code is ExitCode.NOT_FOUND

    def test_a_file_that_is_missing_is_named(
        self, tmp_path: pathlib.Path
    ) -> None:
        outcome = show_story('r1', [tmp_path / 'none.log'])
        assert outcome.code is ExitCode.FAULTY
        assert 'none.log' in outcome.record['message']
