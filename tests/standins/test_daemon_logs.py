"""Excerpts of logs in the reports of failed tests."""

import pathlib

from daemon_logs import excerpts


class TestExcerpts:
    def test_show_the_last_lines_but_no_answered_calls(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Failures could not be traced, since logs were not kept."""
        answered = '{"message": "send ended", "outcome": "answered"}\n'
        log = tmp_path / 'front-1.log'
        log.write_text(
            ''.join(f'line {number}\n{answered}' for number in range(100))
        )
        shown = excerpts(tmp_path).splitlines()
        assert shown == [
            f'{log}: 70 earlier lines omitted',
            *(f'line {number}' for number in range(70, 100)),
        ]

    def test_long_lines_are_cut(self, tmp_path: pathlib.Path) -> None:
        (tmp_path / 'front-1.log').write_text('x' * 100_000)
        assert len(excerpts(tmp_path)) < 1000

    def test_folder_without_logs_shows_nothing(
        self, tmp_path: pathlib.Path
    ) -> None:
        assert not excerpts(tmp_path)
