"""When the version in force is served although the table answers nobody."""

import pytest
from cowslippond_core import (
    ENTRY_SERVICE,
    FRESHNESS_BOUND,
    Daemon,
    GossipTable,
    Vm,
    VmState,
)
from cowslippond_core._contact import ATTEMPT_WINDOW, Contact
from cowslippond_core._membership import Membership
from cowslippond_core._outage_rule import OutageRule
from cowslippond_core._peer_messages import (
    Witness,
)
from fakes import FakeClock

DOMAINS = ('north', 'south', 'west')


def daemon(domain: str, index: int = 1) -> Daemon:
    return Daemon(f'{domain}:{index}', '1', domain, '', is_leaving=False)


def entry_vm(domain: str, index: int = 1) -> Vm:
    return Vm(
        f'{domain}-{index}',
        '1',
        domain,
        VmState.LIVE,
        ENTRY_SERVICE,
        f'{domain}:{index}',
        '',
    )


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock(FRESHNESS_BOUND)


@pytest.fixture
def membership(clock) -> Membership:
    own = daemon('north', 1)
    membership = Membership(clock, GossipTable('daemons', clock), own)
    membership.apply_list(entry_vm(domain) for domain in DOMAINS)
    return membership


@pytest.fixture
def contact() -> Contact:
    return Contact('north')


@pytest.fixture
def rule(contact, membership) -> OutageRule:
    return OutageRule(contact, membership)


class TestContact:
    def test_news_of_each_domain_is_enough(self, clock, contact, rule):
        contact.hear('south', [Witness('west', 100)], clock.now())

        assert rule.holds(clock.now())

    def test_a_silent_domain_ends_it(self, clock, contact, rule):
        contact.hear('south', (), clock.now())

        assert not rule.holds(clock.now())
        assert rule.missing(clock.now()) == ['west']

    def test_a_frozen_daemon_wakes_up_without_it(self, clock, contact, rule):
        contact.hear('south', [Witness('west', 0)], clock.now())
        assert rule.holds(clock.now())

        clock.current += FRESHNESS_BOUND + 1

        assert not rule.holds(clock.now())

    def test_an_answer_that_lay_unread_is_as_old_as_its_question(
        self, clock, contact, rule
    ):
        asked_at = clock.now()
        clock.current += FRESHNESS_BOUND + 1
        contact.hear('south', [Witness('west', 0)], asked_at)

        assert not rule.holds(clock.now())

    def test_most_of_the_peers_tried_must_answer(self, clock, contact, rule):
        now = clock.now()
        contact.hear('south', [Witness('west', 0)], now)
        contact.note_attempt('south:1', now, is_success=False)
        contact.note_attempt('west:1', now, is_success=False)
        assert not rule.holds(now)

        later = now + ATTEMPT_WINDOW + 1
        contact.hear('south', [Witness('west', 0)], later)
        assert rule.holds(later), 'old attempts no longer count'

    def test_a_dead_seed_does_not_count(self, clock, contact, rule):
        contact.hear('south', [Witness('west', 0)], clock.now())
        contact.note_attempt('seed:1', clock.now(), is_success=False)

        assert rule.holds(clock.now())

    def test_a_daemon_alone_cannot_tell_an_outage_from_a_cut(self, clock):
        own = daemon('north')
        alone = Membership(clock, GossipTable('daemons', clock), own)

        assert not OutageRule(Contact('north'), alone).holds(clock.now())


class TestDomains:
    def test_a_domain_of_daemons_that_left_is_not_waited_for(
        self, clock, membership, contact, rule
    ):
        contact.hear('south', (), clock.now())
        table = GossipTable('daemons', clock)
        leaver = Membership(clock, table, daemon('west'))
        leaver.leave()
        membership.table.merge(table.rows()[0])

        assert rule.holds(clock.now())

    def test_a_domain_without_heartbeats_stays_while_no_list_drops_it(
        self, clock, contact
    ):
        own = Membership(clock, GossipTable('daemons', clock), daemon('north'))
        table = GossipTable('daemons', clock)
        Membership(clock, table, daemon('west')).beat()
        own.table.merge(table.rows()[0])
        clock.current += 10 * ATTEMPT_WINDOW
        contact.hear('south', (), clock.now())

        assert not OutageRule(contact, own).holds(clock.now())
        own.apply_list([entry_vm('south')])
        assert OutageRule(contact, own).holds(clock.now())
