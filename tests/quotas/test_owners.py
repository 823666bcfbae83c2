"""Which daemons own shares of a quota."""

import random
from collections import Counter
from types import MappingProxyType

import pytest
from cowslippond_core.quotas import QuotaBounds
from cowslippond_core.quotas._owners import DaemonList, Ownership, is_chosen
from cowslippond_core.workspaces import Workspace

FLEET = MappingProxyType(
    {f'10.0.0.{number}:7000': 'abc'[number % 3] for number in range(30)}
)


class TestDaemonList:
    def test_all_daemons_choose_the_same_owners_in_any_order(self) -> None:
        backwards = dict(reversed(FLEET.items()))
        assert DaemonList(FLEET).owners('shop', 169) == DaemonList(
            backwards
        ).owners('shop', 169)

    def test_owners_are_spread_over_failure_domains(self) -> None:
        """The loss of a domain cost most shares of some workspaces."""
        daemons = DaemonList(FLEET)
        for number in range(50):
            owners = daemons.owners(f'w{number}', 169)
            domains = Counter(FLEET[owner] for owner in owners)
            assert domains == {'a': 3, 'b': 3, 'c': 3}

    def test_daemon_that_joins_changes_at_most_one_owner(self) -> None:
        before = DaemonList(FLEET)
        after = DaemonList({**FLEET, '10.0.0.99:7000': 'a'})
        changes = [
            len(
                set(before.owners(f'w{number}', 1))
                - set(after.owners(f'w{number}', 1))
            )
            for number in range(100)
        ]
        assert max(changes) == 1
        assert sum(changes) < 20

    def test_small_fleets_have_as_many_owners_as_daemons(self) -> None:
        assert DaemonList({}).owners('shop', 1) == ()
        assert DaemonList({'x:1': ''}).owners('shop', 169) == ('x:1',)

    def test_share_of_daemons_that_are_chosen_is_kept(self) -> None:
        chosen = sum(is_chosen('shop', address, 0.2) for address in FLEET)
        assert 1 <= chosen <= 12
        assert not any(is_chosen('shop', address, 0) for address in FLEET)


def granted_part(
    name: str, rate: float, lack: int, rng: random.Random
) -> float:
    """Return the part of a quota that all daemons of a fleet grant together.

    :param lack: how many of the daemons each daemon's list lacks.
    """
    bounds = QuotaBounds(5000, 0.1, 20)
    excess = bounds.share_excess(Workspace(name, 0, rate, rate))
    part: float = 0
    for own in FLEET:
        listed = {own, *rng.sample(list(FLEET), len(FLEET) - lack)}
        ownership = Ownership(own, 0)
        domains = {address: FLEET[address] for address in listed}
        ownership.update(domains, len(FLEET), (), 0)
        if own in ownership.daemons.owners(name, rate):
            part += ownership.share(name, rate, excess)
    return part


class TestShares:
    @pytest.mark.parametrize(('rate', 'allowed'), [(1, 1.56), (169, 1.028)])
    @pytest.mark.parametrize('lack', [1, 3, 9, 15, 29])
    def test_daemons_that_lack_different_others_grant_no_more(
        self, rate: float, allowed: float, lack: int
    ) -> None:
        """12 and more daemons of 24 each granted a tenth of the quota."""
        rng = random.Random(lack)
        parts = [
            granted_part(f'w{number}', rate, lack, rng) for number in range(60)
        ]
        # The bound less calls without contact is 1.56 and 1.028 times the
        # tokens of a window.
        assert max(parts) <= allowed
        # The usual load is 1 / 1.6 of the quota.
        assert sum(parts) / len(parts) >= 1 / 1.6

    def test_lists_that_are_the_same_grant_the_quota(self) -> None:
        part = granted_part('shop', 169, 0, random.Random(1))
        assert part == pytest.approx(1)

    @pytest.mark.parametrize('size', [10, 20])
    def test_sides_of_a_partition_grant_in_proportion(self, size: int) -> None:
        """Daemons of one side lack the same others, so they need no margin."""
        part: float = 0
        side = dict(list(FLEET.items())[:size])
        for own in side:
            ownership = Ownership(own, 0)
            ownership.update(FLEET, len(FLEET), (), 0)
            ownership.update(side, size, (), 1000)
            if own in ownership.daemons.owners('shop', 169):
                part += ownership.share('shop', 169, 1)
        assert part == pytest.approx(size / len(FLEET))
