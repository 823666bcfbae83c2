"""Rule for serving the versions in force during an outage of the table."""

from cowslippond_core._catalogue import FRESHNESS_BOUND
from cowslippond_core._clock import Millis
from cowslippond_core._fleet_contact import FleetContact
from cowslippond_core._membership import Membership

# How long a verdict is cached, in milliseconds.
_VERDICT_TTL: Millis = 100


class OutageRule:
    """Distinguishes an outage for the whole fleet from one for this daemon.

    :param contact: recent evidence from peers and failure domains.
    :param membership: the failure domains of the running daemons.
    """

    def __init__(self, contact: FleetContact, membership: Membership) -> None:
        self.contact = contact
        self.membership = membership
        self.evaluated_at: Millis | None = None
        self.verdict = False

    def missing_domains(self, now: Millis) -> list[str]:
        """Return the failure domains without recent evidence.

        :param now: in milliseconds.
        """
        daemons = self.membership.possibly_running()
        return self.contact.domains_without_contact(
            daemons, now, FRESHNESS_BOUND
        )

    def allows_serving(self, now: Millis) -> bool:
        """Return whether the versions in force may still be served.

        They may while this daemon has recent evidence from every failure domain
        and reaches at least half of the peers that it contacted, because it
        would then have received any change.

        :param now: in milliseconds.
        """
        if self.evaluated_at is None or now - self.evaluated_at > _VERDICT_TTL:
            self.evaluated_at = now
            daemons = self.membership.possibly_running()
            self.verdict = self.contact.reaches_fleet(
                daemons, now, FRESHNESS_BOUND
            )
        return self.verdict
