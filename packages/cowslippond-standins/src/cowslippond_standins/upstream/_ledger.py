"""The ledger of an upstream, which records every run and every probe."""

import collections
import enum
import pathlib
from typing import Any, TypedDict

import orjson
from cowslippond_core import Clock, Millis

_MAX_RUNS = 400_000


class RunOutcome(enum.StrEnum):
    """The state of a run, or how it ended."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'
    TRUNCATED = 'truncated'


class Run(TypedDict):
    """One run of a call.

    ``order_key`` and ``caller`` identify an order; ``work_ms`` is the
    processing time at full speed. ``started`` and ``ended`` are times on the
    machine's clock, in milliseconds.
    """

    request_id: str
    order_key: str
    caller: str
    path: str
    nonce: str
    attempt: str
    work_ms: Millis
    started: Millis
    ended: Millis
    outcome: RunOutcome


class Ledger:
    """The runs and probes of one upstream.

    :param path: file to which persistent runs are appended, one line each;
        ``None`` for no file.
    """

    def __init__(self, clock: Clock, path: pathlib.Path | None) -> None:
        self.clock = clock
        self.path = path
        self.runs: collections.deque[Run] = collections.deque(maxlen=_MAX_RUNS)
        self.probes: list[Millis] = []
        self.counters: collections.Counter[str] = collections.Counter()

    def start(self, run: Run, *, is_kept: bool) -> None:
        """Record the start of a run.

        :param is_kept: whether to write the run to the file, so that it
            survives a crash.
        """
        self.runs.append(run)
        self.counters['runs'] += 1
        if self.path is not None and is_kept:
            self._write_line(run)

    def end(self, run: Run, outcome: RunOutcome) -> None:
        """Record the end of a run."""
        run['ended'] = self.clock.now()
        run['outcome'] = outcome
        self.counters[outcome.value] += 1

    def record_probe(self) -> None:
        """Record a probe."""
        self.probes.append(self.clock.now())

    def clear(self) -> None:
        """Remove all runs, probes and counters; the file is not changed."""
        self.runs.clear()
        self.probes.clear()
        self.counters.clear()

    def report(self, *, only_orders: bool) -> dict[str, Any]:
        """Return the ledger as a JSON object for the control interface."""
        runs = [run for run in self.runs if run['order_key'] or not only_orders]
        return {
            'runs': runs,
            'probes': self.probes,
            'counters': dict(self.counters),
        }

    def _write_line(self, run: Run) -> None:
        assert self.path is not None
        with self.path.open('ab') as ledger_file:
            ledger_file.write(
                orjson.dumps(run, option=orjson.OPT_APPEND_NEWLINE)
            )
