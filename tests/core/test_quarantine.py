"""Tests of the quarantine of requests that crash upstreams."""

import pytest
from cowslippond_core import Outcome, Quarantine, RefusalReason
from cowslippond_core import fingerprint_request as fingerprint
from fakes import FakeClock

POISON = fingerprint(b'POST', b'/parts', '', b'crash')
LOOKUP = fingerprint(b'GET', b'/parts/7', '', b'')
START = 1_000_000
GOSSIP_LAG = 5
UPSTREAMS = tuple(f'u{index}' for index in range(12))


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(START)


@pytest.fixture
def quarantine(clock: FakeClock) -> Quarantine:
    return Quarantine(clock)


def crash(quarantine: Quarantine, upstream: str, *running: str) -> None:
    """Break every connection to an upstream, and let time pass."""
    for call in running:
        quarantine.note_break(upstream, call)
    quarantine.clock.current += 1000


class TestCrashes:
    def test_second_crash_ends_in_quarantine(
        self, quarantine: Quarantine
    ) -> None:
        crash(quarantine, 'u1', POISON)
        assert quarantine.check(POISON) is None
        crash(quarantine, 'u2', POISON)
        refusal = quarantine.check(POISON)
        assert refusal is not None
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.reason is RefusalReason.QUARANTINED
        assert refusal.retry_after_ms > 10_000

    def test_one_crash_seen_by_two_daemons_counts_once(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        other = Quarantine(clock)
        quarantine.note_break('u1', LOOKUP)
        clock.current += 20
        other.note_break('u1', LOOKUP)
        quarantine.merge(other.rows())
        assert quarantine.check(LOOKUP) is None

    def test_term_grows_with_each_further_crash(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        terms = []
        crash(quarantine, 'u0', POISON)
        for index in range(1, 4):
            crash(quarantine, f'u{index}', POISON)
            refusal = quarantine.check(POISON)
            assert refusal is not None
            terms.append(refusal.retry_after_ms)
            clock.current += refusal.retry_after_ms
            assert quarantine.check(POISON) is None
        assert terms == sorted(terms)
        assert terms[0] < terms[-1]

    def test_broken_connection_to_a_living_upstream_is_no_crash(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        for upstream in ('u1', 'u2'):
            quarantine.note_break(upstream, POISON)
            clock.current += 10
            quarantine.note_answer(upstream, LOOKUP, connected_at=START - 1)
            clock.current += 1000
        assert not quarantine.is_suspect(POISON)

    def test_new_connection_does_not_disprove_a_crash(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        quarantine.note_break('u1', POISON)
        clock.current += 10
        quarantine.note_answer('u1', LOOKUP, connected_at=clock.now() - 5)
        assert quarantine.is_suspect(POISON)


class TestInnocentCalls:
    def test_answer_clears_a_suspect(self, quarantine: Quarantine) -> None:
        crash(quarantine, 'u1', POISON, LOOKUP)
        quarantine.note_answer('u2', LOOKUP, connected_at=START)
        crash(quarantine, 'u3', POISON, LOOKUP)
        assert quarantine.check(POISON) is not None
        assert quarantine.check(LOOKUP) is None

    def test_cleared_suspect_stays_so_when_old_rows_arrive(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        crash(quarantine, 'u1', LOOKUP)
        crash(quarantine, 'u2', LOOKUP)
        old = quarantine.rows()
        quarantine.note_answer('u3', LOOKUP, connected_at=START)
        quarantine.merge(old)
        assert not quarantine.is_suspect(LOOKUP)
        assert quarantine.check(LOOKUP) is None

    def test_many_upstreams_gone_at_once_are_no_request_s_doing(
        self, quarantine: Quarantine, clock: FakeClock
    ) -> None:
        for index in range(6):
            quarantine.note_break(f'u{index}', f'call-{index}')
            clock.current += 50
        quarantine.note_break('u5', 'call-0')
        quarantine.note_break('u4', 'call-0')
        assert quarantine.check('call-0') is None
        assert quarantine.is_suspect('call-0')

    def test_suspects_are_sent_one_at_a_time(
        self, quarantine: Quarantine
    ) -> None:
        crash(quarantine, 'u1', POISON)
        quarantine.begin_trial(POISON)
        copy = quarantine.check(POISON)
        assert copy is not None
        assert copy.reason is RefusalReason.QUARANTINED
        quarantine.end_trial(POISON)
        assert quarantine.check(POISON) is None


class TestFleet:
    def test_poison_sent_through_all_daemons_crashes_two_upstreams(
        self, clock: FakeClock
    ) -> None:
        fleet = [Quarantine(clock) for _ in range(18)]
        crashed = 0
        for turn in range(200):
            daemon = fleet[turn * 7 % len(fleet)]
            if daemon.check(POISON) is not None:
                continue
            daemon.note_break(UPSTREAMS[crashed % 12], POISON)
            crashed += 1
            clock.current += GOSSIP_LAG
            for peer in fleet:
                peer.merge(daemon.rows())
            clock.current += 300
        assert crashed == 2

    def test_rows_and_memory_are_bounded(self, quarantine: Quarantine) -> None:
        for index in range(3000):
            quarantine.record_crash(f'call-{index}', 'u1')
        assert len(quarantine.rows()) <= 32
        assert len(quarantine.suspects) <= 512


class TestFingerprint:
    def test_tells_calls_apart_by_each_part(self) -> None:
        calls = {
            fingerprint(b'GET', b'/a', '', b''),
            fingerprint(b'PUT', b'/a', '', b''),
            fingerprint(b'GET', b'/b', '', b''),
            fingerprint(b'GET', b'/a', 'k', b''),
            fingerprint(b'GET', b'/a', '', b'k'),
            fingerprint(b'GET', b'/', 'a', b''),
        }
        assert len(calls) == 6

    def test_ignores_what_lies_beyond_the_first_bytes(self) -> None:
        bodies = [bytes(65_536), bytes(65_537), bytes(70_000)]
        found = {fingerprint(b'PUT', b'/', '', body) for body in bodies}
        assert len(found) == 1
