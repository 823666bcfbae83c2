"""Daemons share the rate that a cold upstream tolerates."""

import itertools
import random

import pytest
from cold_fleet import BOUND, RATE, WARM_UP, ColdFleet, Fault
from cowslippond_core._gossip_table import GossipRow
from cowslippond_core._rate_limit import RateLimit
from cowslippond_core._warm_up import WARMTH_MAX_AGE

COLD_AT = 6000
COLD_UNTIL = COLD_AT + WARM_UP
ENDS_AT = 16_000
SEEDS = range(6)


def complete_lists(count: int) -> list[list[int]]:
    return [
        [other for other in range(count) if other != own]
        for own in range(count)
    ]


def make_fleet(
    seed: int,
    daemons: int = 136,
    *,
    call_rate: float = 60,
    lists: list[list[int]] | None = None,
    counts: list[int] | None = None,
    cold_spans: tuple[tuple[float, float], ...] = ((COLD_AT, COLD_UNTIL),),
    is_certain: bool = True,
) -> ColdFleet:
    return ColdFleet(
        seed,
        lists or complete_lists(daemons),
        counts or list(itertools.repeat(daemons, daemons)),
        call_rate,
        cold_spans,
        is_certain=is_certain,
    )


@pytest.mark.parametrize('seed', SEEDS)
class TestBoundOfAnySecond:
    @pytest.mark.parametrize('daemons', [18, 136, 313])
    def test_holds_when_an_upstream_turns_cold_while_it_serves(
        self, seed: int, daemons: int
    ) -> None:
        """Each daemon went on with what it knew, and the upstream crashed."""
        fleet = make_fleet(seed, daemons)
        fleet.run(ENDS_AT)
        assert fleet.count(3000, COLD_AT) >= 30 * 3
        assert fleet.busiest_second(COLD_AT, COLD_UNTIL) <= BOUND

    def test_holds_for_uncertain_daemons_with_many_calls(
        self, seed: int
    ) -> None:
        """Holders sent their saved calls together."""
        span = (COLD_AT, COLD_AT + 8000)
        fleet = make_fleet(
            seed, call_rate=600, cold_spans=(span,), is_certain=False
        )
        fleet.run(ENDS_AT)
        assert fleet.busiest_second(*span) <= BOUND
        later = fleet.busiest_second(COLD_AT + 1000, COLD_AT + 8000)
        assert 5 <= later <= BOUND / 2 + 1

    def test_upstream_gets_a_useful_part_of_the_rate(self, seed: int) -> None:
        """A cold upstream that gets no calls does not warm up."""
        fleet = make_fleet(
            seed, call_rate=300, cold_spans=((COLD_AT, COLD_AT + 8000),)
        )
        fleet.run(ENDS_AT)
        served = fleet.count(COLD_AT + 1500, COLD_AT + 8000) / 6.5
        assert served >= RATE

    def test_rate_returns_without_a_jump(self, seed: int) -> None:
        """All daemons sent their waiting calls in the same instant."""
        fleet = make_fleet(seed, call_rate=100)
        fleet.run(ENDS_AT)
        first = fleet.busiest_second(COLD_UNTIL, COLD_UNTIL + 1000)
        assert first <= 2 * BOUND
        assert fleet.count(ENDS_AT - 2000, ENDS_AT) >= 2 * 65

    def test_holds_with_incomplete_lists_of_daemons(self, seed: int) -> None:
        """Daemons that knew 20 others each took a part of the rate."""
        rng = random.Random(seed)
        lists = [rng.sample(full, 20) for full in complete_lists(136)]
        fleet = make_fleet(
            seed, lists=lists, cold_spans=((COLD_AT, COLD_AT + 9000),)
        )
        fleet.run(ENDS_AT)
        assert fleet.busiest_second(COLD_AT, COLD_AT + 9000) <= BOUND

    def test_holds_on_both_sides_of_a_partition(self, seed: int) -> None:
        """Both sides used the whole rate, as neither knew the other."""
        near = set(range(68))
        lists = [
            [other for other in full if (other in near) is (own in near)]
            for own, full in enumerate(complete_lists(136))
        ]
        fleet = make_fleet(
            seed,
            lists=lists,
            counts=list(itertools.repeat(68, 136)),
            cold_spans=((COLD_AT, COLD_AT + 9000),),
        )
        # They knew each other before.
        for daemon in fleet.daemons:
            daemon.limits.warm_ups.most_daemons = 136
        fleet.run(ENDS_AT)
        assert fleet.busiest_second(COLD_AT, COLD_AT + 9000) <= BOUND

    def test_holds_when_daemons_pause_and_restart(self, seed: int) -> None:
        """Paused daemons acted on readings from before their pause."""
        rng = random.Random(seed)
        faults = [
            Fault(
                rng.uniform(COLD_AT - 1500, COLD_AT + 7000),
                daemon,
                rng.uniform(200, 4000),
                is_restart=False,
            )
            for daemon in rng.sample(range(136), 60)
        ]
        faults += [
            Fault(rng.uniform(2000, COLD_AT + 5000), daemon, 400, True)
            for daemon in rng.sample(range(136), 3)
        ]
        fleet = make_fleet(seed, cold_spans=((COLD_AT, COLD_AT + 8000),))
        fleet.run(ENDS_AT, faults)
        assert fleet.busiest_second(COLD_AT, COLD_AT + 8000) <= BOUND

    def test_holds_while_the_whole_fleet_starts(self, seed: int) -> None:
        """Daemons that knew no other believed to hold the whole rate."""
        fleet = make_fleet(
            seed,
            lists=[[] for _ in range(136)],
            counts=list(itertools.repeat(24, 136)),
            cold_spans=((0, 9000),),
            is_certain=False,
        )
        for daemon in fleet.daemons:
            daemon.known = random.Random(seed).sample(range(136), 3)
        fleet.run(2800)
        full = complete_lists(136)
        for index, starting in enumerate(fleet.daemons):
            starting.known = full[index]
            fleet.counts[index] = 136
        fleet.run(9000)
        assert fleet.busiest_second(0, 9000) <= BOUND

    def test_holds_when_an_upstream_turns_cold_again_and_again(
        self, seed: int
    ) -> None:
        """The end of one warm-up left tokens for the next one."""
        spans = tuple((at, at + 900) for at in range(4000, 15_000, 1100))
        fleet = make_fleet(seed, cold_spans=spans)
        fleet.run(ENDS_AT)
        assert (
            max(fleet.busiest_second(start, end) for start, end in spans)
            <= BOUND
        )


