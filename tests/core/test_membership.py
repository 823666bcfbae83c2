"""Tests of the list of daemons: VM list, settings and heartbeats."""

import random

from cowslippond_core import Daemon, GossipTable, Vm, VmState
from cowslippond_core._membership import Membership
from fakes import FakeClock

OWN = Daemon('10.0.0.1:1', 'own', 'north', '', is_leaving=False)
OTHER = Daemon('10.0.0.2:1', 'other', 'south', 'admin:1', is_leaving=False)
SEED = '10.0.0.9:1'


def make_membership(clock: FakeClock, own: Daemon = OWN) -> Membership:
    return Membership(clock, GossipTable('daemons', clock), own, (SEED,))


def send_rows(sender: Membership, receiver: Membership) -> None:
    for row in sender.table.rows():
        receiver.table.merge(row)


def listed_vm(address: str, service: str = 'cowslippond') -> Vm:
    return Vm('vm', '1', 'west', VmState.LIVE, service, address, '')


def known_addresses(membership: Membership) -> set[str]:
    return {daemon.address for daemon in membership.known_daemons()}


class TestKnownDaemons:
    def test_known_daemons_merge_seeds_list_and_heartbeats(self):
        clock = FakeClock(1000)
        membership, other = (
            make_membership(clock),
            make_membership(clock, OTHER),
        )
        other.send_heartbeat()
        membership.send_heartbeat()
        send_rows(other, membership)
        membership.apply_vm_list(
            [
                listed_vm('10.0.0.3:1'),
                listed_vm(OWN.address),
                listed_vm('up:1', 'till'),
            ]
        )

        assert known_addresses(membership) == {
            SEED,
            OTHER.address,
            '10.0.0.3:1',
        }
        assert OTHER in membership.known_daemons()
        assert membership.count() == 4

    def test_a_daemon_is_dropped_when_its_heartbeats_end(self):
        clock = FakeClock(1000)
        membership, other = (
            make_membership(clock),
            make_membership(clock, OTHER),
        )
        other.send_heartbeat()
        send_rows(other, membership)
        clock.current += 10 * other.heartbeat_interval()

        assert known_addresses(membership) == {SEED}
        assert membership.possibly_running() == [OTHER], (
            'it may be behind a partition'
        )

    def test_a_list_without_daemons_does_not_prove_that_they_left(self):
        clock = FakeClock(1000)
        membership, other = (
            make_membership(clock),
            make_membership(clock, OTHER),
        )
        other.send_heartbeat()
        send_rows(other, membership)
        clock.current += 10 * other.heartbeat_interval()
        membership.apply_vm_list([listed_vm('up:1', 'till')])
        assert membership.possibly_running() == [OTHER]

        membership.apply_vm_list([listed_vm(OWN.address)])
        assert not membership.possibly_running()

    def test_a_new_daemon_at_an_address_replaces_the_one_that_left(self):
        clock = FakeClock(1000)
        membership, other = (
            make_membership(clock),
            make_membership(clock, OTHER),
        )
        other.announce_leaving()
        send_rows(other, membership)
        assert not membership.possibly_running()

        clock.current += 1
        newer = make_membership(clock, OTHER._replace(incarnation='newer'))
        newer.send_heartbeat()
        send_rows(newer, membership)
        assert [
            daemon.incarnation for daemon in membership.possibly_running()
        ] == ['newer']

    def test_invalid_heartbeats_are_ignored(self):
        membership = make_membership(FakeClock(1000))
        for index, text in enumerate(('', '5', '[1]', '{}', 'null')):
            membership.table.put(str(index), text, 1000)

        assert known_addresses(membership) == {SEED}


class TestChoosePeer:
    def test_leaving_daemons_are_chosen_last(self):
        clock = FakeClock(1000)
        membership, other = (
            make_membership(clock),
            make_membership(clock, OTHER),
        )
        other.announce_leaving()
        send_rows(other, membership)
        rng = random.Random(0)

        chosen = {membership.choose_peer(rng, set()) for _ in range(20)}
        assert chosen == {SEED}
        assert membership.choose_peer(rng, {SEED}) == OTHER.address
        assert membership.choose_peer(rng, {SEED, OTHER.address}) is None

    def test_most_sessions_stay_in_the_failure_domain(self):
        """Three of four sessions used to cross failure domains."""
        clock = FakeClock(1000)
        membership = make_membership(clock)
        for number in range(40):
            domain = (OWN.failure_domain, 'd1', 'd2', 'd3')[number % 4]
            peer = OTHER._replace(
                address=f'10.1.0.{number}:1', failure_domain=domain
            )
            there = make_membership(clock, peer)
            there.send_heartbeat()
            send_rows(there, membership)
        rng = random.Random(0)
        chosen = [membership.choose_peer(rng, set()) for _ in range(400)]
        local_flags = [
            membership.announced[address].failure_domain == OWN.failure_domain
            for address in chosen
            if address in membership.announced
        ]
        assert (
            6 * len(local_flags) < 10 * sum(local_flags) < 9 * len(local_flags)
        )


class TestHeartbeats:
    def test_the_rate_of_the_fleet_is_bounded(self):
        clock = FakeClock(1000)
        membership = make_membership(clock)
        membership.seeds = tuple(f'{index}:1' for index in range(1, 600))

        per_second = membership.count() * 1000 / membership.heartbeat_interval()
        assert per_second <= 4
