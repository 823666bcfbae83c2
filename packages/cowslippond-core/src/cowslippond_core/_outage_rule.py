"""When the versions in force are served although the table answers nobody."""

from cowslippond_core._catalogue import FRESHNESS_BOUND
from cowslippond_core._clock import Millis
from cowslippond_core._contact import Contact
from cowslippond_core._membership import Membership

# How long a verdict is kept, in milliseconds.
_VERDICT_TTL: Millis = 100


class OutageRule:
    """Tells an outage for the whole fleet from an outage for this daemon.

    :param contact: recent news of peers and failure domains.
    :param membership: where daemons run.
    """

    def __init__(self, contact: Contact, membership: Membership) -> None:
        self.contact = contact
        self.membership = membership
        self.evaluated_at: Millis | None = None
        self.verdict = False

    def missing_domains(self, now: Millis) -> list[str]:
        """Return the failure domains without recent news.

        :param now: in milliseconds.
        """
        daemons = self.membership.staying()
        return self.contact.missing(daemons, now, FRESHNESS_BOUND)

    def allows_serving(self, now: Millis) -> bool:
        """Return whether this daemon would know of a change by now.

        :param now: in milliseconds.
        """
        if self.evaluated_at is None or now - self.evaluated_at > _VERDICT_TTL:
            self.evaluated_at = now
            daemons = self.membership.staying()
            self.verdict = self.contact.is_wide(daemons, now, FRESHNESS_BOUND)
        return self.verdict
