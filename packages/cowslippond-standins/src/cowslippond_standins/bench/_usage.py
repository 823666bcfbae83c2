"""CPU time and memory of processes, and the work of upstreams."""

import collections
import os
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from cowslippond_core import Millis

_MILLIS_PER_SECOND = 1000
_BYTES_PER_MEGABYTE = 1_000_000
_USER_TIME_FIELD = 11
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Work(NamedTuple):
    """The work of the upstreams in a block.

    ``busy`` is the total time that slots were occupied, and ``wasted`` the part
    of it spent on runs that did not complete or that repeated a completed run.
    """

    runs: int
    busy: Millis
    wasted: Millis
    probes: int

    def wasted_share(self) -> float:
        """Return the wasted time as a fraction of the busy time."""
        return self.wasted / self.busy if self.busy else 0


def cpu_time(process_id: int) -> Millis:
    """Return the user and system CPU time of a process."""
    text = pathlib.Path(f'/proc/{process_id}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    user, system = fields[_USER_TIME_FIELD : _USER_TIME_FIELD + 2]
    ticks = int(user) + int(system)
    return ticks / _TICKS_PER_SECOND * _MILLIS_PER_SECOND


def resident_memory(process_id: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    text = pathlib.Path(f'/proc/{process_id}/statm').read_text()
    return int(text.split()[1]) * _PAGE_BYTES / _BYTES_PER_MEGABYTE


def total_work(ledgers: Iterable[Mapping[str, Any]]) -> Work:
    """Return the total work recorded in the ledgers of upstreams."""
    busy: Millis = 0
    wasted: Millis = 0
    probes = 0
    completed: collections.Counter[str] = collections.Counter()
    runs = 0
    for ledger in ledgers:
        probes += len(ledger['probes'])
        for run in ledger['runs']:
            duration = max(run['ended'] - run['started'], 0)
            runs += 1
            busy += duration
            is_useful = run['outcome'] == 'completed'
            if not is_useful or completed[run['nonce']]:
                wasted += duration
            completed[run['nonce']] += is_useful
    return Work(runs, busy, wasted, probes)
