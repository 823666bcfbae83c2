"""Tests of which daemons read the store, and of store failures."""

import itertools
import random
from collections.abc import Callable

import anyio
import pytest
from cowslippond_core import (
    STORE_LOST_TABLE,
    Clock,
    Millis,
    ReaderRole,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
    StoreWatch,
)
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Membership
from cowslippond_core._store_outage import StoreOutage
from cowslippond_core._versions import Versions
from expression import Error, Ok, Result
from fakes import FakeClock
from store_fakes import ScriptedRows, make_daemon, make_role

pytestmark = pytest.mark.anyio


class TestReaderRole:
    def test_one_daemon_of_each_of_three_domains_reads(self) -> None:
        clock = FakeClock(1_000_000)
        fleet = [
            make_daemon(number, domain)
            for number, domain in enumerate('aaabbbccc', start=1)
        ]
        readers = []
        for own in fleet:
            role = make_role(
                clock, own, *[other for other in fleet if other != own]
            )
            clock.advance(20_000)
            role.versions.confirm(clock.now(), 0)
            readers.append(role.is_reader())
        assert [fleet[at].address for at in range(9) if readers[at]] == [
            '10.0.0.1:1',
            '10.0.0.4:1',
            '10.0.0.7:1',
        ]

    def test_a_daemon_whose_rows_are_unconfirmed_reads(self) -> None:
        clock = FakeClock(1_000_000)
        role = make_role(clock, make_daemon(2, 'a'), make_daemon(1, 'a'))
        assert role.is_reader()

    def test_another_daemon_replaces_one_that_cannot_read_the_store(
        self,
    ) -> None:
        clock = FakeClock(1_000_000)
        others = [make_daemon(1, 'a'), make_daemon(2, 'b'), make_daemon(3, 'c')]
        role = make_role(clock, make_daemon(4, 'a'), *others)
        clock.advance(20_000)
        role.versions.confirm(clock.now(), 0)
        assert not role.is_reader()
        role.lost_reports.put('10.0.0.1:1', 'lost', 5000)
        assert role.is_reader()

    def test_a_refused_substitute_is_no_longer_one(self) -> None:
        """Guard against substitutes that retry without their delays.

        In an outage without answers, 60 daemons each called again every 1.5 s.
        """
        clock = FakeClock(1_000_000)
        others = [make_daemon(number, 'a') for number in range(1, 4)]
        role = make_role(clock, make_daemon(9, 'a'), *others)
        clock.advance(20_000)
        role.is_substitute = True
        role.report_store_lost()
        assert role.lost_reports.rows()
        assert not role.is_chosen()

    def test_only_seeds_read_during_discovery(
        self,
    ) -> None:
        """Guard against most daemons of a starting fleet reading the store.

        Of 130 daemons, most ranked themselves first in their failure domain
        because they had not yet discovered the others.
        """
        clock = FakeClock(1000)
        seed, other = make_daemon(1, 'a'), make_daemon(2, 'a')
        seeds = (seed.address,)
        table = GossipTable('daemons', clock)
        lost_reports = GossipTable(STORE_LOST_TABLE, clock)
        readers = []
        for own in (seed, other):
            membership = Membership(clock, table, own, seeds)
            role = ReaderRole(membership, Versions(), lost_reports, clock)
            role.versions.confirm(clock.now(), 0)
            readers.append(role.is_reader())
        assert readers == [True, False]


async def watch(
    rows: ScriptedRows, until: Callable[[], bool]
) -> list[tuple[int, bool, bool]]:
    clock = Clock()
    received: list[tuple[int, bool, bool]] = []
    store_watch = StoreWatch(
        'rows',
        rows,
        make_role(clock, make_daemon(1, 'a')),
        lambda found, is_full_read, returned_at, _: received.append(
            (found.revision, is_full_read, returned_at is not None)
        ),
        clock,
        random.Random(1),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store_watch.run)
        with anyio.fail_after(5):
            while not until():
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    return received


def rows_at(revision: int) -> Result[StoreRows, StoreError]:
    return Ok(StoreRows((StoreRow('k', revision, ''),), revision))


