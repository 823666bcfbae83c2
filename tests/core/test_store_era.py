"""The store may be restored from a copy, which sets its revisions back.

Each test plays one of the cases in which revisions alone mislead: a restored
store issues them again, and a row of the copy looks like a new one.
"""

import logging
import math
import random

import anyio
import pytest
from cowslippond_core import (
    STORE_READER_TABLE,
    AcceptedDocument,
    JsonCodec,
    PlainLog,
    ReaderRole,
    StoreEra,
    StoreError,
    StoreFault,
    StoreRow,
    StoreRows,
    StoreWatch,
    UpstreamRegistry,
    Vm,
    VmState,
    combine_era,
)
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._peer_messages import Confirmation, Digest
from expression import Error, Ok, Result
from fakes import FakeClock
from store_fakes import ScriptedRows, make_daemon, make_role

pytestmark = pytest.mark.anyio


def decode(key: str, text: str) -> Vm | None:
    return Vm(key, '1', 'a', VmState(text), 's', f'{key}:1')


class Registry:
    """A registry with the era of its daemon, read as a watch reads it."""

    def __init__(self) -> None:
        self.clock = FakeClock(1_000_000)
        self.era = StoreEra()
        self.log = UpstreamRegistry(self.clock, decode, self.era)

    def read(
        self,
        era: int,
        revision: int,
        *rows: tuple[str, int, str | None],
        is_whole: bool = False,
    ) -> None:
        self.era.observe(era, 'test')
        decoded = tuple(
            StoreRow(key, combine_era(era, written), text)
            for key, written, text in rows
        )
        self.log.apply_rows(
            StoreRows(decoded, combine_era(era, revision)), is_whole, None, 0
        )

    def states(self) -> dict[str, str]:
        return {vm.name: vm.state.value for vm in self.log.vms()}

    def copy_from(self, other: 'Registry') -> None:
        self.era.observe(other.era.current, 'peer', other.era.first)
        self.log.offer_all(other.log.newer_than(self.log.revision))
        self.log.advance(other.log.revision)


@pytest.fixture
def registry() -> Registry:
    return Registry()


