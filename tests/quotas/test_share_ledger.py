"""What the owner of a share grants."""

from types import MappingProxyType

import pytest
from cowslippond_core.quotas import QuotaBounds
from cowslippond_core.quotas._owners import SETTLE_TIME, Ownership
from cowslippond_core.quotas._share_ledger import ShareLedger
from cowslippond_core.workspaces import Workspace

OWN = '10.0.0.1:7000'
EPOCH = 7
EXACT = QuotaBounds(5000, 0, 0)
LIMITS = MappingProxyType({'shop': Workspace('shop', 0, 10, 10)})


def make_ledger(
    domains: dict[str, str] | None = None, size: int = 1
) -> ShareLedger:
    ownership = Ownership(OWN, 0)
    ownership.update(domains or {OWN: 'a'}, size, (), 0)
    return ShareLedger(ownership, lambda name: LIMITS.get(name), EXACT, EPOCH)


def take_all(ledger: ShareLedger, now: float, name: str = 'shop') -> int:
    granted = 0
    while ledger.answer(1, name, 0, now).granted:
        granted += 1
    return granted


class TestShareLedger:
    def test_new_owner_grants_nothing_until_it_has_settled(self) -> None:
        """A daemon that it displaces may not know of it yet."""
        ledger = make_ledger()
        assert ledger.answer(1, 'shop', 0, SETTLE_TIME - 1).epoch == 0

    def test_bucket_of_a_new_owner_starts_empty(self) -> None:
        """An earlier run of the same daemon may have granted all of it."""
        ledger = make_ledger()
        assert take_all(ledger, SETTLE_TIME) == 0
        assert take_all(ledger, SETTLE_TIME + 200) == 2

    def test_bucket_of_an_idle_workspace_is_full_on_first_use(self) -> None:
        assert take_all(make_ledger(), SETTLE_TIME + 9000) == 10

    def test_owners_of_a_first_start_need_not_settle(self) -> None:
        ledger = make_ledger()
        ledger.ownership.is_first_until = 3000
        assert take_all(ledger, 500) == 5

    def test_share_is_smaller_while_daemons_are_missing(self) -> None:
        """Both sides of a partition granted the whole rate."""
        ledger = make_ledger(size=2)
        assert take_all(ledger, 60_000) == 5

    def test_announced_departures_do_not_lower_the_share(self) -> None:
        other = '10.0.0.2:7000'
        ledger = make_ledger({OWN: 'a', other: 'b'}, 2)
        ledger.ownership.update({OWN: 'a'}, 2, (other,), 1000)
        assert take_all(ledger, 60_000) == 10

    def test_daemons_that_were_replaced_still_count_in_a_partition(
        self,
    ) -> None:
        """A rolling replacement made a fleet look as small as its half."""
        fleet = {f'10.0.1.{number}:7000': 'a' for number in range(4)}
        ledger = make_ledger({OWN: 'a', **fleet}, 5)
        ownership = ledger.ownership
        for number in range(4):
            old = f'10.0.1.{number}:7000'
            fleet.pop(old)
            fleet[f'10.0.2.{number}:7000'] = 'a'
            ownership.update({OWN: 'a', **fleet}, 6, (old,), 1000)
            ownership.update({OWN: 'a', **fleet}, 5, (), 2000)
        assert ownership.supposed_size() == 5
        ownership.update({OWN: 'a'}, 1, (), 3000)
        assert ownership.completeness() == pytest.approx(1 / 5)

    def test_lowered_limit_applies_at_once(self) -> None:
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        ledger.answer(1, 'shop', 0, now)
        lowered = {'shop': Workspace('shop', 0, 2, 2)}
        ledger.find_workspace = lambda name: lowered.get(name)
        assert take_all(ledger, now) == 2

    def test_unused_tokens_never_raise_the_bucket_above_its_capacity(
        self,
    ) -> None:
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        ledger.answer(1, 'shop', 0, now)
        ledger.put_back('shop', 60, EPOCH)
        assert take_all(ledger, now) == 10

    def test_tokens_of_an_earlier_run_are_not_taken_back(self) -> None:
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        take_all(ledger, now)
        ledger.put_back('shop', 3, EPOCH + 1)
        assert take_all(ledger, now) == 0

    def test_tokens_ahead_of_need_are_granted_only_from_plenty(self) -> None:
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        assert ledger.answer(1, 'shop', 60, now).granted == 6
        assert ledger.answer(2, 'shop', 60, now).granted == 1

    def test_refused_daemons_are_told_to_return_one_after_the_other(
        self,
    ) -> None:
        """All daemons together asked the owner for every call of a flood."""
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        take_all(ledger, now)
        waits = [ledger.answer(1, 'shop', 0, now).wait for _ in range(5)]
        assert waits == [200, 300, 400, 500, 600]

    @pytest.mark.parametrize('name', ['unknown', 'unlimited'])
    def test_nothing_is_kept_for_workspaces_without_a_limit(
        self, name: str
    ) -> None:
        ledger = make_ledger()
        limits = {'unlimited': Workspace('unlimited', 0)}
        ledger.find_workspace = lambda asked: limits.get(asked)
        assert ledger.answer(1, name, 0, 60_000).epoch == 0
        assert not ledger.shares

    def test_idle_and_removed_workspaces_are_forgotten(self) -> None:
        ledger = make_ledger()
        ledger.answer(1, 'shop', 0, 20_000)
        ledger.sweep(29_000)
        assert ledger.shares
        ledger.sweep(31_000)
        assert not ledger.shares
        ledger.answer(1, 'shop', 0, 40_000)
        ledger.find_workspace = lambda name: None
        ledger.sweep(50_000)
        assert ledger.shares
        ledger.sweep(50_001)
        assert not ledger.shares

    def test_workspace_that_returns_has_no_second_burst(self) -> None:
        """Two reloads in quick succession filled the bucket again."""
        ledger = make_ledger()
        now = SETTLE_TIME + 9000
        assert take_all(ledger, now) == 10
        find_workspace = ledger.find_workspace
        ledger.find_workspace = lambda name: None
        ledger.sweep(now + 200)
        assert not ledger.answer(1, 'shop', 0, now + 200).granted
        ledger.find_workspace = find_workspace
        assert take_all(ledger, now + 400) == 4