def no_change(revision: int) -> Result[StoreRows, StoreError]:
    return Ok(StoreRows((), revision))


def fault(kind: StoreFault) -> Result[StoreRows, StoreError]:
    return Error(StoreError(kind, 'scripted'))


class TestStoreWatch:
    async def test_it_reads_all_and_then_waits_for_changes(self) -> None:
        rows = ScriptedRows(rows_at(3), rows_at(4))
        received = await watch(rows, lambda: len(rows.requests) == 3)
        assert rows.requests == ['read', 'wait 3', 'wait 4']
        assert received == [(3, True, False), (4, False, False)]

    async def test_it_reads_all_again_when_the_history_is_truncated(
        self,
    ) -> None:
        rows = ScriptedRows(
            rows_at(3), fault(StoreFault.HISTORY_LOST), rows_at(9)
        )
        received = await watch(rows, lambda: len(rows.requests) == 4)
        assert rows.requests == ['read', 'wait 3', 'read', 'wait 9']
        assert received[-1] == (9, True, False)

    async def test_it_reports_that_the_store_was_lost_in_between(self) -> None:
        rows = ScriptedRows(
            rows_at(3), fault(StoreFault.UNREACHABLE), rows_at(4)
        )
        received = await watch(rows, lambda: len(rows.requests) == 4)
        assert received[-1] == (4, True, True)


class TestStoreOutage:
    """Guard against a daemon that takes its own next read for the end.

    Others had read for 3.6 s when their readers were lost; it then held
    removals back for 2.3 s more.
    """

    def test_it_ends_with_the_first_read_of_any_daemon(self) -> None:
        versions = Versions()
        outage = StoreOutage(versions)
        outage.record_failure(1000)
        versions.confirm(900, 0)
        versions.confirm(1200, 0)
        versions.confirm(2000, 0)
        assert outage.end(5000) == 1200
        assert outage.end(5000) is None

    def test_without_a_read_of_others_it_ends_with_the_own_one(self) -> None:
        outage = StoreOutage(Versions())
        outage.record_failure(1000)
        assert outage.end(5000) == 5000

    def test_another_failure_prolongs_it(self) -> None:
        versions = Versions()
        outage = StoreOutage(versions)
        outage.record_failure(1000)
        versions.confirm(1200, 0)
        outage.record_failure(1500)
        assert outage.end(5000) == 5000

    async def test_a_watch_tells_when_others_read_again(self) -> None:
        clock = FakeClock(100_000)
        role = make_role(clock, make_daemon(1, 'a'))
        ends: list[Millis | None] = []
        store_watch = StoreWatch(
            'rows',
            ScriptedRows(fault(StoreFault.REFUSED), rows_at(4)),
            role,
            lambda *seen: ends.append(seen[2]),
            clock,
            random.Random(1),
        )
        await store_watch._read_once()
        returned_at = clock.now()
        role.versions.confirm(returned_at, 0)
        clock.advance(3000)
        await store_watch._read_once()
        assert ends == [returned_at]


class TestReports:
    @pytest.mark.parametrize(('late_by', 'missed'), [(400, '1400'), (0, '0')])
    async def test_they_tell_for_how_long_a_call_had_no_answer(
        self, late_by: Millis, missed: str
    ) -> None:
        clock = FakeClock(100_000)
        role = make_role(clock, make_daemon(1, 'a'))
        store_watch = StoreWatch(
            'rows',
            ScriptedRows(),
            role,
            lambda *_: None,
            clock,
            random.Random(1),
        )
        clock.advance(20_000)
        store_watch.requested_at = clock.now()
        store_watch.answer_due_at = clock.now() + 1000
        clock.advance(1000 + late_by)
        await store_watch._record_error(
            StoreError(StoreFault.UNREACHABLE, 'scripted')
        )
        own = role.membership.own.address
        assert role.lost_reports.text_of(own) == missed