class TestRestoredRows:
    def test_rows_with_lower_revisions_are_applied(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, ('u', 90, 'live'), is_whole=True)
        registry.read(2, 41, ('u', 41, 'leaving'), is_whole=True)
        assert registry.states() == {'u': 'leaving'}

    def test_removed_upstream_does_not_return_with_the_copy(
        self, registry: Registry
    ) -> None:
        registry.read(1, 40, ('u', 40, 'live'), is_whole=True)
        registry.read(1, 90, ('u', 90, None))
        registry.read(2, 41, ('u', 40, 'live'), is_whole=True)
        assert not registry.states()

    def test_draining_upstream_stays_draining(self, registry: Registry) -> None:
        registry.read(1, 40, ('u', 40, 'live'), is_whole=True)
        registry.read(1, 90, ('u', 90, 'leaving'))
        registry.read(2, 41, ('u', 40, 'live'), is_whole=True)
        assert registry.states() == {'u': 'leaving'}

    def test_removed_upstream_returns_with_a_row_of_the_new_era(
        self, registry: Registry
    ) -> None:
        registry.read(1, 40, ('u', 40, 'live'), is_whole=True)
        registry.read(1, 90, ('u', 90, None))
        registry.read(2, 41, ('u', 40, 'live'), is_whole=True)
        registry.read(2, 45, ('u', 45, 'live'))
        assert registry.states() == {'u': 'live'}

    def test_removed_upstream_does_not_return_through_a_new_daemon(
        self, registry: Registry
    ) -> None:
        """A daemon that has just started does not know of the removal."""
        registry.read(1, 40, ('u', 40, 'live'), is_whole=True)
        registry.read(1, 90, ('u', 90, None))
        started = Registry()
        started.read(2, 41, ('u', 40, 'live'), is_whole=True)
        registry.copy_from(started)
        assert not registry.states()

    def test_upstream_that_joined_after_the_copy_may_return(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, ('u', 90, 'live'), is_whole=True)
        registry.read(2, 41, is_whole=True)
        registry.clock.advance(1900)
        registry.log.apply_pending_removals()
        assert registry.states() == {'u': 'live'}
        registry.read(2, 42, ('u', 42, 'live'))
        registry.clock.advance(1000)
        registry.log.apply_pending_removals()
        assert registry.states() == {'u': 'live'}

    def test_upstream_that_does_not_return_is_gone_at_every_daemon(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, ('u', 90, 'live'), is_whole=True)
        other = Registry()
        other.copy_from(registry)
        registry.read(2, 41, is_whole=True)
        registry.clock.advance(2400)
        registry.log.apply_pending_removals()
        other.copy_from(registry)
        assert not registry.states()
        assert not other.states()

    def test_second_reader_gives_them_the_time_as_well(
        self, registry: Registry
    ) -> None:
        """Its peer may have passed on the new era before its own read."""
        registry.read(1, 90, ('u', 90, 'live'), is_whole=True)
        other = Registry()
        other.copy_from(registry)
        registry.read(2, 41, ('w', 41, 'live'), is_whole=True)
        other.copy_from(registry)
        other.read(2, 41, ('w', 41, 'live'), is_whole=True)
        assert other.states() == {'u': 'live', 'w': 'live'}
        other.clock.advance(2400)
        other.log.apply_pending_removals()
        assert other.states() == {'w': 'live'}

    def test_two_restores_in_succession(self, registry: Registry) -> None:
        registry.read(1, 40, ('u', 40, 'live'), ('w', 30, 'live'))
        registry.read(1, 90, ('u', 90, None))
        registry.read(
            2, 41, ('u', 40, 'live'), ('w', 30, 'live'), is_whole=True
        )
        registry.read(
            3, 40, ('u', 40, 'live'), ('w', 30, 'live'), is_whole=True
        )
        assert registry.states() == {'w': 'live'}

    def test_daemon_with_the_old_era_converges(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, ('u', 90, 'live'), is_whole=True)
        other = Registry()
        other.copy_from(registry)
        registry.read(2, 41, ('u', 41, 'leaving'), is_whole=True)
        other.copy_from(registry)
        assert other.states() == {'u': 'leaving'}
        assert other.log.revision == registry.log.revision

    def test_entries_from_before_the_first_era_stay(
        self, registry: Registry
    ) -> None:
        """A peer of the previous release tells entries before the first read."""
        registry.log.offer(AcceptedDocument('u', 60, 60, 'leaving', '', 0))
        registry.log.advance(60)
        registry.read(8, 50, ('u', 40, 'live'), is_whole=True)
        assert registry.states() == {'u': 'leaving'}
        assert registry.log.revision == combine_era(8, 60)
        assert not registry.era.was_restored()


class TestPreviousRelease:
    """Daemons of the previous release send revisions without an era."""

    def make_plain(self, registry: Registry) -> PlainLog:
        return PlainLog(registry.log, registry.era, 'upstreams.era')

    @pytest.mark.parametrize('era', [0, 1, 8])
    def test_entries_pass_in_both_directions_in_any_first_era(
        self, registry: Registry, era: int
    ) -> None:
        registry.read(era, 90, ('u', 90, 'live'), is_whole=True)
        plain = self.make_plain(registry)
        assert plain.revision == 90
        assert [entry.version for entry in plain.newer_than(0)] == [90]
        plain.offer_all([AcceptedDocument('w', 91, 91, 'live', '', 0)])
        plain.advance(91)
        assert registry.states() == {'u': 'live', 'w': 'live'}
        assert registry.log.revision == combine_era(era, 91)

    def test_its_entries_do_not_undo_a_restore(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, ('u', 40, 'live'), is_whole=True)
        registry.read(2, 41, ('u', 41, 'leaving'), is_whole=True)
        plain = self.make_plain(registry)
        plain.offer_all([AcceptedDocument('u', 90, 90, 'live', '', 0)])
        plain.advance(90)
        assert registry.states() == {'u': 'leaving'}
        assert plain.revision == 41
        assert not plain.accepts()

    def test_daemon_that_started_after_the_restore_learns_of_it(
        self, registry: Registry
    ) -> None:
        registry.read(1, 90, is_whole=True)
        registry.read(2, 41, is_whole=True)
        started = Registry()
        started.read(2, 41, is_whole=True)
        started.copy_from(registry)
        assert started.era.was_restored()

    def test_messages_without_an_era_are_as_before(self) -> None:
        codec = JsonCodec()
        digest = Digest(7, None, (), {'upstreams': 3}, 2)
        assert b'era' not in codec.pack(Confirmation('a', digest))
        known = digest._replace(era=8, first_era=2)
        packed = codec.pack(Confirmation('a', known))
        assert codec.unpack(packed) == Confirmation('a', known)


