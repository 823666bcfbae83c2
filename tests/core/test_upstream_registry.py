"""Entries of upstreams from the store and from peers."""

import pytest
from cowslippond_core import (
    StoreRow,
    StoreRows,
    UpstreamRegistry,
    Vm,
    VmState,
)
from cowslippond_core._document import AcceptedDocument
from fakes import FakeClock


def decode(key: str, text: str) -> Vm | None:
    if text == 'broken':
        return None
    return Vm(key, '1', 'a', VmState(text), 's', f'{key}:1')


class Book(UpstreamRegistry):
    def __init__(self, clock: FakeClock) -> None:
        super().__init__(clock, decode)

    def read(
        self,
        revision: int,
        *rows: StoreRow,
        is_whole: bool = False,
        was_lost: bool = False,
    ) -> None:
        self.apply_rows(StoreRows(rows, revision), is_whole, was_lost, 0)

    def states(self) -> dict[str, VmState]:
        return {vm.name: vm.state for vm in self.vms()}


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(1_000_000)


@pytest.fixture
def book(clock: FakeClock) -> Book:
    return Book(clock)


class TestTake:
    def test_an_older_entry_never_replaces_a_newer_one(
        self, book: Book
    ) -> None:
        book.read(9, StoreRow('u', 9, 'leaving'))
        book.offer(AcceptedDocument('u', 7, 7, 'live', '', 0))
        assert book.states() == {'u': VmState.LEAVING}

    def test_a_removal_counts_at_once_while_the_store_is_sound(
        self, book: Book
    ) -> None:
        book.read(1, StoreRow('u', 1, 'live'))
        book.read(2, StoreRow('u', 2, None))
        assert book.states() == {}

    def test_an_entry_that_cannot_be_read_hides_no_other(
        self, book: Book
    ) -> None:
        book.read(2, StoreRow('u', 1, 'live'), StoreRow('x', 2, 'broken'))
        assert book.states() == {'u': VmState.LIVE}

    def test_what_is_read_is_passed_on(self, book: Book) -> None:
        book.read(1, StoreRow('u', 1, 'live'))
        assert [one.service for one in book.newer_than(0)] == ['u']
        assert book.revision == 1


class TestAfterAnOutage:
    """An outage made upstreams that lived vanish for every caller."""

    def test_entries_that_lapsed_have_time_to_come_back(
        self, book: Book, clock: FakeClock
    ) -> None:
        book.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        book.read(5, is_whole=True, was_lost=True)
        assert book.states() == {'u': VmState.LIVE}
        clock.advance(1000)
        book.read(6, StoreRow('u', 6, 'live'))
        clock.advance(3000)
        book.apply_pending_removals()
        assert book.states() == {'u': VmState.LIVE}

    def test_entries_that_stay_away_are_gone(
        self, book: Book, clock: FakeClock
    ) -> None:
        book.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        book.read(5, is_whole=True, was_lost=True)
        clock.advance(2400)
        book.apply_pending_removals()
        assert book.states() == {}

    def test_peers_are_not_told_that_nothing_is_missing_meanwhile(
        self, book: Book, clock: FakeClock
    ) -> None:
        """A peer that lags would keep the entry for ever."""
        book.read(1, StoreRow('u', 1, 'live'), is_whole=True)
        book.read(5, is_whole=True, was_lost=True)
        assert book.revision < 5
        clock.advance(2400)
        book.apply_pending_removals()
        assert book.revision == 5
        assert [one.text for one in book.newer_than(1)] == ['']
