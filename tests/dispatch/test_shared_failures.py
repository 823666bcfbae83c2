"""Evidence of failing upstreams that daemons pass to each other."""

from cowslippond_core import FAILURE_TABLE, SharedFailures
from cowslippond_core._failures import Evidence, FailureShare
from cowslippond_core._gossip_table import GossipRow, GossipTable
from fakes import FakeClock

HALF_LIFE = 2000
LIFE = 3000


class StandInUpstream:
    def __init__(self, address: str) -> None:
        self.address = address
        self.failures = FailureShare()


class StandInDaemon:
    """A daemon that tells others what it has seen of two upstreams."""

    def __init__(self, name: str, clock: FakeClock) -> None:
        self.upstreams = (StandInUpstream('u1'), StandInUpstream('u2'))
        self.table = GossipTable(FAILURE_TABLE, clock)
        self.shared = SharedFailures(
            self.table, name, lambda: self.upstreams, clock
        )
        self.shared.publish()

    def share(self, index: int, now: float) -> float:
        return self.upstreams[index].failures.share(now)


def pass_rows(teller: StandInDaemon, hearer: StandInDaemon) -> int:
    """Pass on all rows; return how many were news."""
    return sum(hearer.table.merge(row) for row in teller.table.rows())


class TestSharedFailures:
    def test_failures_count_where_no_call_has_failed_yet(self) -> None:
        """Each daemon had to see failures for itself, which took seconds."""
        clock = FakeClock(1000)
        one, other = StandInDaemon('a', clock), StandInDaemon('b', clock)
        for _ in range(3):
            one.upstreams[0].failures.note(clock.now(), is_failure=True)
        one.shared.publish()
        assert pass_rows(one, other) == 1
        assert other.share(0, clock.now()) * 2 > 1
        assert not other.share(1, clock.now())

    def test_a_row_replaces_what_its_teller_told_before(self) -> None:
        clock = FakeClock(1000)
        one, other = StandInDaemon('a', clock), StandInDaemon('b', clock)
        shares = []
        for _ in range(3):
            one.upstreams[0].failures.note(clock.now(), is_failure=True)
            one.shared.publish()
            pass_rows(one, other)
            shares.append(other.share(0, clock.now()))
        alone = FailureShare()
        alone.hear('a', one.upstreams[0].failures.own(clock.now()), 1000)
        assert shares[-1] == alone.share(clock.now())

    def test_good_answers_of_others_count_as_well(self) -> None:
        clock = FakeClock(1000)
        one, other = StandInDaemon('a', clock), StandInDaemon('b', clock)
        one.upstreams[0].failures.note(clock.now(), is_failure=True)
        one.shared.publish()
        pass_rows(one, other)
        before = other.share(0, clock.now())
        for _ in range(5):
            one.upstreams[0].failures.note(clock.now(), is_failure=False)
        one.shared.publish()
        pass_rows(one, other)
        assert other.share(0, clock.now()) < before / 2

    def test_nothing_is_told_of_upstreams_that_answer(self) -> None:
        clock = FakeClock(1000)
        one = StandInDaemon('a', clock)
        for _ in range(5):
            one.upstreams[0].failures.note(clock.now(), is_failure=False)
        one.shared.publish()
        assert not one.table.rows()

    def test_what_was_told_is_forgotten(self) -> None:
        clock = FakeClock(1000)
        one, other = StandInDaemon('a', clock), StandInDaemon('b', clock)
        one.upstreams[0].failures.note(clock.now(), is_failure=True)
        one.shared.publish()
        pass_rows(one, other)
        before = other.share(0, clock.now())
        clock.current += 5 * HALF_LIFE
        assert other.share(0, clock.now()) < before / 10
        other.upstreams[0].failures.hear('c', Evidence(), clock.now())
        assert set(other.upstreams[0].failures.heard) == {'c'}

    def test_rows_that_say_nothing_are_passed_over(self) -> None:
        clock = FakeClock(1000)
        other = StandInDaemon('b', clock)
        for number, text in enumerate(('', '1', 'a b', '1 2 3')):
            other.table.merge(GossipRow('u1 a', text, 1000 + number, LIFE))
        other.table.merge(GossipRow('u9 a', '1 1', 1000, LIFE))
        other.table.merge(GossipRow('u2', '1 1', 1000, LIFE))
        assert not other.share(0, clock.now())

    def test_news_is_heard_after_the_tellers_clock_was_set_back(self) -> None:
        clock, teller_clock = FakeClock(9_000_000), SteppedClock(9_000_000)
        one, other = StandInDaemon('a', teller_clock), StandInDaemon('b', clock)
        for step in (0, -2_400_000):
            teller_clock.step = step
            one.upstreams[0].failures.note(clock.now(), is_failure=True)
            one.shared.publish()
            assert pass_rows(one, other) == 1
        assert other.share(0, clock.now()) * 2 > 1


class SteppedClock(FakeClock):
    """Its time of day was set; the steady clock goes on."""

    step = 0

    def wall(self) -> int:
        return super().wall() + self.step
