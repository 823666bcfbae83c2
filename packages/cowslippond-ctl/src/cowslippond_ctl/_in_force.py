"""Compare what was accepted with what the daemons have in force."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cowslippond_core import AcceptedDocument

from cowslippond_ctl._daemons import ObservedDaemon


class Lag(NamedTuple):
    """A service of which a daemon has an older version in force.

    ``in_force`` is 0 if the daemon has no version of it.
    """

    service: str
    in_force: int
    newest: int


class Coverage(NamedTuple):
    """How far the newest version of a service is in force.

    ``accepted_at_ms`` is in milliseconds since the Unix epoch, ``None`` if only
    daemons know the version. ``lagging`` names the VMs that have an older
    version or did not answer.
    """

    service: str
    newest: int
    accepted_at_ms: int | None
    in_force_count: int
    lagging: tuple[str, ...]


class Deployment(NamedTuple):
    """The daemons, the newest versions, and who lags."""

    daemons: tuple[ObservedDaemon, ...]
    newest: Mapping[str, int]
    accepted_at: Mapping[str, int]

    def lags_of(self, daemon: ObservedDaemon) -> tuple[Lag, ...]:
        """Return the services of which a daemon has an older version."""
        if daemon.status is None:
            return ()
        versions = daemon.status.versions
        return tuple(
            Lag(service, versions.get(service, 0), newest)
            for service, newest in self.newest.items()
            if versions.get(service, 0) < newest
        )

    def coverage_of(self, service: str) -> Coverage:
        """Return how far the newest version of a service is in force."""
        serving = [each for each in self.daemons if may_serve(each)]
        lagging = tuple(
            each.vm for each in serving if not self._has_newest(each, service)
        )
        return Coverage(
            service,
            self.newest[service],
            self.accepted_at.get(service),
            len(serving) - len(lagging),
            lagging,
        )

    def is_in_force(self) -> bool:
        """Say whether every daemon has the newest version of every service.

        Without any daemon that answers, nothing is in force.
        """
        serving = [each for each in self.daemons if may_serve(each)]
        if not serving:
            return False
        return all(
            each.status is not None and not self.lags_of(each)
            for each in serving
        )

    def _has_newest(self, daemon: ObservedDaemon, service: str) -> bool:
        if daemon.status is None:
            return False
        return daemon.status.versions.get(service, 0) >= self.newest[service]


def may_serve(daemon: ObservedDaemon) -> bool:
    """Say whether a daemon takes calls, as far as is known.

    A leaving VM that no longer answers is taken to have stopped.
    """
    return daemon.status is not None or not daemon.is_leaving


def compare_versions(
    documents: Sequence[AcceptedDocument], daemons: Sequence[ObservedDaemon]
) -> Deployment:
    """Compare accepted documents with what daemons have in force.

    A version that a daemon has in force was accepted, so it counts even if
    the table was not read or is older.
    """
    newest = {each.service: each.version for each in documents}
    accepted_at = {each.service: each.accepted_at for each in documents}
    for daemon in daemons:
        if daemon.status is None:
            continue
        for service, version in daemon.status.versions.items():
            if version > newest.get(service, 0):
                newest[service] = version
                accepted_at.pop(service, None)
    return Deployment(tuple(daemons), dict(sorted(newest.items())), accepted_at)
