"""When the versions in force are served although the table answers nobody."""

from cowslippond_core._catalogue import FRESHNESS_BOUND
from cowslippond_core._clock import Millis
from cowslippond_core._contact import Contact
from cowslippond_core._membership import Membership

# How long a verdict is kept, in milliseconds.
_VERDICT_TIME: Millis = 100


class OutageRule:
    """Tells an outage for the whole fleet from an outage for this daemon.

    :param contact: recent news of peers and failure domains.
    :param membership: where daemons run.
    """

    def __init__(self, contact: Contact, membership: Membership) -> None:
        self.contact = contact
        self.membership = membership
        self.judged_at: Millis | None = None
        self.verdict = False

    def missing(self, now: Millis) -> list[str]:
        """Return the failure domains without recent news.

        :param now: in milliseconds.
        """
        daemons = self.membership.staying()
        return self.contact.missing(daemons, now, FRESHNESS_BOUND)

    def holds(self, now: Millis) -> bool:
        """Return whether this daemon would know of a change by now.

        :param now: in milliseconds.
        """
        if self.judged_at is None or now - self.judged_at > _VERDICT_TIME:
            self.judged_at = now
            daemons = self.membership.staying()
            self.verdict = self.contact.is_wide(daemons, now, FRESHNESS_BOUND)
        return self.verdict
