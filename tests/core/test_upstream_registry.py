"""Tests for upstream entries from the store and from peers."""

import pytest
from cowslippond_core import (
    STORE_LOST_TABLE,
    Millis,
    StoreRow,
    StoreRows,
    UpstreamRegistry,
    Vm,
    VmState,
)
from cowslippond_core._document import AcceptedDocument
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._store_era import combine_era
from cowslippond_core._store_outage import StoreSilence
from cowslippond_core._whole_read import make_whole_read
from fakes import FakeClock


def decode(key: str, text: str) -> Vm | None:
    if text == 'broken':
        return None
    return Vm(key, '1', 'a', VmState(text), 's', f'{key}:1')


class DecodingRegistry(UpstreamRegistry):
    def __init__(self, clock: FakeClock) -> None:
        super().__init__(clock, decode)

    def read(
        self,
        revision: int,
        *rows: StoreRow,
        is_whole: bool = False,
        was_lost: bool = False,
        lost_until: Millis | None = None,
    ) -> None:
        returned_at = self.clock.now() if was_lost else lost_until
        self.apply_rows(StoreRows(rows, revision), is_whole, returned_at, 0)

    def states(self) -> dict[str, VmState]:
        return {vm.name: vm.state for vm in self.vms()}


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(1_000_000)


@pytest.fixture
def registry(clock: FakeClock) -> DecodingRegistry:
    return DecodingRegistry(clock)


