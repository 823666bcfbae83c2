"""Compare the accepted versions with those that daemons have in force."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cowslippond_core import AcceptedDocument

from cowslippond_ctl._daemons import ObservedDaemon


class Lag(NamedTuple):
    """A service for which a daemon has an older version than the newest one.

    ``in_force`` is 0 if the daemon has no version of the service.
    """

    service: str
    in_force: int
    newest: int


class Coverage(NamedTuple):
    """Which daemons have the newest version of a service in force.

    ``accepted_at_ms`` is in milliseconds since the Unix epoch. It is ``None``
    if the version was reported by a daemon but not read from the table.
    ``lagging`` lists the VMs whose daemon has an older version or did not
    answer.
    """

    service: str
    newest: int
    accepted_at_ms: int | None
    in_force_count: int
    lagging: tuple[str, ...]


class Deployment(NamedTuple):
    """The daemons and the newest version of each service.

    ``newest`` and ``accepted_at`` are keyed by service name.
    """

    daemons: tuple[ObservedDaemon, ...]
    newest: Mapping[str, int]
    accepted_at: Mapping[str, int]

    def lags_of(self, daemon: ObservedDaemon) -> tuple[Lag, ...]:
        """Return the services for which a daemon has an older version.

        Empty for a daemon that did not answer.
        """
        if daemon.status is None:
            return ()
        versions = daemon.status.versions
        return tuple(
            Lag(service, versions.get(service, 0), newest)
            for service, newest in self.newest.items()
            if versions.get(service, 0) < newest
        )

    def coverage_of(self, service: str) -> Coverage:
        """Return which daemons have the newest version of a service."""
        serving = [daemon for daemon in self.daemons if may_serve(daemon)]
        lagging = tuple(
            daemon.vm
            for daemon in serving
            if not self._has_newest(daemon, service)
        )
        return Coverage(
            service,
            self.newest[service],
            self.accepted_at.get(service),
            len(serving) - len(lagging),
            lagging,
        )

    def is_in_force(self) -> bool:
        """Return whether all daemons have the newest version of all services.

        False if no daemon answered.
        """
        serving = [daemon for daemon in self.daemons if may_serve(daemon)]
        if not serving:
            return False
        return all(
            daemon.status is not None and not self.lags_of(daemon)
            for daemon in serving
        )

    def _has_newest(self, daemon: ObservedDaemon, service: str) -> bool:
        if daemon.status is None:
            return False
        return daemon.status.versions.get(service, 0) >= self.newest[service]


def may_serve(daemon: ObservedDaemon) -> bool:
    """Return whether a daemon has to be assumed to serve calls.

    A daemon that does not answer may still serve calls, unless its VM is
    leaving: then the daemon is assumed to have stopped.
    """
    return daemon.status is not None or not daemon.is_leaving


def compare_versions(
    documents: Sequence[AcceptedDocument], daemons: Sequence[ObservedDaemon]
) -> Deployment:
    """Compare accepted documents with the versions daemons have in force.

    A version that a daemon has in force must have been accepted, so it counts
    as the newest one even if the table could not be read or returned an older
    version.
    """
    newest = {document.service: document.version for document in documents}
    accepted_at = {
        document.service: document.accepted_at for document in documents
    }
    for daemon in daemons:
        if daemon.status is None:
            continue
        for service, version in daemon.status.versions.items():
            if version > newest.get(service, 0):
                newest[service] = version
                accepted_at.pop(service, None)
    return Deployment(tuple(daemons), dict(sorted(newest.items())), accepted_at)