def rows_of(era: int, revision: int) -> Result[StoreRows, StoreError]:
    return Ok(StoreRows((), combine_era(era, revision)))


class WatchRun:
    """Runs a watch with scripted responses until it has used all of them."""

    def __init__(self, era: StoreEra | None = None) -> None:
        self.clock = FakeClock(100_000)
        self.role = make_role(self.clock, make_daemon(1, 'a'))
        self.role.era = era or StoreEra()
        self.received: list[tuple[int, bool]] = []
        self.learned_era = 0

    async def run(self, *answers: Result[StoreRows, StoreError]) -> list[str]:
        rows = ScriptedRows(*answers)
        watch = StoreWatch(
            'rows', rows, self.role, self._receive, self.clock, random.Random(1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            while len(rows.requests) <= len(answers):
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        return [request.split()[0] for request in rows.requests]

    def _receive(
        self,
        rows: StoreRows,
        is_whole: bool,
        returned_at: float | None,
        at: float,
    ) -> None:
        self.received.append((rows.revision, is_whole))
        self.role.era.observe(self.learned_era, 'peer')


class TestWatch:
    async def test_it_reads_all_rows_when_an_open_call_shows_a_new_era(
        self,
    ) -> None:
        """The changes of such a call are those after another history."""
        watch = WatchRun()
        requests = await watch.run(
            rows_of(1, 9), rows_of(2, 12), rows_of(2, 12)
        )
        assert requests == ['read', 'wait', 'read', 'wait']
        assert watch.received == [
            (combine_era(1, 9), True),
            (combine_era(2, 12), True),
        ]

    @pytest.mark.parametrize(
        'answers',
        [
            (rows_of(2, 9), rows_of(1, 12)),
            (rows_of(1, 9), rows_of(2, 12)),
            (rows_of(1, 9), Error(StoreError(StoreFault.REFUSED, 'busy'))),
        ],
    )
    async def test_peers_cannot_rely_on_a_call_that_brought_no_rows(
        self, answers: tuple[Result[StoreRows, StoreError], ...]
    ) -> None:
        """Guard against beacons of a reader that may have missed changes."""
        watch = WatchRun()
        await watch.run(*answers)
        watch.clock.advance(100)
        assert watch.role.waits.age() == math.inf

    async def test_it_reads_all_rows_after_an_unknown_revision(self) -> None:
        gone = Error(StoreError(StoreFault.HISTORY_LOST, 'gone', 2))
        watch = WatchRun()
        requests = await watch.run(rows_of(1, 9), gone, rows_of(2, 5))
        assert requests == ['read', 'wait', 'read', 'wait']
        assert watch.role.era.current == 2
        assert watch.role.era.changes == 1

    async def test_it_restarts_when_a_peer_knows_a_higher_era(self) -> None:
        watch = WatchRun()
        watch.learned_era = 2
        requests = await watch.run(rows_of(1, 9), rows_of(1, 9), rows_of(2, 5))
        assert requests == ['read', 'read', 'read', 'wait']
        assert watch.received[-1] == (combine_era(2, 5), True)

    async def test_response_of_a_lower_era_changes_nothing(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        watch = WatchRun()
        await watch.run(
            rows_of(2, 9), rows_of(1, 30), rows_of(1, 31), rows_of(2, 10)
        )
        assert {revision for revision, _ in watch.received} == {
            combine_era(2, 9),
            combine_era(2, 10),
        }
        assert watch.role.era.current == 2
        reasons = [getattr(record, 'reason', '') for record in caplog.records]
        assert reasons.count('old_era') == 1

    async def test_missing_era_counts_as_unchanged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        watch = WatchRun()
        requests = await watch.run(
            rows_of(2, 9), rows_of(0, 10), rows_of(0, 11)
        )
        assert requests == ['read', 'wait', 'wait', 'wait']
        assert watch.received[-1] == (combine_era(2, 11), False)
        messages = [record.message for record in caplog.records]
        assert messages == [
            'store sends no valid era; assuming that it is unchanged'
        ]

    async def test_repeated_history_loss_is_not_retried_at_once(self) -> None:
        """A store that answers 410 to every read would be called without end."""
        gone = Error(StoreError(StoreFault.HISTORY_LOST, 'gone'))
        watch = WatchRun()
        await watch.run(gone, gone, gone, gone)
        assert watch.clock.now() - 100_000 > 500


class TestEra:
    def test_it_is_logged_once_with_its_source(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.INFO)
        era = StoreEra()
        for observed in (3, 3, 4, 4, 3):
            era.observe(observed, 'peer')
        assert [record.message for record in caplog.records] == [
            'era of the store is known',
            'store was restored from a copy; reading all rows again',
        ]
        assert era.store_number() == 3

    def test_lower_number_of_the_store_is_no_sign_of_a_restore(self) -> None:
        """Otherwise, entries of the previous release would be ignored."""
        era = StoreEra()
        era.observe(8, 'store')
        era.observe(3, 'store')
        assert not era.was_restored()

    def test_era_that_a_message_cannot_hold_is_ignored(self) -> None:
        era = StoreEra()
        era.observe(1 << 60, 'peer')
        assert era.current == 0


class TestReadersOfThisRelease:
    """Readers of the previous release pass on no eras and no other rows."""

    def make_role(self) -> tuple[FakeClock, ReaderRole]:
        clock = FakeClock(1_000_000)
        others = [make_daemon(number, 'a') for number in range(1, 6)]
        role = make_role(clock, make_daemon(7, 'a'), *others)
        clock.advance(20_000)
        readers = GossipTable(STORE_READER_TABLE, clock)
        announcing = ReaderRole(
            role.membership,
            role.versions,
            role.lost_reports,
            clock,
            readers=readers,
        )
        announcing.started_at = 0
        announcing.versions.confirm(clock.now(), 0)
        return clock, announcing

    def test_daemon_reads_when_no_reader_announces_itself(self) -> None:
        clock, role = self.make_role()
        assert not role.is_reader()
        clock.advance(4100)
        role.versions.confirm(clock.now(), 0)
        assert role.is_reader()

    def test_one_reader_is_enough(self) -> None:
        clock, role = self.make_role()
        for _ in range(4):
            role.readers.put('10.0.0.1:1', '0', 8000)
            assert not role.is_reader()
            clock.advance(2500)
            role.versions.confirm(clock.now(), 0)
            assert not role.is_reader()

    def test_reader_that_falls_silent_is_replaced(self) -> None:
        """Guard against a wait until its last announcement has expired.

        A group that had lost its readers waited for 8 s, and 4 s more.
        """
        clock, role = self.make_role()
        role.readers.put('10.0.0.1:1', '0', 8000)
        assert not role.is_reader()
        clock.advance(3700)
        role.versions.confirm(clock.now(), 0)
        assert role.is_reader()

    def test_refused_reader_is_replaced_by_rank_only(self) -> None:
        """Guard against all daemons reading once the readers are refused.

        136 daemons made 145 calls in the first second of an outage.
        """
        clock, role = self.make_role()
        clock.advance(2500)
        role.versions.confirm(clock.now(), 0)
        role.readers.put('10.0.0.1:1', '0', 8000)
        role.lost_reports.put('10.0.0.9:1', 'lost', 5000)
        role.lost_reports.put('10.0.0.1:1', 'lost', 5000)
        clock.advance(200)
        assert not role.is_reader()

    def test_of_two_such_readers_one_goes_on(self) -> None:
        clock, role = self.make_role()
        clock.advance(4100)
        role.versions.confirm(clock.now(), 0)
        assert role.is_reader()
        role.announce_reading()
        role.readers.put('10.0.0.8:1', '0*', 8000)
        assert role.is_reader()
        role.readers.put('10.0.0.1:1', '0*', 8000)
        assert not role.is_reader()

    def test_it_ends_once_a_reader_by_rank_announces_itself(self) -> None:
        clock, role = self.make_role()
        clock.advance(4100)
        role.versions.confirm(clock.now(), 0)
        assert role.is_reader()
        role.readers.put('10.0.0.8:1', '0', 8000)
        assert not role.is_reader()

    def test_first_read_of_a_daemon_is_not_announced(self) -> None:
        """All daemons of a starting fleet would go on reading.

        100 daemons made 402 calls in their first second, 208 without.
        """
        _, role = self.make_role()
        role.announce_reading()
        assert not role.known_readers()

    def test_reader_of_another_era_does_not_count(self) -> None:
        clock, role = self.make_role()
        role.era.observe(3, 'peer')
        role.readers.put('10.0.0.1:1', '2', 8000)
        clock.advance(4100)
        role.versions.confirm(clock.now(), 0)
        assert role.is_reader()
