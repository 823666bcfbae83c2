"""Tests of concurrent document changes with random faults.

Responses are lost and writes arrive late; afterwards, the reported outcomes
are compared with the rows of the table.
"""

import enum
import random
from collections.abc import Sequence
from types import MappingProxyType

import anyio
import pytest
from cowslippond_core import (
    AcceptedDocument,
    ApplyError,
    ApplyFault,
    Put,
    TableError,
    TableFault,
    accept_document,
)
from cowslippond_core._catalogue_layout import CHANGES, DOCUMENTS, HEAD
from expression import Error, Result
from fakes import FakeClock, FakeTable

pytestmark = pytest.mark.anyio

SERVICES = ('stock', 'checkout', 'taker')
# The last two services match the same calls, so only one can be accepted.
PREFIXES = MappingProxyType(
    {'stock': '/stock', 'checkout': '/pay', 'taker': '/pay'}
)
OPERATORS = 8


class WriteOutcome(enum.StrEnum):
    """The outcome of one write."""

    SERVED = 'served'
    THROTTLED = 'throttled'
    DELAYED = 'held'
    ANSWER_LOST = 'answer lost'
    REQUEST_LOST = 'request lost'


FAULTS = tuple(each for each in WriteOutcome if each is not WriteOutcome.SERVED)
SERVED = (WriteOutcome.SERVED, WriteOutcome.SERVED, WriteOutcome.SERVED)


class RandomTable(FakeTable):
    """A table that loses requests and responses, and delays writes.

    :param rng: selects the faults.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.delayed: list[Sequence[Put]] = []

    async def transact(self, puts: Sequence[Put]) -> Result[None, TableError]:
        write_outcome = self._draw_write_outcome()
        if write_outcome is WriteOutcome.SERVED:
            return await super().transact(puts)
        if write_outcome is WriteOutcome.THROTTLED:
            return Error(TableError(TableFault.UNAVAILABLE, write_outcome))
        if write_outcome is WriteOutcome.DELAYED:
            self.delayed.append(puts)
        if write_outcome is WriteOutcome.ANSWER_LOST:
            await super().transact(puts)
        return Error(TableError(TableFault.UNKNOWN, write_outcome))

    def _draw_write_outcome(self) -> WriteOutcome:
        # The first write always fails, so that every seed has a fault.
        candidates = FAULTS if self.write_count == 0 else (*FAULTS, *SERVED)
        self.write_count += 1
        return self.rng.choice(candidates)

    async def deliver_delayed(self) -> None:
        """Apply delayed writes to the table in random order."""
        while True:
            await anyio.lowlevel.checkpoint()
            if not self.delayed or self.rng.randrange(3):
                continue
            delayed_puts = self.delayed.pop(
                self.rng.randrange(len(self.delayed))
            )
            await FakeTable.transact(self, delayed_puts)


def document(service: str) -> str:
    prefix = PREFIXES[service]
    match = f'[{{"host": "shop.example", "path_prefix": "{prefix}"}}]'
    slots = '{"slots": 2, "mean_service_ms": 8}'
    fields = f'"service": "{service}", "match": {match}, "upstreams": {slots}'
    return fields.join('{}')


async def operate(
    table: RandomTable,
    author: str,
    outcomes: dict[str, Result[AcceptedDocument, ApplyError]],
) -> None:
    service = table.rng.choice(SERVICES)
    expected = table.rng.choice([None, None, 0, 1])
    outcomes[author] = await accept_document(
        table, document(service), author, expected, FakeClock()
    )


async def run_operators(
    seed: int,
) -> tuple[RandomTable, dict[str, Result[AcceptedDocument, ApplyError]]]:
    table = RandomTable(random.Random(seed))
    outcomes: dict[str, Result[AcceptedDocument, ApplyError]] = {}
    async with anyio.create_task_group() as background:
        background.start_soon(table.deliver_delayed)
        async with anyio.create_task_group() as operators:
            for index in range(OPERATORS):
                operators.start_soon(operate, table, f'op-{index}', outcomes)
        while table.delayed:
            await anyio.lowlevel.checkpoint()
        background.cancel_scope.cancel()
    return table, outcomes


def rows_of(table: FakeTable, partition: str) -> list[dict[str, object]]:
    return [
        dict(attributes)
        for key, attributes in sorted(table.rows.items())
        if key.partition == partition
    ]


@pytest.mark.parametrize('seed', range(60))
async def test_reported_outcomes_match_the_stored_changes(seed: int) -> None:
    table, outcomes = await run_operators(seed)
    changes = rows_of(table, CHANGES)
    authors = [change['author'] for change in changes]
    assert len(outcomes) == OPERATORS
    assert len(set(authors)) == len(authors)
    for author, outcome in outcomes.items():
        if outcome.is_ok():
            row = changes[outcome.ok.revision - 1]
            assert (row['author'], row['version']) == (
                author,
                outcome.ok.version,
            )
        elif outcome.error.fault is not ApplyFault.UNKNOWN:
            assert author not in authors, outcome.error


@pytest.mark.parametrize('seed', range(60))
async def test_versions_and_revisions_have_no_gaps(seed: int) -> None:
    table, _ = await run_operators(seed)
    changes = rows_of(table, CHANGES)
    revisions = [change['revision'] for change in changes]
    assert revisions == list(range(1, len(changes) + 1))
    assert table.rows.get(HEAD, {'revision': 0})['revision'] == len(changes)
    for newest in rows_of(table, DOCUMENTS):
        versions = [
            change['version']
            for change in changes
            if change['service'] == newest['service']
        ]
        assert versions == list(range(1, len(versions) + 1))
        assert newest['version'] == len(versions)
    services = {change['service'] for change in changes}
    assert not {'checkout', 'taker'} <= services
