"""Evacuations of failure domains, without a store or a network."""

import random

import pytest
from cowslippond_core import (
    EVACUATION_PREFIX,
    AcceptedDocument,
    EvacuationLog,
    Millis,
    StoreEra,
    StoreRow,
    StoreRows,
)
from cowslippond_core._store_era import combine_era
from cowslippond_core._whole_read import make_whole_read
from cowslippond_daemon.platform import operator_key
from fakes import FakeClock

DOMAINS = ('north', 'east', 'south')


def evacuation(domain: str, revision: int, text: str | None = '{}') -> StoreRow:
    return StoreRow(f'{EVACUATION_PREFIX}{domain}', revision, text)


class Log(EvacuationLog):
    """A log that records the changes that its watchers are told of."""

    def __init__(self) -> None:
        self.fake_clock = FakeClock()
        self.store_era = StoreEra()
        super().__init__(self.fake_clock, self.store_era)
        self.begun: list[str] = []
        self.ended: list[str] = []
        self.watchers.append(self.record)

    def record(self, begun: frozenset[str], ended: frozenset[str]) -> None:
        self.begun.extend(begun)
        self.ended.extend(ended)

    def apply(
        self,
        *rows: StoreRow,
        revision: int,
        is_whole: bool = False,
        was_lost: bool = False,
        lost_until: Millis | None = None,
    ) -> None:
        returned_at = self.fake_clock.now() if was_lost else lost_until
        self.apply_rows(StoreRows(rows, revision), is_whole, returned_at, 0)


def exchange(one: Log, other: Log) -> None:
    """Let two daemons send each other what is newer than the other's revision."""
    for giver, taker in ((one, other), (other, one)):
        if giver.revision > taker.revision:
            taker.offer_all(giver.newer_than(taker.revision))
            taker.advance(giver.revision)


class OlderLog(Log):
    """A log of the previous release, for which all entries are domains."""

    def put_in_force(self, accepted: AcceptedDocument) -> bool:
        if accepted.text:
            self.domains.add(accepted.service)
        else:
            self.domains.discard(accepted.service)
        return True


class TestListOfARead:
    @pytest.mark.parametrize('is_rewritten', [False, True])
    def test_copy_with_other_rows_hides_no_evacuation(
        self, *, is_rewritten: bool
    ) -> None:
        """The list of the read ended what the operator was to write again."""
        peer, reader = Log(), Log()
        for log in (peer, reader):
            log.store_era.observe(2, 'store')
        peer.apply(
            evacuation('east', combine_era(1, 2)),
            evacuation('north', combine_era(1, 9)),
            revision=combine_era(1, 9),
        )
        east = evacuation('east', combine_era(2, 2))
        reader.apply(east, revision=combine_era(2, 2), is_whole=True)
        for _ in range(11):
            exchange(reader, peer)
            assert reader.domains == {'east', 'north'}
            assert peer.domains == {'east', 'north'}
            for log in (reader, peer):
                log.fake_clock.advance(200)
                log.apply_pending_removals()
        if is_rewritten:
            reader.apply(
                evacuation('north', combine_era(2, 3)),
                revision=combine_era(2, 3),
            )
        for log in (reader, peer):
            log.fake_clock.advance(200)
            log.apply_pending_removals()
        exchange(reader, peer)
        expected = {'east', 'north'} if is_rewritten else {'east'}
        assert (reader.domains, peer.domains) == (expected, expected)

    def test_list_of_a_read_is_held_back_after_an_outage(self) -> None:
        """Peers ended at once what had time to return at the reader."""
        peer, reader = Log(), Log()
        for log in (peer, reader):
            log.apply(evacuation('east', 3), evacuation('north', 4), revision=4)
        reader.apply(
            evacuation('east', 3), revision=9, is_whole=True, was_lost=True
        )
        exchange(reader, peer)
        assert peer.domains == {'east', 'north'}
        for log in (reader, peer):
            log.fake_clock.advance(2300)
            log.apply_pending_removals()
        exchange(reader, peer)
        assert peer.domains == {'east'}

    def test_reader_that_the_store_keeps_refusing_passes_on_a_new_row(
        self,
    ) -> None:
        """Each error held the log's revision back for another 2.3 s."""
        peer, reader = Log(), Log()
        east = evacuation('east', combine_era(1, 3))
        for log in (peer, reader):
            log.apply(east, revision=combine_era(1, 3), is_whole=True)
            log.fake_clock.advance(5000)
            log.apply(east, revision=combine_era(1, 4), is_whole=True)
        exchange(reader, peer)
        north = evacuation('north', combine_era(1, 8))
        for revision in (9, 10):
            reader.fake_clock.advance(2000)
            reader.apply(
                east,
                north,
                revision=combine_era(1, revision),
                is_whole=True,
                was_lost=True,
            )
            exchange(reader, peer)
        assert peer.domains == {'east', 'north'}

    def test_revision_stays_below_a_read_that_is_held_back(self) -> None:
        """A peer at the revision of the read would never get its list."""
        started, peer, reader = Log(), Log(), Log()
        peer.apply(
            evacuation('north', combine_era(1, 4)), revision=combine_era(1, 4)
        )
        east = evacuation('east', combine_era(1, 9))
        reader.apply(east, revision=combine_era(1, 9), is_whole=True)
        exchange(reader, started)
        assert started.domains == {'east'}
        reader.revision = combine_era(1, 8)
        reader.offer_all([reader.latest['east']])
        assert reader.revision == combine_era(1, 8)
        reader.fake_clock.advance(2300)
        reader.apply_pending_removals()
        exchange(reader, peer)
        assert peer.domains == {'east'}


