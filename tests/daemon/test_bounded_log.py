"""Log lines never wait for a reader, and failures go before good requests."""

import logging
import os

import orjson
import pytest
from cowslippond_daemon._bounded_log import (
    LINES_PER_SECOND,
    SUCCESS_LINES_PER_SECOND,
    PipeWriter,
    RateLimitedHandler,
)
from fakes import FakeClock


class Output:
    """A handler on a pipe that a test reads when it likes."""

    def __init__(self) -> None:
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        self.reader = reader
        self.clock = FakeClock(1_000_000)
        self.handler = RateLimitedHandler(PipeWriter(writer), self.clock)
        self.handler.setFormatter(_Json())

    def log(self, message: str, **extra: object) -> None:
        record = logging.LogRecord(
            't', logging.INFO, '', 0, message, None, None
        )
        record.__dict__.update(extra)
        self.handler.emit(record)

    def lines(self) -> list[dict[str, object]]:
        try:
            written = os.read(self.reader, 1_000_000)
        except BlockingIOError:
            return []
        return [orjson.loads(line) for line in written.splitlines()]

    def answer(self, request_id: str, outcome: str, status: int) -> None:
        self.log('call sent', request_id=request_id)
        self.log(
            'call answered',
            request_id=request_id,
            outcome=outcome,
            status=status,
        )


class _Json(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        told = {
            name: text
            for name, text in record.__dict__.items()
            if isinstance(text, str | int | dict)
        }
        return orjson.dumps(told, default=str).decode()


@pytest.fixture
def output() -> Output:
    return Output()


class TestStories:
    def test_a_story_is_written_when_its_request_is_answered(
        self, output: Output
    ) -> None:
        output.log('call sent', request_id='r')
        assert output.lines() == []
        output.log('call answered', request_id='r', outcome='answered')
        assert [line['msg'] for line in output.lines()] == [
            'call sent',
            'call answered',
        ]

    def test_failed_requests_are_told_when_good_ones_are_left_out(
        self, output: Output
    ) -> None:
        for number in range(SUCCESS_LINES_PER_SECOND):
            output.answer(f'g{number}', 'answered', 200)
        output.answer('bad', 'unknown', 0)
        told = {line.get('request_id') for line in output.lines()}
        assert 'bad' in told
        last = SUCCESS_LINES_PER_SECOND - 1
        assert f'g{last}' not in told

    def test_what_is_left_out_is_counted(self, output: Output) -> None:
        for number in range(LINES_PER_SECOND):
            output.answer(str(number), 'answered', 200)
        output.lines()
        output.clock.advance(2000)
        output.log('started')
        last = output.lines()[-1]
        assert last['msg'] == 'lines left out'
        assert last['left_out']

    def test_lines_a_second_are_bounded(self, output: Output) -> None:
        for number in range(LINES_PER_SECOND * 3):
            output.log('change', number=number)
        assert len(output.lines()) <= LINES_PER_SECOND


class TestPipe:
    def test_a_full_pipe_never_blocks(self, output: Output) -> None:
        for _ in range(100):
            output.clock.advance(1000)
            for _ in range(20):
                output.log('x' * 3000)
        assert output.handler.dropped

    def test_a_reader_that_is_gone_is_no_error(self, output: Output) -> None:
        os.close(output.reader)
        output.log('started')
        output.log('again')
        assert output.handler.writer.is_closed
