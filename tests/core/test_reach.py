"""Telling a daemon without a path to its upstreams from failing upstreams."""

from collections.abc import Sequence

import pytest
from cowslippond_core._reach import ServiceReach

DOMAINS = ('north', 'east', 'south')


def make_reach(count: int, domains: Sequence[str] = ('north',)) -> ServiceReach:
    """Return the reach of upstreams that are in failure domains in turn."""
    by_address = {
        f'u{number}': domains[number % len(domains)] for number in range(count)
    }
    return ServiceReach(lambda: by_address, 'shop')


def fail(reach: ServiceReach, numbers: range) -> None:
    for number in numbers:
        reach.record_silence(f'u{number}')


class TestServiceReach:
    def test_some_failing_upstreams_are_no_cut(self) -> None:
        """The loss of one failure domain sent calls through peers."""
        reach = make_reach(12)
        fail(reach, range(4))
        reach.record_answer(is_new_connection=False)
        fail(reach, range(3))
        assert not reach.is_cut(needs_connection=True)

    def test_a_lost_failure_domain_is_no_cut(self) -> None:
        """Its daemons refused calls beside idle upstreams of other domains.

        Upstreams of a daemon's own domain are tried first, so that many fail
        before one of another domain answers.
        """
        reach = make_reach(30, DOMAINS)
        fail(reach, range(0, 30, 3))
        assert not reach.is_cut(needs_connection=True)
        fail(reach, range(1, 30, 3))
        assert not reach.is_cut(needs_connection=True)
        fail(reach, range(2, 3))
        assert reach.is_cut(needs_connection=False)

    @pytest.mark.parametrize('count', [1, 2, 3, 16])
    def test_silence_of_all_is_a_cut_until_one_answers(
        self, count: int
    ) -> None:
        reach = make_reach(count)
        fail(reach, range(count))
        fail(reach, range(count))
        fail(reach, range(count))
        assert reach.is_cut(needs_connection=False)
        reach.record_answer(is_new_connection=False)
        assert not reach.is_cut(needs_connection=False)

    def test_one_lost_answer_of_a_single_upstream_is_no_cut(self) -> None:
        reach = make_reach(1)
        fail(reach, range(1))
        assert not reach.is_cut(needs_connection=True)

    def test_open_connections_that_work_hide_no_refused_ones(self) -> None:
        """Orders, which need a new connection, were refused everywhere."""
        reach = make_reach(6)
        for number in range(6):
            reach.record_connect_failure(
                f'u{number}', has_open_connections=True
            )
            reach.record_answer(is_new_connection=False)
        assert reach.is_cut(needs_connection=True)
        assert not reach.is_cut(needs_connection=False)

    def test_service_without_upstreams_is_not_cut(self) -> None:
        """Peers were asked for calls that no daemon could serve."""
        reach = ServiceReach(dict, 'shop')
        fail(reach, range(4))
        assert not reach.is_cut(needs_connection=True)

    def test_upstreams_that_were_removed_do_not_count(self) -> None:
        domains = dict.fromkeys(('u0', 'u1', 'u2', 'u3'), 'north')
        reach = ServiceReach(lambda: domains, 'shop')
        fail(reach, range(3))
        for number in range(3):
            domains.pop(f'u{number}')
            domains[f'v{number}'] = 'north'
        fail(reach, range(3, 4))
        assert not reach.is_cut(needs_connection=True)