class OneDaemon:
    """A daemon alone, which therefore holds a part of each rate."""

    def __init__(self) -> None:
        self.fleet = make_fleet(1, 1)
        self.daemon = self.fleet.daemons[0]
        self.state = self.daemon.state
        self.clock = self.fleet.clock
        self.clock.advance(2000)

    def read(self, remaining: float | None, age: float = 0) -> None:
        self.daemon.limits.warm_ups.record_reading(
            self.daemon.upstream, remaining, self.clock.now() - age
        )

    def tell(self, text: str, remaining: float = 3000) -> None:
        stamp = self.clock.wall()
        row = GossipRow('cold 10.9.0.1:80 1', text, stamp, remaining)
        self.daemon.table.merge(row)

    def may_send(self) -> bool:
        now = self.clock.now()
        wait = self.daemon.upstream.load_state.wait(0, now)
        return wait <= 0 and self.state.admits(now, WARMTH_MAX_AGE)


class TestReadings:
    def test_upstream_of_unknown_state_gets_no_call(self) -> None:
        """It may have returned cold with an entry from before."""
        one = OneDaemon()
        assert not one.may_send()
        one.read(0)
        assert one.may_send()

    def test_word_of_a_warm_upstream_is_valid_for_a_short_time(self) -> None:
        one = OneDaemon()
        one.read(0)
        one.clock.advance(WARMTH_MAX_AGE + 1)
        assert not one.may_send()

    def test_answer_that_was_requested_before_a_pause_is_old(self) -> None:
        """A daemon that had been paused took it for the present state."""
        one = OneDaemon()
        one.read(0, age=3000)
        assert not one.may_send()

    def test_answer_that_expired_during_a_pause_is_asked_again(self) -> None:
        """A daemon without a part refused the calls to a warm upstream."""
        one = OneDaemon()
        one.read(3000, age=10_000)
        assert not one.may_send()
        assert one.state.wait(0, one.clock.now()) == 0
        assert one.daemon.table.text_of('cold 10.9.0.1:80 1') is None
        one.read(0)
        assert one.may_send()

    def test_expired_answer_does_not_prolong_a_warm_up(self) -> None:
        one = OneDaemon()
        one.clock.advance(5000)
        one.read(500, age=5000)
        ends_at = one.state.cold_until
        one.clock.advance(100)
        one.read(500, age=5000)
        assert one.state.cold_until == ends_at

    def test_late_answer_does_not_replace_a_newer_one(self) -> None:
        one = OneDaemon()
        one.read(3000)
        one.read(0, age=50)
        assert one.state.is_cold(one.clock.now())

    def test_answer_that_does_not_say_keeps_an_upstream_cold(self) -> None:
        one = OneDaemon()
        one.read(3000)
        one.read(None)
        assert one.state.is_cold(one.clock.now())

    def test_answer_that_does_not_say_ends_what_was_only_presumed(
        self,
    ) -> None:
        """Warm upstreams of a domain stayed limited for 3 s after its evacuation.

        Their health answers have no header, as that of a warm one needs none.
        """
        one = OneDaemon()
        one.daemon.limits.warm_ups.presume([one.daemon.upstream])
        one.read(None, age=50)
        assert one.state.is_cold(one.clock.now())
        one.clock.advance(60)
        one.read(None)
        assert not one.state.is_cold(one.clock.now())
        assert one.may_send()

    def test_upstream_without_the_header_is_usable(self) -> None:
        one = OneDaemon()
        one.read(None)
        assert one.may_send()

    def test_cold_upstream_gets_a_call_a_second_from_a_daemon(self) -> None:
        one = OneDaemon()
        one.read(9000)
        sent = 0
        for _ in range(80):
            one.clock.advance(100)
            if one.may_send():
                one.daemon.upstream.load_state.record_grant(one.clock.now())
                sent += 1
        assert 6 <= sent <= 8

    def test_lower_one_of_limit_and_warm_up_holds(self) -> None:
        """Only the one that was checked last was counted."""
        one = OneDaemon()
        state = one.daemon.upstream.load_state
        one.read(20_000)
        now = one.clock.now()
        state.rate_limit = RateLimit(0.2, 0.2, now, now + 60_000)
        one.clock.advance(1500)
        assert not one.may_send()
        one.clock.advance(4000)
        assert one.may_send()
        state.record_grant(one.clock.now())
        one.clock.advance(1500)
        assert not one.may_send()

    def test_repeated_readings_give_no_further_tokens(self) -> None:
        one = OneDaemon()
        one.read(3000)
        one.clock.advance(1100)
        one.daemon.upstream.load_state.record_grant(one.clock.now())
        one.read(1900)
        assert not one.may_send()


