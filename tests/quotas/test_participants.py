"""Which daemons are asked for tokens."""

import orjson
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Daemon, Membership
from cowslippond_core.quotas import QUOTA_TABLE, QuotaParticipants
from fakes import FakeClock

OWN = Daemon('10.0.0.1:7000', 'i1', 'a', '', is_leaving=False)
PEER = '10.0.0.2:7000'


class Fleet:
    """What one daemon has heard of the others."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.daemons = GossipTable('daemons', self.clock)
        self.table = GossipTable(QUOTA_TABLE, self.clock)
        self.membership = Membership(self.clock, self.daemons, OWN)
        self.participants = QuotaParticipants(
            self.table, self.membership, self.clock
        )

    def hear_of(self, incarnation: str, *, is_leaving: bool = False) -> None:
        text = orjson.dumps([incarnation, 'b', '', is_leaving]).decode()
        self.daemons.put(PEER, text, 60_000)


class TestQuotaParticipants:
    def test_daemon_without_an_announcement_is_left_out(self) -> None:
        """A previous release does not know the messages."""
        fleet = Fleet()
        fleet.hear_of('i2')
        assert fleet.participants.domains() == {OWN.address: 'a'}
        fleet.table.put(PEER, 'i2', 60_000)
        assert fleet.participants.domains() == {OWN.address: 'a', PEER: 'b'}

    def test_daemon_that_returned_with_a_previous_release_is_left_out(
        self,
    ) -> None:
        fleet = Fleet()
        fleet.table.put(PEER, 'i2', 60_000)
        fleet.hear_of('i3')
        assert PEER not in fleet.participants.domains()

    def test_leaving_daemons_are_told_apart(self) -> None:
        fleet = Fleet()
        fleet.table.put(PEER, 'i2', 60_000)
        fleet.hear_of('i2', is_leaving=True)
        assert PEER not in fleet.participants.domains()
        assert fleet.participants.leaving() == [PEER]
        fleet.membership.announce_leaving()
        assert not fleet.participants.domains()

    def test_announcement_is_rare(self) -> None:
        """Each one is passed on to all daemons."""
        fleet = Fleet()
        fleet.participants.announce()
        stamp = fleet.table.rows()[0].stamp
        fleet.participants.announce()
        assert fleet.table.rows()[0].stamp == stamp
        fleet.clock.advance(1_900_000)
        fleet.participants.announce()
        assert fleet.table.rows()[0].stamp > stamp
