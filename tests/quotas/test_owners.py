"""Which daemons own shares of a quota."""

from collections import Counter
from types import MappingProxyType

from cowslippond_core.quotas._owners import DaemonList, is_chosen

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
