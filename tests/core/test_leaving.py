"""Tests that leaving marks apply to one incarnation of an address."""

from cowslippond_core import (
    GossipTable,
    LeavingMarks,
    LeavingSource,
    Vm,
    VmState,
)
from cowslippond_core._leaving import RETENTION
from fakes import FakeClock

ADDRESS = '10.0.0.1:80'


def make_leaving(clock: FakeClock | None = None) -> LeavingMarks:
    clock = clock or FakeClock()
    return LeavingMarks(clock, GossipTable('leaving', clock))


def listed(incarnation: str, state: VmState = VmState.LIVE) -> list[Vm]:
    return [Vm('till-1', incarnation, 'north', state, 'till', ADDRESS, '')]


class TestMark:
    def test_a_mark_is_valid_until_a_new_incarnation_is_listed(self):
        leaving = make_leaving()
        leaving.apply_list(listed('1'))
        leaving.mark(ADDRESS, LeavingSource.ANSWER)
        assert leaving.is_leaving(ADDRESS)

        leaving.apply_list(listed('1'))
        assert leaving.is_leaving(ADDRESS)

        leaving.apply_list(listed('2'))
        assert not leaving.is_leaving(ADDRESS)

    def test_a_stale_list_does_not_remove_a_mark(self):
        leaving = make_leaving()
        leaving.apply_list(listed('1'))
        leaving.mark(ADDRESS, LeavingSource.ANSWER)
        leaving.apply_list([])
        leaving.apply_list(listed('1'))

        assert leaving.is_leaving(ADDRESS)

    def test_a_leaving_vm_on_the_list_is_marked(self):
        leaving = make_leaving()
        leaving.apply_list(listed('1', VmState.LEAVING))

        assert leaving.is_leaving(ADDRESS)
        assert leaving.counts[LeavingSource.VM_LIST] == 1

    def test_a_mark_without_a_list_applies_to_the_first_incarnation_listed(
        self,
    ):
        leaving = make_leaving()
        leaving.mark(ADDRESS, LeavingSource.ANSWER)
        assert leaving.is_leaving(ADDRESS)

        leaving.apply_list(listed('1'))
        assert leaving.is_leaving(ADDRESS)
        leaving.apply_list(listed('2'))
        assert not leaving.is_leaving(ADDRESS)

    def test_a_mark_expires_after_its_address_leaves_the_list(self):
        clock = FakeClock()
        leaving = make_leaving(clock)
        leaving.apply_list(listed('1', VmState.LEAVING))
        leaving.apply_list([])
        clock.current += RETENTION + 1
        leaving.apply_list([])

        assert not leaving.marks
        assert not leaving.incarnations


class TestPeers:
    def test_a_mark_from_a_newer_list_applies_once_that_list_arrives(self):
        ahead, behind = make_leaving(), make_leaving()
        ahead.apply_list(listed('2', VmState.LEAVING))
        behind.apply_list(listed('1'))

        for row in ahead.table.rows():
            behind.table.merge(row)
        assert not behind.is_leaving(ADDRESS)

        behind.apply_list(listed('2'))
        assert behind.is_leaving(ADDRESS)

    def test_a_mark_from_an_older_list_does_not_apply_to_the_new_vm(self):
        behind, ahead = make_leaving(), make_leaving()
        behind.apply_list(listed('1', VmState.LEAVING))
        ahead.apply_list(listed('2'))

        for row in behind.table.rows():
            ahead.table.merge(row)

        assert not ahead.is_leaving(ADDRESS)