class TestRestoredStore:
    def test_evacuation_that_the_copy_lacks_stays_until_it_is_rewritten(
        self,
    ) -> None:
        """Calls reached the domain until the operator had written again."""
        log = Log()
        log.store_era.observe(1, 'store')
        log.apply(evacuation('north', combine_era(1, 9)), revision=9)
        log.store_era.observe(2, 'store')
        log.apply(revision=combine_era(2, 4), is_whole=True)
        assert log.domains == {'north'}
        log.fake_clock.advance(1500)
        log.apply(
            evacuation('north', combine_era(2, 6)), revision=combine_era(2, 6)
        )
        log.fake_clock.advance(2000)
        log.apply_pending_removals()
        assert log.domains == {'north'}
        assert not log.ended

    def test_evacuation_that_is_not_rewritten_ends(self) -> None:
        log = Log()
        log.store_era.observe(1, 'store')
        log.apply(evacuation('north', combine_era(1, 9)), revision=9)
        log.store_era.observe(2, 'store')
        log.apply(revision=combine_era(2, 4), is_whole=True)
        log.fake_clock.advance(2500)
        log.apply_pending_removals()
        assert log.domains == set()

    def test_restarted_reader_gives_an_evacuation_time_to_return(self) -> None:
        """A reader started after the restore ended the evacuation at once."""
        peer = Log()
        peer.apply(evacuation('north', combine_era(1, 9)), revision=9)
        log = Log()
        log.store_era.observe(2, 'store')
        log.apply(revision=combine_era(2, 4), is_whole=True)
        log.fake_clock.advance(200)
        log.offer_all(peer.newer_than(log.revision))
        log.advance(peer.revision)
        log.fake_clock.advance(1500)
        log.apply_pending_removals()
        assert log.domains == {'north'}
        peer.offer_all(log.newer_than(peer.revision))
        assert peer.domains == {'north'}
        log.fake_clock.advance(1000)
        log.apply_pending_removals()
        assert log.domains == set()
        assert log.revision > peer.revision

    def test_evacuation_of_an_earlier_era_ends_long_after_the_restore(
        self,
    ) -> None:
        """A peer that returns late must not evacuate the domain again."""
        peer = Log()
        peer.apply(evacuation('north', combine_era(1, 9)), revision=9)
        log = Log()
        log.store_era.observe(2, 'store')
        log.apply(revision=combine_era(2, 4), is_whole=True)
        log.fake_clock.advance(2500)
        log.offer_all(peer.newer_than(log.revision))
        assert log.domains == set()


