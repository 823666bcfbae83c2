"""Determines whether a daemon is in contact with its fleet.

While the platform's table is unavailable to all daemons, no daemon can read a
change, and the version in force may still be served. A daemon that is cut off
cannot distinguish an outage for all daemons from an outage for itself. It
therefore needs recent evidence from every failure domain, and answers from at
least half of the daemons that it recently tried to contact.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from cowslippond_core._clock import Millis
from cowslippond_core._fleet_size import FleetSize
from cowslippond_core._membership import Daemon
from cowslippond_core._peer_messages import Digest, Witness

#: How long the outcome of the last attempt to reach a peer counts.
ATTEMPT_WINDOW: Millis = 60_000

_MAX_ATTEMPTS = 256
_MAX_DOMAINS = 64


class _Attempt(NamedTuple):
    at: Millis
    is_success: bool


class FleetContact:
    """Records contact with failure domains and attempts to reach peers.

    Evidence from a domain shows what a daemon there knew. It is accepted only
    from peers whose revision is not above this daemon's, so no daemon behind
    the evidence knew of a change that this daemon lacks.

    :param failure_domain: the failure domain of this daemon.
    :param size: records how many daemons the peers know.
    """

    def __init__(self, failure_domain: str, size: FleetSize) -> None:
        self.failure_domain = failure_domain
        self.size = size
        self.domain_seen_at: dict[str, Millis] = {}
        self.peer_seen_at: Millis | None = None
        self.contacted_at: Millis | None = None
        self.attempts: OrderedDict[str, _Attempt] = OrderedDict()

    def record_witnesses(
        self,
        failure_domain: str,
        witnesses: Iterable[Witness],
        requested_at: Millis,
    ) -> None:
        """Record contact with a peer and its evidence from other domains.

        :param failure_domain: the failure domain of the peer.
        :param witnesses: the peer's evidence from other domains.
        :param requested_at: when the state of the peer was requested, in
            milliseconds. Ages are counted from then, so that a pause or a slow
            answer never makes evidence look more recent than it is.
        """
        self.peer_seen_at = requested_at
        self._record_domain(failure_domain, requested_at)
        for witness in witnesses:
            self._record_domain(
                witness.failure_domain, requested_at - witness.age
            )

    def record_contact(self, requested_at: Millis) -> None:
        """Record that a peer has answered, whatever its revision.

        :param requested_at: when its answer was requested, in milliseconds.
        """
        if self.contacted_at is None or self.contacted_at < requested_at:
            self.contacted_at = requested_at

    def record_fleet_size(self, digest: Digest) -> None:
        """Record how many daemons a peer knows."""
        self.size.record_report(digest.daemons, is_settled=digest.is_settled)

    def record_attempt(
        self, address: str, at: Millis, is_success: bool
    ) -> None:
        """Record whether a peer answered.

        :param at: the time of the attempt, in milliseconds.
        """
        self.attempts[address] = _Attempt(at, is_success)
        self.attempts.move_to_end(address)
        if len(self.attempts) > _MAX_ATTEMPTS:
            self.attempts.popitem(last=False)

    def witnesses(self, now: Millis) -> tuple[Witness, ...]:
        """Return the age of the last evidence from each failure domain.

        This daemon's own domain comes first, with age 0.
        """
        others = [
            Witness(failure_domain, now - at)
            for failure_domain, at in self.domain_seen_at.items()
            if failure_domain != self.failure_domain
        ]
        return (Witness(self.failure_domain, 0), *others)

    def domains_without_contact(
        self, daemons: Iterable[Daemon], now: Millis, max_age: Millis
    ) -> list[str]:
        """Return the other failure domains without recent evidence.

        :param daemons: the daemons that run or may still run.
        :param now: in milliseconds.
        :param max_age: the maximum age of recent evidence, in milliseconds.
        """
        domains = {daemon.failure_domain for daemon in daemons}
        domains.discard(self.failure_domain)
        return sorted(
            failure_domain
            for failure_domain in domains
            if not _is_recent(
                self.domain_seen_at.get(failure_domain), now, max_age
            )
        )

    def reaches_fleet(
        self, daemons: Collection[Daemon], now: Millis, max_age: Millis
    ) -> bool:
        """Return whether this daemon is in contact with its fleet.

        This requires recent contact with any peer, recent evidence from every
        failure domain, and that at least half of the recently contacted daemons
        answered. A daemon without recent contact with any peer does not reach
        its fleet, even if it knows of no other daemon.

        :param daemons: the daemons that run or may still run.
        :param now: in milliseconds.
        :param max_age: the maximum age of recent evidence, in milliseconds.
        """
        if not _is_recent(self.peer_seen_at, now, max_age):
            return False
        if self.domains_without_contact(daemons, now, max_age):
            return False
        return self._reaches_half(daemons, now)

    def _record_domain(self, failure_domain: str, at: Millis) -> None:
        seen_at = self.domain_seen_at.get(failure_domain)
        if seen_at is not None:
            self.domain_seen_at[failure_domain] = max(seen_at, at)
            return
        if len(self.domain_seen_at) < _MAX_DOMAINS:
            self.domain_seen_at[failure_domain] = at

    def _reaches_half(self, daemons: Iterable[Daemon], now: Millis) -> bool:
        addresses = {daemon.address for daemon in daemons}
        recent = [
            attempt
            for address, attempt in self.attempts.items()
            if address in addresses and now - attempt.at <= ATTEMPT_WINDOW
        ]
        reached = sum(attempt.is_success for attempt in recent)
        return reached * 2 >= len(recent)


def _is_recent(at: Millis | None, now: Millis, max_age: Millis) -> bool:
    return at is not None and now - at <= max_age