class TestBatches:
    """After a start, a daemon reads the entries of all upstreams at once."""

    def test_watchers_are_called_once_for_all_rows(
        self, registry: DecodingRegistry
    ) -> None:
        """With a call for each row, the work grew with the square of them."""
        seen: list[int] = []
        registry.watchers.append(lambda: seen.append(len(registry.by_key)))
        rows = [StoreRow(f'u{index}', index, 'live') for index in range(300)]
        registry.read(300, *rows, is_whole=True)
        registry.read(301, *rows[1:], is_whole=True)
        assert seen == [300, 299]

    def test_entries_from_a_peer_are_applied_together(
        self, registry: DecodingRegistry
    ) -> None:
        seen: list[int] = []
        registry.watchers.append(lambda: seen.append(len(registry.by_key)))
        registry.offer_all(
            AcceptedDocument(f'u{index}', index, index, 'live', '', 0)
            for index in range(1, 301)
        )
        assert seen == [300]

    def test_many_changes_are_logged_in_one_line(
        self, registry: DecodingRegistry, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level('INFO')
        rows = [StoreRow(f'u{index}', index, 'live') for index in range(300)]
        registry.read(300, *rows)
        registry.read(301, StoreRow('u7', 301, None))
        messages = [record.message for record in caplog.records]
        assert messages == ['upstreams changed', 'upstream changed']


class TestApplyRows:
    def test_an_older_entry_never_replaces_a_newer_one(
        self, registry: DecodingRegistry
    ) -> None:
        registry.read(9, StoreRow('u', 9, 'leaving'))
        registry.offer(AcceptedDocument('u', 7, 7, 'live', '', 0))
        assert registry.states() == {'u': VmState.LEAVING}

    def test_a_removal_applies_at_once_while_the_store_is_available(
        self, registry: DecodingRegistry
    ) -> None:
        registry.read(1, StoreRow('u', 1, 'live'))
        registry.read(2, StoreRow('u', 2, None))
        assert registry.states() == {}

    def test_an_entry_that_cannot_be_decoded_does_not_affect_others(
        self, registry: DecodingRegistry
    ) -> None:
        registry.read(2, StoreRow('u', 1, 'live'), StoreRow('x', 2, 'broken'))
        assert registry.states() == {'u': VmState.LIVE}

    def test_entries_from_the_store_are_offered_to_peers(
        self, registry: DecodingRegistry
    ) -> None:
        registry.read(1, StoreRow('u', 1, 'live'))
        assert [one.service for one in registry.newer_than(0)] == ['u']
        assert registry.revision == 1


class TestAfterAnOutage:
    """Entries that expire in a store outage must not remove live upstreams.

    Without the grace period, the upstreams vanish for every caller.
    """

    def test_expired_entries_have_time_to_return(
        self, registry: DecodingRegistry, clock: FakeClock
    ) -> None:
        registry.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        registry.read(5, is_whole=True, was_lost=True)
        assert registry.states() == {'u': VmState.LIVE}
        clock.advance(1000)
        registry.read(6, StoreRow('u', 6, 'live'))
        clock.advance(3000)
        registry.apply_pending_removals()
        assert registry.states() == {'u': VmState.LIVE}

    def test_entries_that_do_not_return_are_removed(
        self, registry: DecodingRegistry, clock: FakeClock
    ) -> None:
        registry.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        registry.read(5, is_whole=True, was_lost=True)
        clock.advance(2400)
        registry.apply_pending_removals()
        assert registry.states() == {}

    def test_removals_long_after_the_end_of_an_outage_apply_at_once(
        self, registry: DecodingRegistry, clock: FakeClock
    ) -> None:
        """Guard against taking this daemon's next read for the end.

        Other daemons had read for long; calls reached upstreams that were gone.
        """
        registry.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        registry.read(5, is_whole=True, lost_until=clock.now() - 2400)
        assert registry.states() == {}

    def test_the_end_of_an_earlier_outage_shortens_no_grace_period(
        self, registry: DecodingRegistry, clock: FakeClock
    ) -> None:
        registry.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        registry.read(5, is_whole=True, lost_until=clock.now())
        registry.read(5, is_whole=True, lost_until=clock.now() - 2400)
        assert registry.states() == {'u': VmState.LIVE}

    def test_revision_does_not_advance_past_pending_removals(
        self, registry: DecodingRegistry, clock: FakeClock
    ) -> None:
        """Otherwise, a lagging peer would keep the entry forever."""
        registry.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        registry.read(5, is_whole=True, was_lost=True)
        assert registry.revision < 5
        clock.advance(2400)
        registry.apply_pending_removals()
        assert registry.revision == 5
        assert [one.text for one in registry.newer_than(1)] == ['']


def pull(taker: DecodingRegistry, giver: DecodingRegistry) -> None:
    """Send a daemon what is newer than its revision."""
    if giver.revision > taker.revision:
        taker.offer_all(giver.newer_than(taker.revision))
        taker.advance(giver.revision)


class TestKeysOfARead:
    """A reader that restarted knows no tombstone of an earlier removal."""

    @pytest.fixture
    def peer(self, clock: FakeClock) -> DecodingRegistry:
        """A daemon that missed the removal of one of two upstreams."""
        peer = DecodingRegistry(clock)
        peer.read(4, StoreRow('kept', 3, 'live'), StoreRow('gone', 4, 'live'))
        return peer

    def test_removal_reaches_a_peer_that_a_restarted_reader_updated(
        self, registry: DecodingRegistry, peer: DecodingRegistry
    ) -> None:
        """The peer got the reader's revision and kept the upstream."""
        registry.read(9, StoreRow('kept', 3, 'live'), is_whole=True)
        pull(peer, registry)
        assert set(peer.states()) == {'kept'}

    def test_removal_passes_through_the_log_of_an_older_release(
        self, registry: DecodingRegistry, peer: DecodingRegistry
    ) -> None:
        registry.read(9, StoreRow('kept', 3, 'live'), is_whole=True)
        entries = {one.service: one for one in registry.newer_than(4)}
        assert [one.text for one in entries.values()] == ['']
        peer.offer_all(entries.values())
        assert set(peer.states()) == {'kept'}

    def test_upstream_that_joined_after_the_read_stays(
        self, registry: DecodingRegistry, peer: DecodingRegistry
    ) -> None:
        peer.read(12, StoreRow('joined', 12, 'live'))
        registry.read(9, StoreRow('kept', 3, 'live'), is_whole=True)
        peer.offer_all(registry.newer_than(4))
        assert set(peer.states()) == {'kept', 'joined'}

    def test_keys_are_not_shared_while_entries_may_return(
        self,
        clock: FakeClock,
        registry: DecodingRegistry,
        peer: DecodingRegistry,
    ) -> None:
        """Peers removed at once what was registered again after an outage."""
        kept = StoreRow('kept', 3, 'live')
        registry.read(9, kept, is_whole=True, was_lost=True)
        pull(peer, registry)
        assert set(peer.states()) == {'kept', 'gone'}
        clock.advance(2300)
        registry.read(11, StoreRow('kept', 11, 'live'))
        pull(peer, registry)
        assert set(peer.states()) == {'kept'}

    def test_restarted_reader_gives_what_a_copy_lacks_time_to_return(
        self,
        clock: FakeClock,
        registry: DecodingRegistry,
        peer: DecodingRegistry,
    ) -> None:
        """The reader does not know that the store was restored."""
        kept = StoreRow('kept', combine_era(2, 3), 'live')
        registry.read(combine_era(2, 3), kept, is_whole=True)
        clock.advance(2200)
        kept = kept._replace(revision=combine_era(2, 4))
        registry.read(combine_era(2, 4), kept)
        pull(peer, registry)
        assert set(peer.states()) == {'kept', 'gone'}
        clock.advance(100)
        kept = kept._replace(revision=combine_era(2, 5))
        registry.read(combine_era(2, 5), kept)
        pull(peer, registry)
        assert set(peer.states()) == {'kept'}

    @pytest.fixture
    def lagging(self, clock: FakeClock) -> DecodingRegistry:
        """A daemon that missed a removal in a store that sends its era."""
        lagging = DecodingRegistry(clock)
        lagging.read(
            combine_era(1, 4),
            StoreRow('kept', combine_era(1, 3), 'live'),
            StoreRow('gone', combine_era(1, 4), 'live'),
        )
        return lagging

    def read_whole(self, registry: DecodingRegistry) -> None:
        """Let a restarted reader read all rows after the removal."""
        kept = StoreRow('kept', combine_era(1, 3), 'live')
        registry.read(combine_era(1, 9), kept, is_whole=True)

    def test_removal_reaches_a_peer_with_the_first_read_of_an_era(
        self, registry: DecodingRegistry, lagging: DecodingRegistry
    ) -> None:
        """The peer sent calls to the upstream for another 2.3 s and more."""
        self.read_whole(registry)
        pull(lagging, registry)
        assert set(lagging.states()) == {'kept'}

    def test_removed_upstream_does_not_return_through_a_lagging_peer(
        self, registry: DecodingRegistry, lagging: DecodingRegistry
    ) -> None:
        """The peer's entry was on its way while the reader read all rows."""
        self.read_whole(registry)
        registry.offer_all(lagging.newer_than(0))
        assert set(registry.states()) == {'kept'}
        started = DecodingRegistry(registry.clock)
        pull(started, registry)
        started.offer_all(lagging.newer_than(0))
        assert set(started.states()) == {'kept'}

    def test_upstream_that_registers_again_after_the_read_is_used(
        self, registry: DecodingRegistry, lagging: DecodingRegistry
    ) -> None:
        self.read_whole(registry)
        pull(lagging, registry)
        again = StoreRow('gone', combine_era(1, 10), 'live')
        registry.read(combine_era(1, 10), again)
        pull(lagging, registry)
        assert set(registry.states()) == {'kept', 'gone'}
        assert set(lagging.states()) == {'kept', 'gone'}

    def test_first_read_removes_nothing_while_the_store_is_reported_lost(
        self,
        clock: FakeClock,
        registry: DecodingRegistry,
        lagging: DecodingRegistry,
    ) -> None:
        """A restarted reader does not know that entries lapsed in an outage."""
        reports = GossipTable(STORE_LOST_TABLE, clock)
        reports.put('reader', 'lost', 5000)
        lagging.shared_keys.lost_reports = reports
        self.read_whole(registry)
        pull(lagging, registry)
        assert set(lagging.states()) == {'kept', 'gone'}
        clock.advance(2300)
        kept = StoreRow('kept', combine_era(1, 10), 'live')
        registry.read(combine_era(1, 10), kept)
        pull(lagging, registry)
        assert set(lagging.states()) == {'kept'}

    @pytest.fixture
    def silence(
        self, clock: FakeClock, lagging: DecodingRegistry
    ) -> StoreSilence:
        """Let the lagging daemon know when others read the store."""
        lagging.shared_keys.lost_reports = GossipTable(STORE_LOST_TABLE, clock)
        lagging.shared_keys.silence = StoreSilence(clock)
        return lagging.shared_keys.silence

    def test_removal_reaches_a_peer_while_another_daemon_is_cut_off(
        self,
        clock: FakeClock,
        registry: DecodingRegistry,
        lagging: DecodingRegistry,
        silence: StoreSilence,
    ) -> None:
        """Guard against reports of a lost store that hide removals.

        The report of a daemon that is cut off lives as long as the cut.
        """
        reports = lagging.shared_keys.lost_reports
        assert reports is not None
        for _ in range(10):
            clock.advance(300)
            silence.record_reading()
            reports.put('other', 'lost', 5000)
        self.read_whole(registry)
        pull(lagging, registry)
        assert set(lagging.states()) == {'kept'}

    def test_first_read_removes_nothing_just_after_an_outage(
        self,
        clock: FakeClock,
        registry: DecodingRegistry,
        lagging: DecodingRegistry,
        silence: StoreSilence,
    ) -> None:
        reports = lagging.shared_keys.lost_reports
        assert reports is not None
        silence.record_reading()
        reports.put('other', 'lost', 5000)
        clock.advance(3000)
        silence.record_reading()
        clock.advance(1000)
        self.read_whole(registry)
        pull(lagging, registry)
        assert set(lagging.states()) == {'kept', 'gone'}

    def test_unreadable_keys_remove_nothing(
        self, peer: DecodingRegistry
    ) -> None:
        entry = make_whole_read(9, (), 0)
        peer.offer_all([entry._replace(author='{"kept": 1}')])
        assert set(peer.states()) == {'kept', 'gone'}
