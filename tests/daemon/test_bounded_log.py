"""Logging never blocks, and failed requests take precedence."""

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
    """A handler that writes to a pipe, which the test reads on demand."""

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
        fields = {
            name: text
            for name, text in record.__dict__.items()
            if isinstance(text, str | int | dict)
        }
        return orjson.dumps(fields, default=str).decode()


@pytest.fixture
def output() -> Output:
    return Output()


class TestRequestLines:
    def test_lines_are_buffered_until_the_request_is_answered(
        self, output: Output
    ) -> None:
        output.log('call sent', request_id='r')
        assert output.lines() == []
        output.log('call answered', request_id='r', outcome='answered')
        assert [line['msg'] for line in output.lines()] == [
            'call sent',
            'call answered',
        ]

    def test_failed_request_is_logged_when_successful_ones_are_dropped(
        self, output: Output
    ) -> None:
        for number in range(SUCCESS_LINES_PER_SECOND):
            output.answer(f'g{number}', 'answered', 200)
        output.answer('bad', 'unknown', 0)
        logged = {line.get('request_id') for line in output.lines()}
        assert 'bad' in logged
        last = SUCCESS_LINES_PER_SECOND - 1
        assert f'g{last}' not in logged

    def test_dropped_lines_are_counted(self, output: Output) -> None:
        for number in range(LINES_PER_SECOND):
            output.answer(str(number), 'answered', 200)
        output.lines()
        output.clock.advance(2000)
        output.log('started')
        last = output.lines()[-1]
        assert last['msg'] == 'log lines dropped'
        assert last['left_out']

    def test_lines_per_second_are_limited(self, output: Output) -> None:
        for number in range(LINES_PER_SECOND * 3):
            output.log('change', number=number)
        assert len(output.lines()) <= LINES_PER_SECOND


class TestPipe:
    def test_full_pipe_does_not_block(self, output: Output) -> None:
        for _ in range(100):
            output.clock.advance(1000)
            for _ in range(20):
                output.log('x' * 3000)
        assert output.handler.dropped

    def test_closed_reader_raises_no_error(self, output: Output) -> None:
        os.close(output.reader)
        output.log('started')
        output.log('again')
        assert output.handler.writer.is_closed
