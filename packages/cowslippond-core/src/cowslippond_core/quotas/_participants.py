"""Which daemons of the fleet take part in quotas."""

from cowslippond_core._clock import Clock, Millis
from cowslippond_core._gossip_table import GossipTable
from cowslippond_core._membership import Membership

#: The gossip table with the daemons that understand messages about quotas.
QUOTA_TABLE = 'quota_daemons'

_LIFETIME: Millis = 3_600_000
_RENEWAL_TIME: Millis = 1_800_000


class QuotaParticipants:
    """The daemons that announced that they take part in quotas.

    An announcement holds for one incarnation, so a daemon that returns with an
    older release is sent no messages that it does not know. Heartbeats tell
    whether a daemon runs, so announcements are rare.

    :param table: replicates the announcements.
    :param membership: the known daemons.
    :param clock: determines when the announcement is renewed.
    """

    def __init__(
        self, table: GossipTable, membership: Membership, clock: Clock
    ) -> None:
        self.table = table
        self.membership = membership
        self.clock = clock

    def announce(self) -> None:
        """Announce that this daemon takes part, unless it is known."""
        own = self.membership.own
        due_at = self.clock.now() + _RENEWAL_TIME
        if self.table.text_of(own.address) == own.incarnation:
            if self.table.is_alive(own.address, due_at):
                return
        self.table.put(own.address, own.incarnation, _LIFETIME)

    def domains(self) -> dict[str, str]:
        """Return the failure domains of all daemons that take part.

        This daemon is included unless it leaves.
        """
        daemons = [
            daemon
            for daemon in self.membership.serving_daemons()
            if self.table.text_of(daemon.address) == daemon.incarnation
        ]
        if not self.membership.own.is_leaving:
            daemons.append(self.membership.own)
        return {daemon.address: daemon.failure_domain for daemon in daemons}

    def leaving(self) -> list[str]:
        """Return the addresses of the daemons that announced that they leave."""
        return [
            daemon.address
            for daemon in self.membership.known_daemons()
            if daemon.is_leaving
        ]