class TestStore:
    def test_row_evacuates_until_it_is_removed(self) -> None:
        log = Log()
        log.apply(evacuation('north', 4), revision=9)
        assert log.domains == {'north'}
        log.apply(evacuation('north', 11, None), revision=11)
        assert log.domains == set()
        assert (log.begun, log.ended) == (['north'], ['north'])

    def test_begin_and_end_in_one_read_leave_the_last_state(self) -> None:
        log = Log()
        log.apply(
            evacuation('north', 4),
            evacuation('north', 5, None),
            evacuation('east', 6, None),
            evacuation('east', 7),
            revision=7,
        )
        assert log.domains == {'east'}

    @pytest.mark.parametrize('text', ['', 'nonsense', '\x00', '[]'])
    def test_unreadable_value_evacuates(self, text: str) -> None:
        """An empty value was taken for the end of the evacuation."""
        log = Log()
        log.apply(evacuation('north', 4, text), revision=4)
        assert log.domains == {'north'}

    def test_whole_read_without_the_row_ends_it(self) -> None:
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        log.apply(revision=9, is_whole=True)
        assert log.domains == set()

    def test_partial_read_without_the_row_does_not_end_it(self) -> None:
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        log.apply(revision=9)
        assert log.domains == {'north'}

    def test_late_answer_with_an_older_state_does_not_end_it(self) -> None:
        log = Log()
        log.apply(evacuation('north', 14), revision=14)
        log.apply(revision=9, is_whole=True)
        assert log.domains == {'north'}

    def test_missing_row_after_an_outage_has_time_to_return(self) -> None:
        """A store that came back without the row undid the evacuation."""
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        log.apply(revision=9, is_whole=True, was_lost=True)
        log.fake_clock.advance(1500)
        log.apply_pending_removals()
        assert log.domains == {'north'}
        log.apply(evacuation('north', 10), revision=10)
        log.fake_clock.advance(3000)
        log.apply_pending_removals()
        assert log.domains == {'north'}

    def test_row_that_does_not_return_after_an_outage_is_gone(self) -> None:
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        log.apply(revision=9, is_whole=True, was_lost=True)
        log.fake_clock.advance(2400)
        log.apply_pending_removals()
        assert log.domains == set()
        assert log.revision == 9

    def test_row_that_is_removed_long_after_an_outage_is_gone(self) -> None:
        """Guard against taking this daemon's next read for the end."""
        log = Log()
        log.fake_clock.advance(1000)
        log.apply(evacuation('north', 4), revision=4)
        returned_at = log.fake_clock.now()
        log.fake_clock.advance(2400)
        log.apply(revision=9, is_whole=True, lost_until=returned_at)
        assert log.domains == set()

    def test_other_rows_are_ignored(self) -> None:
        log = Log()
        log.apply(
            StoreRow('configuration', 3, '{}'),
            StoreRow('other', 4, 'x'),
            revision=4,
        )
        assert log.domains == set()
        assert log.revision == 0