class TestWaits:
    async def test_a_call_without_changes_ends_well_before_the_bound(
        self,
    ) -> None:
        """Guard against late changes when an open call fails to report one.

        With calls of 5 s, such a change was delayed by 2.2 s.
        """
        rows = ScriptedRows(*[no_change(3) for _ in range(30)])
        await watch(rows, lambda: len(rows.waits) == 30)
        assert max(rows.waits) <= 1300
        assert len(set(rows.waits)) > 20

    async def test_changes_in_quick_succession_share_calls(self) -> None:
        """Guard against one call of every reader for each of many changes.

        When 31 upstreams joined, every reader made a call for each of them.
        """
        clock = FakeClock(100_000)
        rows = RepeatingRows(clock, rows_at(3))
        await run_until_calls(rows, make_role(clock, make_daemon(1, 'a')), 5)
        intervals = [
            later - earlier for earlier, later in itertools.pairwise(rows.times)
        ]
        assert min(intervals) >= 400
        assert max(intervals) < 500


class TestLostStore:
    async def test_a_large_fleet_does_not_overload_it(self) -> None:
        """Guard against retries that grow with the size of the fleet.

        144 daemons made 4,700 calls to a store that was down for 8 s.
        """
        clock = FakeClock(100_000)
        others = [make_daemon(number, 'a') for number in range(1, 144)]
        role = make_role(clock, make_daemon(200, 'a'), *others)
        clock.advance(20_000)
        rows = RepeatingRows(clock, fault(StoreFault.UNREACHABLE))
        # Later, the heartbeats of the other daemons would have expired.
        await run_until_calls(rows, role, 4)
        assert rows.times[-1] - rows.times[0] > 3 * 7000
        assert not role.lost_reports.rows()

    async def test_designated_readers_retry_once_a_second(self) -> None:
        clock = FakeClock(100_000)
        others = [make_daemon(number, 'a') for number in range(2, 100)]
        # Ranks first: its address is the lowest one when compared as text.
        role = make_role(clock, make_daemon(100, 'a'), *others)
        clock.advance(20_000)
        rows = RepeatingRows(clock, fault(StoreFault.UNREACHABLE))
        await run_until_calls(rows, role, 10)
        intervals = [
            later - earlier for earlier, later in itertools.pairwise(rows.times)
        ]
        assert max(intervals) <= 1000
        assert role.lost_reports.rows()


class RepeatingRows(ScriptedRows):
    """Returns the same response every time and records the request times."""

    def __init__(
        self, clock: FakeClock, answer: Result[StoreRows, StoreError]
    ) -> None:
        super().__init__()
        self.clock = clock
        self.answer = answer
        self.times: list[Millis] = []

    async def _next(self, request: str) -> Result[StoreRows, StoreError]:
        self.times.append(self.clock.now())
        await anyio.lowlevel.checkpoint()
        return self.answer


async def run_until_calls(
    rows: RepeatingRows, role: ReaderRole, calls: int
) -> None:
    """Run a store watch until it has made a number of calls."""
    clock = rows.clock
    store_watch = StoreWatch(
        'rows', rows, role, lambda *_: None, clock, random.Random(1)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store_watch.run)
        while len(rows.times) < calls:
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()


class TestFirstRead:
    async def test_a_restarted_daemon_reads_at_once(self) -> None:
        """Guard against waiting for peers after a restart.

        After a power loss of the whole fleet, the wait cost a second.
        """
        assert await wait_before_first_read(is_first_start=False) == 0

    async def test_at_the_first_start_other_daemons_wait_for_the_seeds(
        self,
    ) -> None:
        assert await wait_before_first_read(is_first_start=True) > 1000


async def wait_before_first_read(*, is_first_start: bool) -> Millis:
    clock = FakeClock(1000)
    rows = ScriptedRows()
    store_watch = StoreWatch(
        'rows',
        rows,
        make_role(clock, make_daemon(2, 'a'), make_daemon(1, 'a')),
        lambda *_: None,
        clock,
        random.Random(1),
        is_first_start=is_first_start,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store_watch.run)
        while not rows.requests:
            await anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    return clock.now() - 1000
