"""Rows that are passed on: the later write wins, and all is bounded."""

import pytest
from cowslippond_core import GossipRow, GossipTable
from fakes import FakeClock
from hypothesis import given
from hypothesis import strategies as st

ROWS = st.builds(
    GossipRow,
    st.sampled_from(['a', 'b']),
    st.sampled_from(['x', 'y', 'z']),
    st.integers(0, 4),
    st.just(1000),
)


class TestMerge:
    @given(rows=st.permutations(range(6)), told=st.lists(ROWS, max_size=6))
    def test_every_order_ends_in_the_same_rows(self, rows, told):
        here, there = (
            GossipTable('t', FakeClock()),
            GossipTable('t', FakeClock()),
        )
        for row in told:
            here.merge(row)
        for index in rows:
            if index < len(told):
                there.merge(told[index])

        assert sorted(here.rows()) == sorted(there.rows())

    def test_a_write_wins_over_a_row_of_a_clock_that_runs_ahead(self):
        table = GossipTable('t', FakeClock(1000))
        table.merge(GossipRow('key', 'ahead', 3_600_000, 1000))
        table.put('key', 'written', 1000)

        assert table.text_of('key') == 'written'

    def test_a_row_expires_and_is_forgotten(self):
        clock = FakeClock()
        table = GossipTable('t', clock)
        table.put('key', 'text', 100)
        clock.current += 100

        assert table.text_of('key') is None
        assert not table.rows()
        table.drop_expired()
        assert not table.stored

    def test_a_row_that_is_passed_on_lives_no_longer(self):
        clock = FakeClock()
        table, other = GossipTable('t', clock), GossipTable('t', clock)
        table.put('key', 'text', 100)
        clock.current += 60
        other.merge(table.rows()[0])
        clock.current += 40

        assert other.text_of('key') is None


class TestBounds:
    def test_the_row_written_longest_ago_goes(self):
        table = GossipTable('t', FakeClock(), capacity=2)
        for key in ('a', 'b', 'c'):
            table.put(key, '', 1000)

        assert [row.key for row in table.rows()] == ['b', 'c']

    @pytest.mark.parametrize(
        'row',
        [
            GossipRow('key', 'x' * 1000, 1, 1000),
            GossipRow('key', 'from the far future', 2**63 - 1, 1000),
            GossipRow('key', 'expired', 1, 0),
        ],
    )
    def test_an_implausible_row_is_refused(self, row):
        assert not GossipTable('t', FakeClock()).merge(row)

    def test_news_is_sent_a_few_times_and_the_rest_in_turn(self):
        table = GossipTable('t', FakeClock(), sends=2)
        for key in 'abcdef':
            table.put(key, '', 1000)
        news = [table.next_rows(3, 0) for _ in range(4)]
        assert all(len(rows) == 3 for rows in news)
        assert not table.next_rows(3, 0)

        in_turn = [table.next_rows(3, 2) for _ in range(3)]
        assert {row.key for rows in in_turn for row in rows} == set('abcdef')

    def test_news_that_expires_before_it_is_sent_is_left_out(self):
        """A daemon ended by itself when a row expired that was still news."""
        clock = FakeClock(1000)
        table = GossipTable('t', clock)
        table.merge(GossipRow('short', '', 1, 10))
        clock.advance(20)

        assert table.next_rows(9, 9) == []