class TestPeers:
    def test_lagging_peer_does_not_restore_an_ended_evacuation(self) -> None:
        lagging = Log()
        lagging.apply(evacuation('north', 4), revision=4)
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        log.apply(evacuation('north', 8, None), revision=8)
        log.offer_all(lagging.newer_than(0))
        assert log.domains == set()

    def test_restarted_daemon_learns_the_newest_state_from_peers(self) -> None:
        """The state of a lagging peer came first, that of the others later."""
        lagging = Log()
        lagging.apply(evacuation('north', 4), revision=4)
        current = Log()
        current.apply(evacuation('north', 4), revision=4)
        current.apply(
            evacuation('north', 8, None), evacuation('east', 9), revision=9
        )
        log = Log()
        log.offer_all(lagging.newer_than(0))
        log.advance(lagging.revision)
        log.offer_all(current.newer_than(log.revision))
        assert log.domains == {'east'}

    def test_peer_does_not_restore_what_ended_before_the_start(self) -> None:
        """A daemon that had restarted knew no tombstone of the evacuation."""
        lagging = Log()
        lagging.apply(evacuation('north', 4), revision=4)
        log = Log()
        log.apply(revision=9, is_whole=True)
        log.offer_all(lagging.newer_than(0))
        assert log.domains == set()
        lagging.offer_all(log.newer_than(lagging.revision))
        assert lagging.domains == set()

    def test_end_that_no_daemon_saw_reaches_the_peers(self) -> None:
        """Both had the same revision, so the end was never passed on."""
        peer = Log()
        peer.apply(evacuation('north', 4), revision=4)
        log = Log()
        log.apply(revision=9, is_whole=True)
        log.offer_all(peer.newer_than(log.revision))
        log.advance(peer.revision)
        # Peers exchange entries only if their revisions differ.
        assert log.revision > peer.revision
        peer.offer_all(log.newer_than(peer.revision))
        assert peer.domains == set()

    def test_end_reaches_a_peer_that_a_restarted_reader_updated(self) -> None:
        """The peer got the reader's revision without the removal that it lacked."""
        peer, witness, reader = Log(), Log(), Log()
        for log in (peer, witness):
            log.apply(evacuation('north', 4), revision=4)
        witness.apply(
            evacuation('north', 8, None), evacuation('east', 9), revision=9
        )
        reader.apply(evacuation('east', 9), revision=9, is_whole=True)
        for _ in range(5):
            exchange(reader, peer)
            exchange(witness, peer)
            exchange(reader, witness)
        assert peer.domains == {'east'}

    def test_end_passes_through_a_peer_of_an_older_release(self) -> None:
        """It passes on the list of the read, which means nothing to it."""
        older, peer, reader = OlderLog(), Log(), Log()
        for log in (older, peer):
            log.apply(evacuation('north', 4), revision=4)
        reader.apply(evacuation('east', 9), revision=9, is_whole=True)
        exchange(reader, older)
        exchange(older, peer)
        assert older.domains == {'north', 'east'}
        assert peer.domains == {'east'}

    def test_evacuation_that_began_after_the_read_stays(self) -> None:
        peer, reader = Log(), Log()
        peer.apply(evacuation('north', 12), revision=12)
        reader.apply(evacuation('east', 9), revision=9, is_whole=True)
        peer.offer_all(reader.newer_than(0))
        assert peer.domains == {'north', 'east'}

    def test_end_is_passed_on_once_a_later_row_raises_the_revision(
        self,
    ) -> None:
        """The table was empty when it was read, so there was no entry."""
        peer, reader = Log(), Log()
        peer.apply(evacuation('north', 4), revision=4)
        reader.apply(revision=9, is_whole=True)
        assert reader.revision == 0
        reader.apply(evacuation('east', 15), revision=15)
        exchange(reader, peer)
        assert peer.domains == {'east'}

    @pytest.mark.parametrize('listed', ['', '{', '{}', '[1]', '\x00'])
    def test_unreadable_list_of_a_read_ends_nothing(self, listed: str) -> None:
        log = Log()
        log.apply(evacuation('north', 4), revision=4)
        entry = make_whole_read(9, (), 0)._replace(author=listed)
        log.offer_all([entry])
        assert log.domains == {'north'}

    @pytest.mark.parametrize('seed', range(20))
    def test_all_orders_of_arrival_converge(self, seed: int) -> None:
        rng = random.Random(seed)
        store: dict[str, StoreRow] = {}
        logs = [Log() for _ in range(5)]
        for revision in range(1, 60):
            domain = rng.choice(DOMAINS)
            text = rng.choice(['{}', None])
            store[domain] = evacuation(domain, revision, text)
            if rng.choice([True, False]):
                reader = rng.choice(logs)
                reader.apply(store[domain], revision=revision)
            else:
                present = [row for row in store.values() if row.text]
                rng.choice(logs).apply(
                    *present, revision=revision, is_whole=True
                )
            giver, taker = rng.sample(logs, 2)
            taker.offer_all(giver.newer_than(taker.revision))
            taker.advance(giver.revision)
        logs[0].apply(
            *(row for row in store.values() if row.text),
            revision=60,
            is_whole=True,
        )
        for peer in logs[1:]:
            logs[0].offer_all(peer.newer_than(0))
        for taker in logs[1:]:
            taker.offer_all(logs[0].newer_than(0))
        expected = {domain for domain in DOMAINS if store[domain].text}
        assert [log.domains for log in logs] == [expected for _ in logs]


class TestKeys:
    @pytest.mark.parametrize(
        ('key', 'translated'),
        [
            ('config', 'configuration'),
            ('evacuate/north', 'evacuation/north'),
            ('evacuate/a/b', 'evacuation/a/b'),
            ('evacuate/', None),
            ('evacuate', None),
            ('other', None),
        ],
    )
    def test_rows_are_dispatched_by_key(
        self, key: str, translated: str | None
    ) -> None:
        assert operator_key(key) == translated
