"""Telling a daemon without a path to its upstreams from failing upstreams."""

import pytest
from cowslippond_core._reach import ServiceReach


def make_reach(count: int) -> ServiceReach:
    addresses = [f'u{number}' for number in range(count)]
    return ServiceReach(lambda: addresses, 'shop')


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

    def test_upstreams_that_were_removed_do_not_count(self) -> None:
        addresses = {'u0', 'u1', 'u2', 'u3'}
        reach = ServiceReach(lambda: addresses, 'shop')
        fail(reach, range(3))
        addresses -= {'u0', 'u1', 'u2'}
        addresses |= {'v0', 'v1', 'v2'}
        fail(reach, range(3, 4))
        assert not reach.is_cut(needs_connection=True)