class TestNewsOfOthers:
    def test_news_of_a_peer_limits_until_the_upstream_is_asked(self) -> None:
        one = OneDaemon()
        one.read(0)
        one.tell('cold')
        assert not one.may_send()
        assert one.state.wait(0, one.clock.now()) == 0
        one.read(0)
        assert one.may_send()

    def test_answer_from_before_the_news_does_not_end_it(self) -> None:
        """A delayed answer cancelled the news at all daemons."""
        one = OneDaemon()
        one.clock.advance(300)
        one.tell('cold')
        one.read(0, age=50)
        assert one.state.is_cold(one.clock.now())
        assert one.daemon.table.text_of('cold 10.9.0.1:80 1') == 'cold'
        one.read(0)
        assert one.may_send()

    def test_end_that_a_peer_tells_does_not_replace_the_own_reading(
        self,
    ) -> None:
        """A late message let a daemon send to an upstream that was cold."""
        one = OneDaemon()
        one.read(3000)
        one.clock.advance(500)
        one.tell('')
        assert not one.state.is_cold(one.clock.now())
        # Even with a token, as in the second case, its own word is missing.
        assert not one.may_send()
        one.clock.advance(1500)
        assert not one.may_send()

    @pytest.mark.parametrize('text', ['nonsense', '7'])
    def test_unknown_text_of_a_newer_release_does_no_harm(
        self, text: str
    ) -> None:
        one = OneDaemon()
        one.tell(text)
        one.read(0)
        assert one.may_send()

    def test_upstreams_count_as_cold_after_an_evacuation(self) -> None:
        one = OneDaemon()
        one.read(0)
        one.daemon.limits.warm_ups.presume([one.daemon.upstream])
        assert one.state.is_cold(one.clock.now())
        assert not one.may_send()
        one.read(0)
        assert one.may_send()
        assert one.state.limit is None

    def test_service_without_a_rate_ignores_warm_ups(self) -> None:
        one = OneDaemon()
        state = one.daemon.upstream.load_state
        state.warm_up = None
        one.read(3000)
        one.tell('cold')
        one.daemon.limits.update([one.daemon.upstream])
        assert state.warm_up is None
        assert not state.has_limit()
