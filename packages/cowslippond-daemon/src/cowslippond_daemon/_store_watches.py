"""Starts the watches that read the store's tables."""

import random
from collections.abc import Callable
from typing import NamedTuple

from anyio.abc import TaskGroup
from cowslippond_core import (
    Clock,
    Millis,
    ReaderRole,
    RowSource,
    StoreRows,
    StoreWatch,
    run_restarting,
)


class StoreSources(NamedTuple):
    """The tables of the store that the daemons read."""

    operators: RowSource
    upstreams: RowSource


class WatchedTable(NamedTuple):
    """A table, its name in logs, and what receives its rows."""

    name: str
    source: RowSource
    on_rows: Callable[[StoreRows, bool, Millis | None, Millis], None]


def start_watches(
    tasks: TaskGroup,
    tables: tuple[WatchedTable, ...],
    role: ReaderRole,
    clock: Clock,
    rng: random.Random,
    *,
    is_first_start: bool,
) -> None:
    """Watch tables while this daemon is a reader.

    :param tasks: runs the watches.
    :param tables: the tables.
    :param role: decides whether to read.
    :param clock: measures all waits.
    :param rng: randomizes the time of reads.
    :param is_first_start: whether the whole fleet starts for the first time.
    """
    for table in tables:
        watch = StoreWatch(
            table.name,
            table.source,
            role,
            table.on_rows,
            clock,
            rng,
            is_first_start=is_first_start,
        )
        tasks.start_soon(run_restarting, clock, watch.run)
