"""Who reads the store, and what happens when it fails."""

import itertools
import random
from collections.abc import Callable

import anyio
import pytest
from cowslippond_core import (
    LOST_TABLE,
    Clock,
    Millis,
    ReaderDuty,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
    StoreWatch,
)
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core._versions import Versions
from expression import Error, Ok, Result
from fakes import FakeClock

pytestmark = pytest.mark.anyio


def duty_of(clock: Clock, own: Daemon, *others: Daemon) -> ReaderDuty:
    table = GossipTable('daemons', clock)
    for daemon in others:
        Membership(clock, table, daemon).send_heartbeat()
    membership = Membership(clock, GossipTable('daemons', clock), own)
    for row in table.rows():
        membership.table.merge(row)
    return ReaderDuty(
        membership, Versions(), GossipTable(LOST_TABLE, clock), clock
    )


def daemon_of(number: int, domain: str) -> Daemon:
    return Daemon(f'10.0.0.{number}:1', '1', domain, '', is_leaving=False)


class TestReaderDuty:
    def test_one_daemon_of_each_of_three_domains_reads(self) -> None:
        clock = FakeClock(1_000_000)
        fleet = [
            daemon_of(number, domain)
            for number, domain in enumerate('aaabbbccc', start=1)
        ]
        readers = []
        for own in fleet:
            duty = duty_of(clock, own, *[one for one in fleet if one != own])
            clock.advance(20_000)
            duty.versions.confirm(clock.now(), 0)
            readers.append(duty.is_reader())
        assert [fleet[at].address for at in range(9) if readers[at]] == [
            '10.0.0.1:1',
            '10.0.0.4:1',
            '10.0.0.7:1',
        ]

    def test_a_daemon_reads_when_nobody_confirms_what_it_has(self) -> None:
        clock = FakeClock(1_000_000)
        duty = duty_of(clock, daemon_of(2, 'a'), daemon_of(1, 'a'))
        assert duty.is_reader()

    def test_another_daemon_takes_over_from_one_that_lost_the_store(
        self,
    ) -> None:
        clock = FakeClock(1_000_000)
        others = [daemon_of(1, 'a'), daemon_of(2, 'b'), daemon_of(3, 'c')]
        duty = duty_of(clock, daemon_of(4, 'a'), *others)
        clock.advance(20_000)
        duty.versions.confirm(clock.now(), 0)
        assert not duty.is_reader()
        duty.lost.put('10.0.0.1:1', 'lost', 5000)
        assert duty.is_reader()

    def test_a_daemon_that_knows_few_others_yet_leaves_reading_to_the_seeds(
        self,
    ) -> None:
        """Of 130 daemons most took themselves for the first of their domain."""
        clock = FakeClock(1000)
        seed, other = daemon_of(1, 'a'), daemon_of(2, 'a')
        seeds = (seed.address,)
        table = GossipTable('daemons', clock)
        lost = GossipTable(LOST_TABLE, clock)
        readers = []
        for own in (seed, other):
            membership = Membership(clock, table, own, seeds)
            duty = ReaderDuty(membership, Versions(), lost, clock)
            duty.versions.confirm(clock.now(), 0)
            readers.append(duty.is_reader())
        assert readers == [True, False]


class ScriptedRows:
    """Answers reads and waits by a script, then with nothing new."""

    def __init__(self, *answers: Result[StoreRows, StoreError]) -> None:
        self.answers = list(answers)
        self.asked: list[str] = []
        self.waits: list[Millis] = []

    async def read(self) -> Result[StoreRows, StoreError]:
        return await self._next('read')

    async def wait(
        self, after: int, wait: Millis
    ) -> Result[StoreRows, StoreError]:
        self.waits.append(wait)
        return await self._next(f'wait {after}')

    async def _next(self, asked: str) -> Result[StoreRows, StoreError]:
        self.asked.append(asked)
        if self.answers:
            return self.answers.pop(0)
        await anyio.sleep_forever()
        raise AssertionError


async def watch(
    rows: ScriptedRows, until: Callable[[], bool]
) -> list[tuple[int, bool, bool]]:
    clock = Clock()
    taken: list[tuple[int, bool, bool]] = []
    watched = StoreWatch(
        'rows',
        rows,
        duty_of(clock, daemon_of(1, 'a')),
        lambda found, whole, lost, _: taken.append(
            (found.revision, whole, lost)
        ),
        clock,
        random.Random(1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.run)
        with anyio.fail_after(5):
            while not until():
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    return taken


def rows_at(revision: int) -> Result[StoreRows, StoreError]:
    return Ok(StoreRows((StoreRow('k', revision, ''),), revision))


def no_change(revision: int) -> Result[StoreRows, StoreError]:
    return Ok(StoreRows((), revision))


def fault(kind: StoreFault) -> Result[StoreRows, StoreError]:
    return Error(StoreError(kind, 'scripted'))


class TestStoreWatch:
    async def test_it_reads_all_and_then_waits_for_changes(self) -> None:
        rows = ScriptedRows(rows_at(3), rows_at(4))
        taken = await watch(rows, lambda: len(rows.asked) == 3)
        assert rows.asked == ['read', 'wait 3', 'wait 4']
        assert taken == [(3, True, False), (4, False, False)]

    async def test_it_reads_all_again_when_the_history_is_lost(self) -> None:
        rows = ScriptedRows(
            rows_at(3), fault(StoreFault.HISTORY_LOST), rows_at(9)
        )
        taken = await watch(rows, lambda: len(rows.asked) == 4)
        assert rows.asked == ['read', 'wait 3', 'read', 'wait 9']
        assert taken[-1] == (9, True, False)

    async def test_it_says_that_the_store_was_lost_in_between(self) -> None:
        rows = ScriptedRows(
            rows_at(3), fault(StoreFault.UNREACHABLE), rows_at(4)
        )
        taken = await watch(rows, lambda: len(rows.asked) == 4)
        assert taken[-1] == (4, True, True)


class TestWaits:
    async def test_a_call_that_stays_silent_ends_well_before_the_bound(
        self,
    ) -> None:
        """Calls of 5 s, silent over a change, kept it back for 2.2 s."""
        rows = ScriptedRows(*[no_change(3) for _ in range(30)])
        await watch(rows, lambda: len(rows.waits) == 30)
        assert max(rows.waits) <= 1300
        assert len(set(rows.waits)) > 20

    async def test_changes_that_follow_each_other_share_calls(self) -> None:
        """Of 31 upstreams that joined, each cost every reader a call."""
        clock = FakeClock(100_000)
        rows = DatedRows(clock, rows_at(3))
        await watch_for(rows, duty_of(clock, daemon_of(1, 'a')), 5)
        pauses = [late - soon for soon, late in itertools.pairwise(rows.times)]
        assert min(pauses) >= 400
        assert max(pauses) < 500


class TestLostStore:
    async def test_a_large_fleet_does_not_press_on_it(self) -> None:
        """144 daemons made 4,700 calls to a store that was down for 8 s."""
        clock = FakeClock(100_000)
        others = [daemon_of(number, 'a') for number in range(1, 144)]
        duty = duty_of(clock, daemon_of(200, 'a'), *others)
        clock.advance(20_000)
        rows = DatedRows(clock, fault(StoreFault.UNREACHABLE))
        await watch_for(rows, duty, 10)
        assert rows.times[-1] - rows.times[0] > 9 * 1400
        assert not duty.lost.rows()

    async def test_those_whose_turn_it_is_try_once_a_second(self) -> None:
        clock = FakeClock(100_000)
        others = [daemon_of(number, 'a') for number in range(2, 100)]
        # The lowest address as text.
        duty = duty_of(clock, daemon_of(100, 'a'), *others)
        clock.advance(20_000)
        rows = DatedRows(clock, fault(StoreFault.UNREACHABLE))
        await watch_for(rows, duty, 10)
        pauses = [late - soon for soon, late in itertools.pairwise(rows.times)]
        assert max(pauses) <= 1000
        assert duty.lost.rows()


class DatedRows(ScriptedRows):
    """Gives one answer again and again, and notes when it was asked."""

    def __init__(
        self, clock: FakeClock, answer: Result[StoreRows, StoreError]
    ) -> None:
        super().__init__()
        self.clock = clock
        self.answer = answer
        self.times: list[Millis] = []

    async def _next(self, asked: str) -> Result[StoreRows, StoreError]:
        self.times.append(self.clock.now())
        await anyio.lowlevel.checkpoint()
        return self.answer


async def watch_for(rows: DatedRows, duty: ReaderDuty, calls: int) -> None:
    """Let a daemon read until it has made a number of calls."""
    clock = rows.clock
    watched = StoreWatch(
        'rows', rows, duty, lambda *_: None, clock, random.Random(1)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.run)
        while len(rows.times) < calls:
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()


class TestFirstRead:
    async def test_a_daemon_that_restarts_reads_at_once(self) -> None:
        """Waiting for peers cost a second after all had lost power."""
        assert await waited_before_reading(is_first_start=False) == 0

    async def test_at_the_first_start_the_seeds_read_for_all(self) -> None:
        assert await waited_before_reading(is_first_start=True) > 1000


async def waited_before_reading(*, is_first_start: bool) -> Millis:
    clock = FakeClock(1000)
    rows = ScriptedRows()
    watched = StoreWatch(
        'rows',
        rows,
        duty_of(clock, daemon_of(2, 'a'), daemon_of(1, 'a')),
        lambda *_: None,
        clock,
        random.Random(1),
        is_first_start=is_first_start,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.run)
        while not rows.asked:
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return clock.now() - 1000
